package streamproxy.routing;

import java.util.concurrent.atomic.AtomicIntegerFieldUpdater;
import java.util.concurrent.locks.LockSupport;
import streamproxy.timing.TimerWheel;
import streamproxy.transport.SafeLog;

/**
 * An actor without a thread of its own: one of a few threads that many actors share runs it whenever it has a message or
 * its time has come, and no other thread ever does. At rest it costs some memory and nothing else.
 */
abstract class SharedThreadActor<M> {
    static final long NEVER = Mailbox.NEVER;
    /** An actor takes so many messages before others of its thread have their turn. */
    private static final int TURN_MOST = 64;
    /** How soon a writer that waits for room looks again. */
    private static final long FULL_LOOK_NS = 1_000_000L;
    @SuppressWarnings("rawtypes") // a class literal has no type arguments
    private static final AtomicIntegerFieldUpdater<SharedThreadActor> SCHEDULED =
            AtomicIntegerFieldUpdater.newUpdater(SharedThreadActor.class, "scheduled");

    /** Goes off when the actor wanted to be run though no message has come. */
    private final class Wake extends TimerWheel.Timer {
        @Override protected void due(long now) { schedule(); }
    }

    private final BoundedQueue<M> mailbox;
    private final ActorThread thread;
    private final Wake wake = new Wake();
    private volatile int scheduled;
    private volatile boolean stopped;
    /** The next in its thread's queue, in which it stands once at most; the queue needs no memory of its own. */
    SharedThreadActor<?> nextScheduled;

    SharedThreadActor(ActorThread thread, int bound) {
        this.thread = thread;
        mailbox = new BoundedQueue<>(bound);
    }

    /** Leaves a message without waiting; false, and counted, where the mailbox is full. */
    final boolean offer(M message) {
        boolean left = mailbox.offer(message);
        if (left) {
            schedule();
        }
        return left;
    }

    /** Leaves a message, waiting while the mailbox is full. Not for actors, who would wait for each other. */
    final void put(M message) {
        while (!mailbox.add(message)) {
            LockSupport.parkNanos(this, FULL_LOOK_NS);
            if (Thread.currentThread().isInterrupted()) {
                return;
            }
        }
        schedule();
    }

    final boolean isEmpty() { return mailbox.isEmpty(); }

    /** It is not run any more after this turn. */
    final void stop() { stopped = true; }

    final boolean isStopped() { return stopped; }

    final long turnedAway() { return mailbox.turnedAway(); }

    /** Takes one message; must not wait for any peer. */
    abstract void take(M message);

    /** Called at the end of each turn. */
    abstract void onTime();

    /** How long the actor may wait for its next message. */
    abstract long restNs();

    /** It is run soon, though no message has come; takes no memory. */
    final void schedule() {
        if (SCHEDULED.compareAndSet(this, 0, 1)) {
            thread.enqueue(this);
        }
    }

    /** One turn, by its thread; whatever fails in it, the actor is run again when there is something to do. */
    final void turn(TimerWheel wheel) {
        scheduled = 0; // first: what is left from now on has it run again
        if (stopped) {
            return;
        }
        for (int taken = 0; taken < TURN_MOST; taken++) {
            M message = mailbox.poll();
            if (message == null) {
                break;
            }
            try {
                take(message);
            } catch (RuntimeException | Error e) { // one bad message, or no memory for it, must not cost the others
                SafeLog.error(e, "an actor goes on after");
            }
        }
        try {
            onTime();
        } catch (RuntimeException | Error e) {
            SafeLog.error(e, "an actor goes on after");
        }
        if (stopped) {
            wheel.end(wake);
        } else if (!mailbox.isEmpty()) {
            schedule();
        } else {
            rest(wheel);
        }
    }

    private void rest(TimerWheel wheel) {
        long rest = restNs();
        if (rest == NEVER) {
            wheel.end(wake);
        } else {
            wheel.set(wake, System.nanoTime() + Math.max(0, rest));
        }
    }
}
