package streamproxy.transport;

import java.io.IOException;
import java.net.BindException;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/** Opens what a process needs at its start, again and again while the machine is short of descriptors, buffers or memory. */
final class Opening {
    /** What is opened. */
    interface Opener<T> {
        T open() throws IOException;
    }

    private static final long MOST_NS = TimeUnit.SECONDS.toNanos(10);
    private static final long PAUSE_MS = 50;

    private Opening() { }

    /**
     * @throws BindException             where the address cannot be had, which does not pass
     * @throws ResourceShortageException where nothing could be opened for some seconds
     */
    static <T> T retrying(String what, Opener<T> opener) throws IOException {
        long until = System.nanoTime() + MOST_NS;
        while (true) {
            try {
                return opener.open();
            } catch (BindException e) {
                throw e;
            } catch (IOException e) {
                if (System.nanoTime() - until >= 0) {
                    throw new ResourceShortageException("no " + what + ": " + e.getMessage(), e);
                }
                Logger.warn("cannot be opened yet, and is tried again: {}", e.getMessage());
                pause(what);
            }
        }
    }

    private static void pause(String what) {
        try {
            TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new ResourceShortageException("interrupted while waiting for a " + what, e);
        }
    }
}
