package streamproxy.routing;

import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.LockSupport;
import streamproxy.timing.TimerWheel;
import streamproxy.transport.SafeLog;
import streamproxy.transport.Threads;

/** One thread that runs many actors, in the order in which they were left something to do, and keeps their timers. */
final class ActorThread implements Watched {
    /** A tick of about a quarter of a millisecond, as the module's actor has it. */
    private static final int TICK_SHIFT = 18;
    private static final long AT_WORK = Long.MIN_VALUE;

    private final String name;
    private final TimerWheel wheel = new TimerWheel(TICK_SHIFT, System.nanoTime());
    /** Those to be run, the last one first, linked by themselves. */
    private final AtomicReference<SharedThreadActor<?>> scheduled = new AtomicReference<>();
    private final AtomicReference<Thread> resting = new AtomicReference<>();
    private SharedThreadActor<?> pending; // taken out of the queue in order, and not run yet
    private volatile SharedThreadActor<?> running;
    // The thread alone writes these, for its watchdog.
    private volatile Thread thread;
    private volatile long turns;
    private volatile long restsUntil = Mailbox.NEVER; // by System.nanoTime, or AT_WORK

    ActorThread(String name) { this.name = name; }

    void start(Watchdog watchdog) {
        watchdog.watch(this);
        Threads.startAtStart(name, this::run);
    }

    /** An actor that stands in no queue is run soon. Any thread may say so; it takes no memory. */
    void enqueue(SharedThreadActor<?> actor) {
        SharedThreadActor<?> before;
        do {
            before = scheduled.get();
            actor.nextScheduled = before;
        } while (!scheduled.compareAndSet(before, actor));
        Thread reader = resting.get();
        if (reader != null && resting.compareAndSet(reader, null)) {
            LockSupport.unpark(reader);
        }
    }

    private void run() {
        thread = Thread.currentThread();
        while (true) {
            try {
                restsUntil = AT_WORK;
                turns++;
                runScheduled();
                wheel.advance(System.nanoTime());
                rest();
            } catch (RuntimeException | Error e) {
                SafeLog.error(e, "the threads of actors go on after");
            }
        }
    }

    private void runScheduled() {
        if (pending == null) {
            pending = inOrder(scheduled.getAndSet(null));
        }
        while (pending != null) {
            SharedThreadActor<?> next = pending;
            pending = next.nextScheduled;
            next.nextScheduled = null;
            running = next;
            turns++;
            next.turn(wheel);
        }
        running = null;
    }

    /** The same links the other way round: those that were left something first are run first. */
    private static SharedThreadActor<?> inOrder(SharedThreadActor<?> last) {
        SharedThreadActor<?> first = null;
        for (SharedThreadActor<?> at = last; at != null;) {
            SharedThreadActor<?> before = at.nextScheduled;
            at.nextScheduled = first;
            first = at;
            at = before;
        }
        return first;
    }

    private void rest() {
        long next = wheel.nextAt();
        long now = System.nanoTime();
        if (next != Long.MAX_VALUE && next - now <= 0) {
            return;
        }
        resting.set(Thread.currentThread());
        if (scheduled.get() == null) { // one that was left something before that line saw nobody rest
            restsUntil = next == Long.MAX_VALUE ? Mailbox.NEVER : next;
            if (next == Long.MAX_VALUE) {
                LockSupport.park(this);
            } else {
                LockSupport.parkNanos(this, next - now);
            }
        }
        resting.set(null);
        Thread.interrupted(); // nobody ends it: kept, the flag would keep it from resting
    }

    // ---- What its watchdog asks ---------------------------------------------------------------------

    @Override public long turns() { return turns; }

    @Override public boolean isDue(long now) {
        long until = restsUntil;
        return until == AT_WORK || scheduled.get() != null || until != Mailbox.NEVER && now - until > 0;
    }

    @Override public Thread thread() { return thread; }

    @Override public long turnedAway() {
        SharedThreadActor<?> now = running;
        return now == null ? 0 : now.turnedAway();
    }

    @Override public String toString() {
        SharedThreadActor<?> now = running;
        return now == null ? name : name + " at " + now;
    }
}
