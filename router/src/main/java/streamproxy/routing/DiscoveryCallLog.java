package streamproxy.routing;

import org.tinylog.Logger;

/**
 * Log lines on how calls of service discovery end: their number, duration and result. While calls fail in a row the first
 * ones are logged, then each tenth, as a service may be away for hours. One thread uses it.
 */
final class DiscoveryCallLog {
    private static final int LOGGED_IN_A_ROW = 10;
    private static final long MS = 1_000_000;

    private int failedInARow;

    /** A call has brought its first list. */
    void answered(int call, long tookNs, long version) {
        Logger.info("call {} answered after {} ms with version {}, after {} failed ones", call, tookNs / MS, version, failedInARow);
        failedInARow = 0;
    }

    /** A call has ended without a list, or a watch after it; {@code why} is null where its connection just ended. */
    void ended(int call, long tookNs, boolean watching, Exception why) {
        failedInARow++;
        if (failedInARow <= LOGGED_IN_A_ROW || failedInARow % LOGGED_IN_A_ROW == 0) {
            Logger.info("{} {} ended after {} ms: {} ({} in a row without a list)", watching ? "watch" : "call", call, tookNs / MS,
                    why == null ? "closed by the service" : why, failedInARow);
        }
    }
}
