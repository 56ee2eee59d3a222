package streamproxy.streams;

/**
 * What an installation lets a stream of one class do. Times are nanoseconds.
 *
 * @param holdBytes    the most that is held for its reader
 * @param lagNs        how long its reader may leave that full
 * @param firstGapNs   how long the gap to the next event may be before its own pace is known, and the longest at any time
 * @param leastGapNs   no shorter gap is a stall
 * @param gapFactor    a gap so many times as long as nearly all before is one; infinite for only {@code firstGapNs}
 */
public record StreamLimits(int holdBytes, long lagNs, long firstGapNs, long leastGapNs, double gapFactor) {
    public StreamLimits {
        if (holdBytes < 1 || lagNs < 1 || leastGapNs < 1 || firstGapNs < leastGapNs || !(gapFactor >= 1)) {
            throw new IllegalArgumentException("holdBytes, lagNs, leastGapNs, firstGapNs, gapFactor");
        }
    }
}
