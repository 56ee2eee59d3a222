package streamproxy.transport;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

/** Starts the program's platform threads; their stacks are small, since there is one for each connection with something to do. */
public final class Threads {
    private static final long STACK_BYTES = 192 * 1024;
    /** How long a start waits for a thread that cannot be had, and how often it tries. */
    private static final long START_MOST_NS = TimeUnit.SECONDS.toNanos(8);
    private static final long START_PAUSE_MS = 50;

    /** One line of the log in so long, however many threads are refused. */
    private static final long WARN_EVERY_NS = TimeUnit.SECONDS.toNanos(1);

    /** How long after a fault such a thread goes on. */
    private static final long AGAIN_AFTER_NS = TimeUnit.MILLISECONDS.toNanos(10);
    private static final IllegalStateException HANDLER_USE = new IllegalStateException("the first use of a handler");

    private static final ThreadReserve RESERVE = new ThreadReserve();
    private static final AtomicLong REFUSED = new AtomicLong();
    private static final AtomicLong WARNED_AT = new AtomicLong(System.nanoTime() - WARN_EVERY_NS);

    static {
        useHandler();
    }

    private Threads() { }

    /**
     * Starts the threads that are kept for {@link #startOnReserve}, once.
     *
     * @throws ResourceShortageException where they cannot be had for some seconds
     */
    public static void startReserve() { RESERVE.startAll(); }

    /** How many threads the machine has refused so far, those of starts left out. */
    public static long refused() { return REFUSED.get(); }

    /**
     * A daemon thread; what it throws is logged and ends that thread alone.
     *
     * @throws OutOfMemoryError where no thread can be had
     */
    public static void start(String name, Runnable work) {
        try {
            begin(name, work);
        } catch (OutOfMemoryError e) {
            noteRefused();
            throw e;
        }
    }

    private static void noteRefused() {
        long refused = REFUSED.incrementAndGet();
        long now = System.nanoTime();
        long last = WARNED_AT.get();
        if (now - last >= WARN_EVERY_NS && WARNED_AT.compareAndSet(last, now)) {
            SafeLog.warn("threads are short: " + refused + " were refused so far");
        }
    }

    /**
     * The same for what ends other work or keeps the router told: where no thread can be had, one of the reserve does it.
     *
     * @throws OutOfMemoryError where the reserve has none left either
     */
    public static void startOnReserve(String name, Runnable work) {
        try {
            start(name, work);
        } catch (OutOfMemoryError e) {
            if (!RESERVE.run(name, work)) {
                throw e;
            }
        }
    }

    /**
     * The same for a thread without which the process cannot serve: it is tried again for some seconds, and what it does begins
     * anew where it has ended by a fault, until it comes back by itself.
     *
     * @throws ResourceShortageException where none could be had by then
     */
    public static Thread startAtStart(String name, Runnable work) {
        long until = System.nanoTime() + START_MOST_NS;
        while (true) {
            try {
                return begin(name, () -> runUntilDone(name, work));
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

    /**
     * Runs work until it comes back without a fault. A handler within the work does not do: the first time that one is needed
     * the JVM looks up what it handles, and without memory that look-up is a fault itself. This handler has been used before.
     */
    static void runUntilDone(String name, Runnable work) {
        boolean done = false;
        while (!done) {
            try {
                work.run();
                done = true;
            } catch (RuntimeException | Error e) {
                LockSupport.parkNanos(AGAIN_AFTER_NS);
                if (e != HANDLER_USE) {
                    SafeLog.error(e, name);
                }
            }
        }
    }

    private static void useHandler() {
        boolean[] used = new boolean[1];
        runUntilDone("", () -> {
            if (!used[0]) {
                used[0] = true;
                throw HANDLER_USE;
            }
        });
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
