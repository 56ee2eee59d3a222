package streamproxy.routing;

import streamproxy.transport.SafeLog;
import streamproxy.transport.Threads;

/** One thread and its bounded mailbox; all that the actor owns is touched by that thread alone. */
abstract class Actor<M> implements Watched {
    static final long NEVER = Mailbox.NEVER;
    private static final long AT_WORK = Long.MIN_VALUE;

    private final Mailbox<M> mailbox;
    private final String name;
    private volatile boolean stopped;
    // The actor alone writes these, for its watchdog.
    private volatile Thread thread;
    private volatile long turns;
    private volatile long restsUntil = NEVER; // by System.nanoTime, or AT_WORK

    Actor(String name, int bound) {
        this.name = name;
        mailbox = new Mailbox<>(bound);
    }

    /** Starts its thread, under that watch. */
    public final void start(Watchdog watchdog) {
        watchdog.watch(this);
        Threads.startAtStart(name, () -> {
            thread = Thread.currentThread();
            run();
            watchdog.ended(this);
        });
    }

    /** The actor's thread ends after the message it is at. */
    final void stop() { stopped = true; }

    /** Leaves a message without waiting; false, and counted, where the mailbox is full. */
    final boolean offer(M message) { return mailbox.offer(message); }

    final boolean isEmpty() { return mailbox.isEmpty(); }

    /** Leaves a message, waiting while the mailbox is full. Not for actors, who would wait for each other. */
    final void put(M message) {
        try {
            mailbox.put(message);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Takes one message; must not wait for any peer. */
    abstract void take(M message);

    /** Called after each message and when {@link #restNs} has passed. */
    abstract void onTime();

    /** How long the actor may wait for its next message. */
    abstract long restNs();

    // ---- What its watchdog asks ---------------------------------------------------------------------

    @Override public final long turns() { return turns; }

    @Override public final boolean isDue(long now) {
        long until = restsUntil;
        return until == AT_WORK || !mailbox.isEmpty() || until != NEVER && now - until > 0;
    }

    @Override public final Thread thread() { return thread; }

    @Override public final long turnedAway() { return mailbox.turnedAway(); }

    @Override public final String toString() { return name; }

    private void run() {
        while (!stopped) {
            try {
                long rest = restNs();
                if (rest > 0) {
                    restsUntil = rest == NEVER ? NEVER : System.nanoTime() + rest;
                }
                M message = mailbox.take(rest);
                restsUntil = AT_WORK;
                turns++;
                if (message != null) {
                    take(message);
                }
                onTime();
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException | Error e) {
                SafeLog.error(e, name + " goes on after"); // one bad message, or no memory for it, must not end the router
            }
        }
    }
}
