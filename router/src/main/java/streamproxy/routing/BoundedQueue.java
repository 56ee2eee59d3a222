package streamproxy.routing;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** A queue of any number of writers that holds so many at most. Nobody who writes or reads ever waits for another. */
final class BoundedQueue<M> {
    private final Queue<M> messages = new ConcurrentLinkedQueue<>();
    private final AtomicInteger held = new AtomicInteger();
    private final AtomicLong turnedAway = new AtomicLong();
    private final int bound;

    BoundedQueue(int bound) { this.bound = bound; }

    /** Leaves a message; false where there is no room. */
    boolean add(M message) {
        int now;
        do {
            now = held.get();
            if (now >= bound) {
                return false;
            }
        } while (!held.compareAndSet(now, now + 1));
        try {
            messages.add(message);
        } catch (OutOfMemoryError e) {
            held.decrementAndGet(); // else its place would stay taken for ever
            throw e;
        }
        return true;
    }

    /** The same, and one that finds no room is counted. */
    boolean offer(M message) {
        boolean left = add(message);
        if (!left) {
            turnedAway.incrementAndGet();
        }
        return left;
    }

    /** The oldest message; null where there is none. */
    M poll() {
        M message = messages.poll();
        if (message != null) {
            held.decrementAndGet();
        }
        return message;
    }

    boolean isEmpty() { return messages.isEmpty(); }

    /** How many messages found no room in {@link #offer}. */
    long turnedAway() { return turnedAway.get(); }
}
