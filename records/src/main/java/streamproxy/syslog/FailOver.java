package streamproxy.syslog;

/**
 * Which of several collectors is used: the first that works. After a failure the next is tried at once, after a round
 * in which none worked there is a wait; and while a later one is in use, the ones before it are tried again after a
 * while. With one collector it is that, with waits. Times are nanoseconds of the caller's clock. Not thread-safe.
 */
final class FailOver {
    private final int count;
    private final long failBackNs;
    private final Backoff backoff;
    private int at;
    private int failedInRound;
    private long notBefore = Long.MIN_VALUE;
    private long inUseSince;

    FailOver(int count, long failBackNs, Backoff backoff) {
        this.count = count;
        this.failBackNs = failBackNs;
        this.backoff = backoff;
    }

    /** The one to be connected to. */
    int collector() { return at; }

    /** How long to wait before {@link #collector} is tried. */
    long waitNs(long now) { return notBefore == Long.MIN_VALUE ? 0 : Math.max(0, notBefore - now); }

    /** It could not be connected to, or has failed while in use. */
    void failed(long now) {
        at = (at + 1) % count;
        if (++failedInRound >= count) {
            failedInRound = 0;
            at = 0;
            notBefore = now + backoff.failed();
        }
    }

    /** It is connected to and used from now on. */
    void connected(long now) { inUseSince = now; }

    /** A record was handed to it. */
    void worked() {
        failedInRound = 0;
        notBefore = Long.MIN_VALUE;
        backoff.worked();
    }

    /** Whether the one in use should be left now to try those before it. */
    boolean failsBack(long now) { return at > 0 && now - inUseSince >= failBackNs; }

    /** Starts again with the first. */
    void failBack() {
        at = 0;
        failedInRound = 0;
        notBefore = Long.MIN_VALUE;
    }
}
