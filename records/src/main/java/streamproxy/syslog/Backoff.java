package streamproxy.syslog;

import java.util.SplittableRandom;

/**
 * How long to wait before a collector is tried again: twice as long each time, up to a most, and each time drawn from
 * the upper half, so that routers that lost it together do not come back together. Not thread-safe.
 */
final class Backoff {
    private final long leastNs;
    private final long mostNs;
    private final SplittableRandom random;
    private long nextNs;

    Backoff(long leastNs, long mostNs, long seed) {
        this.leastNs = leastNs;
        this.mostNs = mostNs;
        random = new SplittableRandom(seed);
        nextNs = leastNs;
    }

    /** The wait after one more failure. */
    long failed() {
        long wait = nextNs / 2 + random.nextLong(nextNs / 2 + 1);
        nextNs = Math.min(mostNs, 2 * nextNs);
        return wait;
    }

    /** It works again. */
    void worked() { nextNs = leastNs; }
}
