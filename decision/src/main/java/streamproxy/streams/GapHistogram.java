package streamproxy.streams;

/**
 * The gaps between the events of one stream, as a small sketch of their distribution: a count for each half octave from
 * a millisecond on, in 40 bytes. When one is full all are halved, so that what was long ago weighs less. Not
 * thread-safe.
 */
final class GapHistogram {
    private static final int LEAST_SHIFT = 20; // about a millisecond
    private static final int PER_OCTAVE = 2;
    private static final int MOST = Byte.MAX_VALUE;

    private final byte[] counts = new byte[40];
    private int all;

    /** One more gap, in nanoseconds. */
    void add(long ns) {
        int at = bucket(ns);
        if (counts[at] == MOST) {
            all = 0;
            for (int i = 0; i < counts.length; i++) {
                counts[i] = (byte) (counts[i] / 2);
                all += counts[i];
            }
        }
        counts[at]++;
        all++;
    }

    /** How many the sketch stands for. */
    int count() { return all; }

    /** A length that a share {@code q} of the gaps does not exceed, at most 42% over the least such; 0 without any. */
    long quantile(double q) {
        double left = q * all;
        for (int i = 0; i < counts.length; i++) {
            left -= counts[i];
            if (left <= 0 && all > 0) {
                return upper(i);
            }
        }
        return 0;
    }

    private static int bucket(long ns) {
        if (ns <= 1L << LEAST_SHIFT) {
            return 0;
        }
        int octave = 63 - Long.numberOfLeadingZeros(ns);
        long middle = (long) ((1L << octave) * Math.sqrt(2));
        return Math.min(39, Math.max(0, PER_OCTAVE * (octave - LEAST_SHIFT) + (ns > middle ? 2 : 1)));
    }

    private static long upper(int bucket) { return (long) ((1L << LEAST_SHIFT) * Math.pow(2, bucket / (double) PER_OCTAVE)) + 1; }
}
