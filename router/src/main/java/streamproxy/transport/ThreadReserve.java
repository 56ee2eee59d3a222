package streamproxy.transport;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.tinylog.Logger;

/**
 * What a process keeps for the time in which the machine gives it no more threads. Some threads wait to do work that must
 * not wait itself, such as calls of service discovery and of operators. Others only take up room: they end as soon as a
 * thread is refused, so that the JVM can start those on which it tells of signals, and until they are back the router
 * starts no more threads for requests than it had when one was refused.
 */
public final class ThreadReserve {
    /** Starts a thread, or throws OutOfMemoryError. */
    interface Starter {
        Thread begin(String name, Runnable work);
    }

    private record Work(String name, Runnable work) { }

    /** The watch of service discovery, the one before it, a single call, and an operator's call. */
    private static final int WORKERS = 4;
    /** Two signals at a time, and one thread more that the JVM may want. */
    private static final int PLACES = 3;

    private static final int FIRST = 1;
    /** So long at least between two looks. While one is made, and finds too little, the JVM has no room. */
    private static final long LOOK_PAUSE_NS = TimeUnit.MILLISECONDS.toNanos(100);

    private final Starter starter;
    private final AtomicInteger live = new AtomicInteger();
    private final AtomicLong lookedAt = new AtomicLong(System.nanoTime());
    private final AtomicLong refused = new AtomicLong();
    private final Work[] handed = new Work[WORKERS]; // with the next four under this lock
    private int waiting;
    private int idle;
    private boolean started;
    private int generation = FIRST; // places of an earlier one end
    private volatile boolean released;
    private volatile int liveMost = Integer.MAX_VALUE;

    ThreadReserve(Starter starter) { this.starter = starter; }

    /**
     * Starts its threads, once.
     *
     * @throws ResourceShortageException where they cannot be had for some seconds
     */
    public void startAll() {
        synchronized (this) {
            if (started) {
                return;
            }
            started = true;
        }
        for (int i = 0; i < WORKERS; i++) {
            Threads.startAtStart("reserve " + i, this::work);
        }
        for (int i = 0; i < PLACES; i++) {
            Threads.startAtStart("place " + i, () -> holdPlace(FIRST));
        }
    }

    /** Threads that could not be had, or were not tried for, so far. */
    public long refused() { return refused.get(); }

    /** Whether threads are short: one was refused, and there is no room yet for those that ended then. */
    public boolean isShort() { return released; }

    /** @throws OutOfMemoryError where no thread can be had */
    void start(String name, Runnable work) {
        if (live.get() >= liveMost) {
            lookAgain();
        }
        if (live.incrementAndGet() > liveMost) {
            live.decrementAndGet();
            refused.incrementAndGet();
            throw new OutOfMemoryError("threads are short: none for " + name);
        }
        try {
            starter.begin(name, () -> {
                try {
                    work.run();
                } finally {
                    live.decrementAndGet();
                }
            });
        } catch (OutOfMemoryError e) {
            int most = live.decrementAndGet();
            refused.incrementAndGet();
            release(most);
            throw e;
        }
    }

    /** Starts a thread, or has one of the reserve do the work; false where there is neither. */
    boolean startOrRun(String name, Runnable work) {
        try {
            start(name, work);
            return true;
        } catch (OutOfMemoryError e) {
            return run(new Work(name, work));
        }
    }

    private synchronized boolean run(Work work) {
        if (waiting >= idle) {
            return false;
        }
        handed[waiting++] = work;
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
        while (waiting == 0) {
            wait();
        }
        idle--;
        Work next = handed[--waiting];
        handed[waiting] = null;
        return next;
    }

    // ---- Room for the JVM's own threads -------------------------------------------------------------

    private synchronized void holdPlace(int since) {
        try {
            while (generation == since) {
                wait();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** The places end, and requests have no more threads than that. */
    private void release(int most) {
        synchronized (this) {
            if (!started) {
                return;
            }
            if (released) {
                liveMost = Math.min(liveMost, most);
                return;
            }
            released = true;
            liveMost = most;
            generation++;
            notifyAll();
        }
        SafeLog.warn("threads are short: no more than " + most + " for requests until there is room again");
    }

    /** Looks ahead of time, where somebody waits for a thread and the last look is some time ago. */
    private void lookAgain() {
        long now = System.nanoTime();
        long last = lookedAt.get();
        if (now - last >= LOOK_PAUSE_NS && lookedAt.compareAndSet(last, now)) {
            look();
        }
    }

    /** Looks whether threads can be had: now and then, by a thread that has time for it. */
    public synchronized void look() {
        lookedAt.set(System.nanoTime());
        if (!released) {
            tryOne();
        } else if (takePlaces()) {
            Logger.info("threads can be had again; {} were refused so far", refused.get());
        }
    }

    private void tryOne() {
        try {
            starter.begin("thread look", () -> { });
        } catch (OutOfMemoryError e) {
            release(live.get());
        }
    }

    /** Whether there is room for all that ended and for one more; where there is not, none of it is taken. */
    private boolean takePlaces() {
        int since = ++generation;
        try {
            for (int i = 0; i < PLACES; i++) {
                starter.begin("place " + i, () -> holdPlace(since));
            }
            starter.begin("thread look", () -> { });
        } catch (OutOfMemoryError e) {
            endPlaces();
            return false;
        }
        released = false;
        liveMost = Integer.MAX_VALUE;
        return true;
    }

    private synchronized void endPlaces() {
        generation++;
        notifyAll();
    }
}
