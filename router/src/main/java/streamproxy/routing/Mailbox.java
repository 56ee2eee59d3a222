package streamproxy.routing;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.LockSupport;

/**
 * A bounded mailbox of one reader and any number of writers, in which nobody ever waits for a thread that is in the
 * middle of something: whoever finds nothing to do parks, and whoever finds something goes on.
 *
 * <p>A {@code LinkedBlockingQueue} does not have that property. A timed wait on its condition that has run out while a
 * writer has claimed the waiter, but not yet put it on the lock's queue, asks for the time again and again until that
 * writer has been run ({@code AbstractQueuedSynchronizer.ConditionObject.awaitNanos}). Where the writer cannot run
 * meanwhile, since threads take turns or the reader has the higher priority, the reader turns for ever.
 *
 * <p>Costs: one link of the queue for each message, and one wake-up for each rest of the reader, whoever many write.
 */
final class Mailbox<M> {
    /** For {@link #take}: as long as it takes. */
    static final long NEVER = Long.MAX_VALUE;

    /** How soon a writer that waits for room looks again; ns. */
    private static final long FULL_LOOK = 1_000_000L;

    private final Queue<M> messages = new ConcurrentLinkedQueue<>();
    private final AtomicInteger held = new AtomicInteger();
    private final AtomicLong turnedAway = new AtomicLong();
    /** The reader while it rests or is about to; the writer that takes it out wakes it, and no other need. */
    private final AtomicReference<Thread> resting = new AtomicReference<>();
    private final int bound;

    Mailbox(int bound) { this.bound = bound; }

    /** Leaves a message without waiting; false, and counted, where the mailbox is full. */
    boolean offer(M message) {
        boolean left = add(message);
        if (!left) {
            turnedAway.incrementAndGet();
        }
        return left;
    }

    /** Leaves a message, waiting while the mailbox is full. */
    void put(M message) throws InterruptedException {
        while (!add(message)) {
            LockSupport.parkNanos(this, FULL_LOOK);
            if (Thread.interrupted()) {
                throw new InterruptedException();
            }
        }
    }

    /**
     * For the reader alone: the next message, or null once {@code restNs} have passed without one, or sooner, as a park
     * may end for no reason. With {@link #NEVER} it rests until there is one, or for no reason.
     */
    M take(long restNs) throws InterruptedException {
        M message = poll();
        if (message != null || restNs <= 0) {
            return message;
        }
        resting.set(Thread.currentThread());
        message = poll(); // a writer that came before that line saw nobody rest
        if (message == null) {
            if (restNs == NEVER) {
                LockSupport.park(this);
            } else {
                LockSupport.parkNanos(this, restNs);
            }
            message = poll();
        }
        resting.set(null);
        if (message == null && Thread.interrupted()) {
            throw new InterruptedException();
        }
        return message;
    }

    boolean isEmpty() { return messages.isEmpty(); }

    /** How many messages found no room in {@link #offer}. */
    long turnedAway() { return turnedAway.get(); }

    private boolean add(M message) {
        int now;
        do {
            now = held.get();
            if (now >= bound) {
                return false;
            }
        } while (!held.compareAndSet(now, now + 1));
        messages.add(message);
        Thread reader = resting.get();
        if (reader != null && resting.compareAndSet(reader, null)) {
            LockSupport.unpark(reader);
        }
        return true;
    }

    private M poll() {
        M message = messages.poll();
        if (message != null) {
            held.decrementAndGet();
        }
        return message;
    }
}
