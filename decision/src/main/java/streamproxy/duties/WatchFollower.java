package streamproxy.duties;

/**
 * Whether a member that is told the list by the one that holds its watch needs a watch of its own. It does where the holder
 * does not answer, or answers that its watch has brought nothing, or is behind what this member knows, and for a while
 * after: so no change comes later than by a watch of one's own, whose silence is noticed after
 * {@link #WATCH_QUIET_NS} at the earliest, too. Members begin one after another, as the service may be short of room.
 *
 * <p>It has no clock; one thread at a time may use it.
 */
public final class WatchFollower {
    /** A holder that has not answered for so long is taken to be silent. */
    static final long SILENT_NS = 1_500_000_000L;
    /**
     * A watch carries at least an empty line every 2 s: without one for so long it counts as broken. Sooner than its own router
     * opens another (3 s, ServiceDiscovery.SILENCE): else a watch that stands again and again would keep the duty.
     */
    public static final long WATCH_QUIET_NS = 2_750_000_000L;
    /** Who is next in line leaves the one before so long, but nobody waits for more than the most. */
    static final long STEP_NS = 50_000_000L;
    static final long STEPS_MOST_NS = 1_000_000_000L;
    /** Answers must have been good for so long before a watch of one's own is given up. */
    static final long SETTLED_NS = 1_000_000_000L;

    private boolean holds;
    private boolean own;
    private int rank;
    private long answeredAt;
    private long watchHeardAt;
    private long goodSince;

    /** It begins without a watch, and waits for a holder as long as for one that falls silent. */
    public WatchFollower(long now) {
        answeredAt = now;
        watchHeardAt = now;
        goodSince = now;
    }

    /** Whether this member holds the watch for the others. */
    public void holds(boolean now) { holds = now; }

    /** How many members stand before this one. */
    public void rank(int place) { rank = place; }

    /**
     * The holder has answered.
     *
     * @param askedAt when it was asked, which its answer may be as old as
     * @param quietNs how long its watch had brought nothing, not even an empty line
     * @param caughtUp whether it knows all that is known here
     */
    public void answered(long now, long askedAt, long quietNs, boolean caughtUp) {
        if (!caughtUp) {
            return;
        }
        if (isOver(now)) {
            goodSince = now;
        }
        answeredAt = Math.max(answeredAt, askedAt);
        watchHeardAt = Math.max(watchHeardAt, askedAt - quietNs);
        if (isOver(now)) {
            goodSince = now;
        }
    }

    /** Whether this member is to have a watch of its own now. */
    public boolean own(long now) {
        boolean over = isOver(now);
        goodSince = over ? now : goodSince;
        if (holds || over) {
            own = true;
        } else if (own && now - goodSince >= SETTLED_NS) {
            own = false;
        }
        return own;
    }

    private boolean isOver(long now) {
        long step = Math.min(STEPS_MOST_NS, rank * STEP_NS);
        return now - answeredAt >= SILENT_NS + step || now - watchHeardAt >= WATCH_QUIET_NS + step;
    }
}
