package streamproxy.transport;


/**
 * Threads that are started with the process and wait to do work that must not wait itself, such as calls of service discovery
 * and of operators, where the machine gives the process no more threads.
 */
final class ThreadReserve {
    private record Work(String name, Runnable work) { }

    /** The watch of service discovery, the one before it, a single call, and an operator's call. */
    private static final int WORKERS = 4;

    private final Work[] handed = new Work[WORKERS]; // with the next three under this lock
    private int waiting;
    private int idle;
    private boolean started;

    /**
     * Starts its threads, once.
     *
     * @throws ResourceShortageException where they cannot be had for some seconds
     */
    void startAll() {
        synchronized (this) {
            if (started) {
                return;
            }
            started = true;
        }
        for (int i = 0; i < WORKERS; i++) {
            Threads.startAtStart("reserve " + i, this::work);
        }
    }

    /** Has an idle thread do the work; false where none is. */
    synchronized boolean run(String name, Runnable work) {
        if (waiting >= idle) {
            return false;
        }
        handed[waiting++] = new Work(name, work);
        notify();
        return true;
    }

    private void work() {
        try {
            while (true) {
                Work next = next();
                Threads.runLogged(next.name, next.work);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized Work next() throws InterruptedException {
        idle++;
        try {
            while (waiting == 0) {
                wait();
            }
        } finally {
            idle--;
        }
        Work next = handed[--waiting];
        handed[waiting] = null;
        return next;
    }
}
