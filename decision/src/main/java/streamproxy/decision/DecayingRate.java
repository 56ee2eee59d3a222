package streamproxy.decision;

/** How many events there were a second lately: each counts less the longer ago it was. Times are in nanoseconds. */
final class DecayingRate {
    /** After so long an event counts 1/e of what it did. */
    private static final double MEMORY_S = 8;
    private static final double SECOND = 1e9;

    private double perS;
    private long at;

    DecayingRate(long now) { at = now; }

    void count(long now) {
        perS = perS(now) + 1 / MEMORY_S;
        at = now;
    }

    double perS(long now) { return perS * Math.exp((at - now) / (MEMORY_S * SECOND)); }
}
