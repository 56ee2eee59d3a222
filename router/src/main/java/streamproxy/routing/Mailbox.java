package streamproxy.routing;

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

    /** So often a writer looks again that finds no memory; some seconds. */
    private static final int SHORT_LOOKS_MOST = 3_000;

    private final BoundedQueue<M> messages;
    /** The reader while it rests or is about to; the writer that takes it out wakes it, and no other need. */
    private final AtomicReference<Thread> resting = new AtomicReference<>();

    Mailbox(int bound) { messages = new BoundedQueue<>(bound); }

    /** Leaves a message without waiting; false, and counted, where the mailbox is full. */
    boolean offer(M message) {
        boolean left = messages.offer(message);
        if (left) {
            wakeReader();
        }
        return left;
    }

    /**
     * Leaves a message, waiting while the mailbox is full, and for a while where there is no memory to leave it in: what it
     * tells would be lost.
     */
    void put(M message) throws InterruptedException {
        for (int shortLooks = 0; !tryAdd(message, shortLooks); shortLooks++) {
            LockSupport.parkNanos(this, FULL_LOOK);
            if (Thread.interrupted()) {
                throw new InterruptedException();
            }
        }
        wakeReader();
    }

    /**
     * For the reader alone: the next message, or null once {@code restNs} have passed without one, or sooner, as a park
     * may end for no reason. With {@link #NEVER} it rests until there is one, or for no reason.
     */
    M take(long restNs) throws InterruptedException {
        M message = messages.poll();
        if (message != null || restNs <= 0) {
            return message;
        }
        resting.set(Thread.currentThread());
        message = messages.poll(); // a writer that came before that line saw nobody rest
        if (message == null) {
            if (restNs == NEVER) {
                LockSupport.park(this);
            } else {
                LockSupport.parkNanos(this, restNs);
            }
            message = messages.poll();
        }
        resting.set(null);
        if (message == null && Thread.interrupted()) {
            throw new InterruptedException();
        }
        return message;
    }

    boolean isEmpty() { return messages.isEmpty(); }

    /** How many messages found no room in {@link #offer}. */
    long turnedAway() { return messages.turnedAway(); }

    private boolean tryAdd(M message, int looks) {
        try {
            return messages.add(message);
        } catch (OutOfMemoryError e) {
            if (looks >= SHORT_LOOKS_MOST) {
                throw e;
            }
            return false;
        }
    }

    private void wakeReader() {
        Thread reader = resting.get();
        if (reader != null && resting.compareAndSet(reader, null)) {
            LockSupport.unpark(reader);
        }
    }
}
