package streamproxy.timing;

import java.util.Objects;

/**
 * A hierarchical timing wheel: setting and ending a timer take the same few steps however many are set, and moving
 * on costs what falls due. After Varghese and Lauck, "Hashed and Hierarchical Timing Wheels" (SOSP 1987), scheme 7,
 * with a word of occupied slots for each level, so that empty ones are never visited.
 *
 * <p>A level has 64 slots, and a slot of one level spans all of the level below. A timer stands at the level of the
 * highest base-64 digit in which its tick differs from the wheel's; when the wheel reaches the slot, its timers move
 * down. So each is moved at most once a level. Timers are links of rings themselves: nothing is allocated for them.
 *
 * <p>Times are nanoseconds of whatever clock the caller keeps; the wheel has none, and no thread. One thread at a
 * time may use it. A timer never goes off early, and late by at most a tick and by how seldom {@link #advance} is
 * called.
 */
public final class TimerWheel {
    /** Something that may fall due; it can be set again once it has, or has been ended. */
    public abstract static class Timer {
        private Timer before;
        private Timer after; // null where it is not set
        private long dueTick;
        private int place;

        /** Its time has come; it is no longer set, and may set or end any timer of the wheel, itself included. */
        protected abstract void due(long now);

        /** Whether it is set on a wheel. */
        public final boolean isSet() { return after != null; }
    }

    private static final int DIGIT = 6;
    private static final int SLOTS = 1 << DIGIT;
    private static final int LEVELS = 7;
    private static final long FARTHEST = (1L << DIGIT * LEVELS) - 1;

    private final int tickShift;
    private final long origin;
    private final Timer[] first = new Timer[LEVELS * SLOTS]; // of each slot's ring
    private final long[] occupied = new long[LEVELS];
    private long tick;
    private int size;

    /**
     * A wheel that starts at {@code now}.
     *
     * @param tickShift the length of a tick as a power of two, in nanoseconds: 18 is 0.26 ms, 20 about a millisecond
     */
    public TimerWheel(int tickShift, long now) {
        if (tickShift < 0 || tickShift > 40) {
            throw new IllegalArgumentException("tick of 2^" + tickShift + " ns");
        }
        this.tickShift = tickShift;
        origin = now;
    }

    /** How many timers are set. */
    public int size() { return size; }

    /** The longest that a timer may be late for the sake of the wheel's ticks, in nanoseconds. */
    public long tickNs() { return 1L << tickShift; }

    /** Sets the timer to go off at that time, or with the next tick where it has passed; one that is set is moved. */
    public void set(Timer timer, long at) {
        Objects.requireNonNull(timer, "timer");
        if (timer.after != null) {
            unlink(timer);
        } else {
            size++;
        }
        timer.dueTick = Math.min(FARTHEST, Math.max(tick + 1, tickAfter(at)));
        link(timer);
    }

    /** Ends the timer; false where it was not set. */
    public boolean end(Timer timer) {
        if (timer.after == null) {
            return false;
        }
        unlink(timer);
        size--;
        return true;
    }

    /** Moves on to that time and lets go off all that is due by then, the earliest tick first. */
    public void advance(long now) {
        long last = now - origin >> tickShift;
        while (true) {
            int level = lowest();
            if (level == LEVELS) {
                break;
            }
            int slot = Long.numberOfTrailingZeros(occupied[level]);
            long start = start(level, slot);
            if (start > last) {
                break;
            }
            tick = Math.max(tick, start);
            if (level == 0) {
                goOff(slot, now);
            } else {
                moveDown(level * SLOTS + slot);
            }
        }
        tick = Math.max(tick, Math.min(FARTHEST, last));
    }

    /**
     * When {@link #advance} has something to do next; {@link Long#MAX_VALUE} where no timer is set. It may be before
     * the next timer falls due, as timers that are far away first move down, at most once a level.
     */
    public long nextAt() {
        int level = lowest();
        if (level == LEVELS) {
            return Long.MAX_VALUE;
        }
        return origin + (start(level, Long.numberOfTrailingZeros(occupied[level])) << tickShift);
    }

    /** Lower levels hold what is due earlier: their timers agree with the wheel in more digits. */
    private int lowest() {
        int level = 0;
        while (level < LEVELS && occupied[level] == 0) {
            level++;
        }
        return level;
    }

    /** The first tick of a slot that the wheel has not passed; all digits above the slot's are the wheel's own. */
    private long start(int level, int slot) {
        int below = level * DIGIT;
        return (tick >> below + DIGIT << DIGIT | slot) << below;
    }

    private void goOff(int slot, long now) {
        // One at a time: what goes off may end those behind it. None is added here, as no timer is set for this tick.
        for (Timer timer = first[slot]; timer != null; timer = first[slot]) {
            unlink(timer);
            size--;
            timer.due(now);
        }
    }

    private void moveDown(int place) {
        for (Timer timer = first[place]; timer != null; timer = first[place]) {
            unlink(timer);
            link(timer);
        }
    }

    /** Never early: a time within a tick belongs to the end of that tick. */
    private long tickAfter(long at) {
        long since = at - origin;
        long whole = since >> tickShift;
        return (whole << tickShift) < since ? whole + 1 : whole;
    }

    private void link(Timer timer) {
        long differs = timer.dueTick ^ tick;
        int level = differs == 0 ? 0 : (Long.SIZE - 1 - Long.numberOfLeadingZeros(differs)) / DIGIT;
        int slot = (int) (timer.dueTick >> level * DIGIT) & SLOTS - 1;
        int place = level * SLOTS + slot;
        timer.place = place;
        Timer head = first[place];
        if (head == null) {
            timer.before = timer;
            timer.after = timer;
            first[place] = timer;
            occupied[level] |= 1L << slot;
        } else {
            timer.before = head.before;
            timer.after = head;
            head.before.after = timer;
            head.before = timer;
        }
    }

    private void unlink(Timer timer) {
        int place = timer.place;
        if (timer.after == timer) {
            first[place] = null;
            occupied[place >> DIGIT] &= ~(1L << (place & SLOTS - 1));
        } else {
            timer.before.after = timer.after;
            timer.after.before = timer.before;
            if (first[place] == timer) {
                first[place] = timer.after;
            }
        }
        timer.before = null;
        timer.after = null;
    }
}
