package streamproxy.syslog;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;
import org.agrona.concurrent.ManyToOneConcurrentArrayQueue;
import streamproxy.records.Event;

/**
 * Records on their way from those that serve to the one that sends. Offering neither waits nor takes a lock. Each rank
 * may fill the queue only so far, so that what is worth less is dropped first and there is always some room left for
 * what is worth more. What is dropped is counted by kind.
 */
public final class RecordQueue {
    /** Eighths of the queue that a rank may fill, by {@link Event.Rank#ordinal}. */
    private static final int[] EIGHTHS = {4, 6, 7, 8};

    private final ManyToOneConcurrentArrayQueue<Event> queue;
    private final int most;
    private final AtomicLongArray dropped = new AtomicLongArray(Event.Kind.values().length); // since it was last told
    private final AtomicLong droppedEver = new AtomicLong();
    private volatile boolean closed;
    private final AtomicLongArray made = new AtomicLongArray(Event.Kind.values().length);

    /** A queue for so many; at least 8. */
    public RecordQueue(int most) {
        this.most = Math.max(8, most);
        queue = new ManyToOneConcurrentArrayQueue<>(this.most);
    }

    /** How many may wait when one of that rank is still taken. */
    static int share(Event.Rank rank, int most) { return (int) ((long) most * EIGHTHS[rank.ordinal()] / 8); }

    /** Takes the event, or drops and counts it. */
    public void offer(Event event) {
        if (closed) {
            return;
        }
        made.incrementAndGet(event.kind().ordinal());
        if (queue.size() >= share(event.kind().rank(), most) || !queue.offer(event)) {
            gaveUp(event);
        }
    }

    /** From now on nothing is taken any more, and nothing is counted: the process ends, and nobody would send it. */
    void close() { closed = true; }

    boolean isClosed() { return closed; }

    /** The next one, for the sending thread alone; null where there is none. */
    public Event poll() { return queue.poll(); }

    /** How many wait now. */
    public int waiting() { return queue.size(); }

    /** One that was taken could not be sent after all. */
    void gaveUp(Event event) {
        dropped.incrementAndGet(event.kind().ordinal());
        droppedEver.incrementAndGet();
    }

    /** All that were dropped so far. */
    public long dropped() { return droppedEver.get(); }

    /** What was dropped since the last call, by {@link Event.Kind#ordinal}. */
    List<Long> takeDropped() {
        List<Long> taken = new ArrayList<>();
        for (int i = 0; i < dropped.length(); i++) {
            taken.add(dropped.getAndSet(i, 0));
        }
        return taken;
    }

    /** Puts back what {@link #takeDropped} took, since nobody was told of it. */
    void putBack(List<Long> taken) {
        for (int i = 0; i < taken.size(); i++) {
            dropped.addAndGet(i, taken.get(i));
        }
    }

    /** All that were offered so far. */
    public long made() {
        long all = 0;
        for (int i = 0; i < made.length(); i++) {
            all += made.get(i);
        }
        return all;
    }
}
