package streamproxy.limits;

import java.util.SplittableRandom;

/**
 * When clients that are turned away for want of room are told to come back. Told the same time they would all be there
 * together again; so the times are spread over as long as the router needs to take them in, drawn evenly, and bounded by
 * the longest wait that clients heed.
 */
public final class RetryAfterSchedule {
    private static final double SECOND = 1e9;
    /** Time over which those turned away are counted. */
    private static final double MEMORY_S = 2;
    private static final double LEAST_S = 0.25;
    private static final double SPREAD_LEAST_S = 0.75;

    private final SplittableRandom random;
    private double turnedAway;
    private long at;

    public RetryAfterSchedule(long seed) { random = new SplittableRandom(seed); }

    /**
     * One more is turned away now.
     *
     * @param perS   how many a second the router can take on; infinite where that is not limited
     * @param mostNs the longest wait that clients heed
     * @return the wait to tell, in nanoseconds; 0 where no wait may be told
     */
    public long after(long now, double perS, long mostNs) {
        turnedAway = turnedAway * Math.exp(-Math.max(0, now - at) / (MEMORY_S * SECOND)) + 1;
        at = Math.max(at, now);
        if (mostNs <= 0) {
            return 0;
        }
        double spread = Math.max(SPREAD_LEAST_S, turnedAway / perS);
        return Math.min(mostNs, (long) (SECOND * (LEAST_S + Math.min(spread, mostNs / SECOND - LEAST_S) * random.nextDouble())));
    }
}
