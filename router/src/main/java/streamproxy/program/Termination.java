package streamproxy.program;

import java.io.IOException;
import java.util.concurrent.Semaphore;
import org.tinylog.Logger;
import streamproxy.transport.SafeLog;
import streamproxy.transport.Threads;

/**
 * Ends the process when it is asked to, with exit code 0 once all that was taken is answered. A thread that waits for that
 * from the start does all of it: a shutdown hook would need one that may not be had then.
 */
final class Termination {
    private final Semaphore asked = new Semaphore(0);
    private volatile Router serving; // null before any request can be taken

    /**
     * Starts its thread.
     *
     * @throws streamproxy.transport.ResourceShortageException where it cannot be had
     */
    void start() { Threads.startAtStart("termination", this::run); }

    /** The process is to end. Any thread may say so, and more than once. */
    void ask() { asked.release(); }

    /** From now on the router may take requests, which are to be finished. */
    void serves(Router router) { serving = router; }

    private void run() {
        asked.acquireUninterruptibly();
        asked.release(); // it stays asked, should this thread begin anew
        Router router = serving;
        if (router != null) {
            leave(router);
        }
        LogStream.awaitLastLines();
        Runtime.getRuntime().halt(0);
    }

    private static void leave(Router router) {
        try {
            router.leave();
        } catch (IOException | InterruptedException e) {
            Logger.error(e, "leaving");
        } catch (RuntimeException | Error e) {
            SafeLog.error(e, "leaving");
        }
    }
}
