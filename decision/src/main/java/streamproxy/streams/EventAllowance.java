package streamproxy.streams;

import java.util.concurrent.TimeUnit;

/**
 * How long one event may take from its first byte on. While its bytes come it is not silent, however long it is; one that
 * hardly grows is given up before its client has waited for 5 s, which the protocol page counts as a loss.
 */
public final class EventAllowance {
    private static final long LEAST_NS = TimeUnit.MILLISECONDS.toNanos(4_500);
    private static final long LEAST_BYTES_PER_S = 1_024;

    private EventAllowance() { }

    /** In nanoseconds, for one of which so many bytes have come. */
    public static long ns(long bytes) { return LEAST_NS + bytes * TimeUnit.SECONDS.toNanos(1) / LEAST_BYTES_PER_S; }
}
