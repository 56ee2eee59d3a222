package streamproxy.routing;

import java.util.concurrent.ThreadLocalRandom;

/**
 * The ids of the requests that were taken lately. An id differs with every request, a client's retry included: one
 * that comes again is another client's mistake, and passed on it would be a second copy of the first.
 *
 * <p>Ids are kept as keyed hashes of 64 bits, the last {@value #MOST} of them, in 3 MB: a client that sends new ids at full
 * speed must not drive out, within the time of a request, those of others.
 */
public final class RecentRequestIds implements RequestIds {
    static final int MOST = 1 << 17;
    /** Half of the table stays empty, so that a look-up takes few steps. */
    private static final int SLOTS = 2 * MOST;
    private static final long EMPTY = 0;

    private final long key = ThreadLocalRandom.current().nextLong();
    private final long[] latest = new long[MOST]; // a ring, in the order in which they were taken
    private final long[] table = new long[SLOTS]; // open addressing, by linear probing
    private int next;

    @Override public synchronized boolean add(String id) {
        long hash = hash(id);
        if (table[slotOf(hash)] == hash) {
            return false;
        }
        if (latest[next] != EMPTY) {
            remove(latest[next]);
        }
        latest[next] = hash;
        next = (next + 1) % MOST;
        table[slotOf(hash)] = hash;
        return true;
    }

    private long hash(String id) {
        long hash = KeyedHash.of(key, id);
        return hash == EMPTY ? 1 : hash;
    }

    /** Where a hash stands, or where it would be put. */
    private int slotOf(long hash) {
        int slot = home(hash);
        while (table[slot] != EMPTY && table[slot] != hash) {
            slot = after(slot);
        }
        return slot;
    }

    /** Takes a hash out, and moves those behind it up that would not be found any more. */
    private void remove(long hash) {
        int hole = slotOf(hash);
        for (int slot = after(hole); table[slot] != EMPTY; slot = after(slot)) {
            int distance = slot - home(table[slot]) & SLOTS - 1;
            if (distance >= (slot - hole & SLOTS - 1)) {
                table[hole] = table[slot];
                hole = slot;
            }
        }
        table[hole] = EMPTY;
    }

    private static int home(long hash) { return (int) hash & SLOTS - 1; }

    private static int after(int slot) { return slot + 1 & SLOTS - 1; }
}
