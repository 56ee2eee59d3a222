package streamproxy.transport;

import java.util.concurrent.TimeUnit;

/** Starts the program's platform threads; their stacks are small, since there is one for each connection with something to do. */
public final class Threads {
    private static final long STACK_BYTES = 192 * 1024;
    /** How long a start waits for a thread that cannot be had, and how often it tries. */
    private static final long START_MOST_NS = TimeUnit.SECONDS.toNanos(8);
    private static final long START_PAUSE_MS = 50;

    private static final ThreadReserve RESERVE = new ThreadReserve(Threads::begin);

    private Threads() { }

    /** What there is of threads, and what is kept for a want of them. */
    public static ThreadReserve reserve() { return RESERVE; }

    /**
     * A daemon thread; what it throws is logged and ends that thread alone.
     *
     * @throws OutOfMemoryError where no thread can be had
     */
    public static void start(String name, Runnable work) { RESERVE.start(name, work); }

    /**
     * The same for what ends other work or keeps the router told: where no thread can be had, one of the reserve does it.
     *
     * @throws OutOfMemoryError where the reserve has none left either
     */
    public static void startOnReserve(String name, Runnable work) {
        if (!RESERVE.startOrRun(name, work)) {
            throw new OutOfMemoryError("no thread for " + name);
        }
    }

    /**
     * The same for a thread without which the process cannot serve: it is tried again for some seconds.
     *
     * @throws ResourceShortageException where none could be had by then
     */
    public static Thread startAtStart(String name, Runnable work) {
        long until = System.nanoTime() + START_MOST_NS;
        while (true) {
            try {
                return begin(name, work);
            } catch (OutOfMemoryError e) {
                if (System.nanoTime() - until >= 0) {
                    throw new ResourceShortageException("no thread for " + name, e);
                }
                pause(name);
            }
        }
    }

    private static Thread begin(String name, Runnable work) {
        Thread thread = new Thread(null, () -> runLogged(name, work), name, STACK_BYTES);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Runs work as a thread of its own would: what it throws is logged. */
    static void runLogged(String name, Runnable work) {
        try {
            work.run();
        } catch (RuntimeException | Error e) {
            SafeLog.error(e, "thread " + name + " ended");
        }
    }

    private static void pause(String name) {
        try {
            TimeUnit.MILLISECONDS.sleep(START_PAUSE_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new ResourceShortageException("interrupted while waiting for a thread for " + name, e);
        }
    }
}
