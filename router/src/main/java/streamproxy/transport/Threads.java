package streamproxy.transport;

import org.tinylog.Logger;

/** Starts the program's platform threads; their stacks are small, since there is one for each connection. */
public final class Threads {
    private static final long STACK = 192 * 1024;

    private Threads() { }

    /** A daemon thread; what it throws is logged and ends that thread alone. */
    public static Thread start(String name, Runnable work) {
        Thread thread = new Thread(null, () -> {
            try {
                work.run();
            } catch (RuntimeException e) {
                Logger.error(e, "thread {} ended", name);
            }
        }, name, STACK);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
