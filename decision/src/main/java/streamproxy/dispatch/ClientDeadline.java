package streamproxy.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * Until when a client waits, reckoned from the earliest moment at which it may have sent its request. Whoever needs a span
 * asks for what is left at the moment at which the span is used. Times are nanoseconds of one monotonic clock, which the
 * caller reads.
 *
 * @param endsAtNs the moment at which the client's time is over
 */
public record ClientDeadline(long endsAtNs) {
    /**
     * So much time may lie between the last look that found nothing and the reading of a request before it counts as time of
     * the client's: two looks at a quiet socket are nearly as far apart.
     */
    public static final long SENT_TOLERANCE_NS = TimeUnit.MILLISECONDS.toNanos(60);
    /** A request that takes longer than that from its first byte to its last may be told too much, and is not written to its end. */
    public static final long WRITING_NS = TimeUnit.MILLISECONDS.toNanos(60);
    /** A replica is told so much less than what is left, and nothing is begun with less. */
    public static final long TOLD_MARGIN_NS = SENT_TOLERANCE_NS + WRITING_NS;
    /** A replica is told whole milliseconds. */
    private static final long GRAIN_NS = TimeUnit.MILLISECONDS.toNanos(1);

    /**
     * The deadline of a request that was read at {@code readAtNs}.
     *
     * @param sentNotBeforeNs the last moment at which its last byte is known not to have come
     * @param budgetNs        for how long its client waits from its sending
     */
    public static ClientDeadline of(long readAtNs, long sentNotBeforeNs, long budgetNs) {
        return new ClientDeadline(Math.min(readAtNs, sentNotBeforeNs + SENT_TOLERANCE_NS) + budgetNs);
    }

    /** How long the client still waits; negative where its time is over. */
    public long leftNs(long now) { return endsAtNs - now; }

    /** Whether the client's time is over. */
    public boolean isOver(long now) { return leftNs(now) <= 0; }

    /** Whether enough is left for an attempt. */
    public boolean allowsAttempt(long now) { return leftNs(now) >= TOLD_MARGIN_NS + GRAIN_NS; }

    /**
     * What a replica is told that is given until {@code endsAt}, in whole milliseconds, rounded down, but at least one.
     *
     * @param endsAt when the router stops waiting for this replica
     */
    public long toldNs(long endsAt, long now) {
        long most = Math.min(endsAt - now, leftNs(now) - TOLD_MARGIN_NS);
        return Math.max(GRAIN_NS, most / GRAIN_NS * GRAIN_NS);
    }

    /** Whether the client has left what a replica was told, whenever it sent its request. */
    public boolean covers(long toldNs, long now) { return toldNs <= leftNs(now) - SENT_TOLERANCE_NS; }
}
