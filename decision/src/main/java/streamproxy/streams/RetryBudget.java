package streamproxy.streams;

/**
 * How much more than asked for a router may send on its own account: retries, saves and hedged copies. Each request
 * adds a share to what may be spent, each resend takes one; what is saved up is bounded, so that a quiet hour does not
 * pay for a storm. A small income by time lets a router with few requests try again at all. Times are nanoseconds of
 * the caller's clock. Not thread-safe.
 *
 * <p>In the long run resends are at most {@code share} of the requests and {@code perS} a second, whatever fails: an
 * outage of a part of the fleet cannot double the load of the rest.
 */
public final class RetryBudget {
    private static final double SECOND = 1e9;

    private final double share;
    private final double perS;
    private final double most;
    private double left;
    private long at;
    private long spent;
    private long denied;

    /**
     * @param share what each request adds; 0 and up
     * @param perS  what each second adds
     * @param most  what may be saved up; begins full
     */
    public RetryBudget(double share, double perS, double most, long now) {
        if (!(share >= 0 && perS >= 0 && most >= 1)) {
            throw new IllegalArgumentException("share, perS, most");
        }
        this.share = share;
        this.perS = perS;
        this.most = most;
        left = most;
        at = now;
    }

    /** A request has come. */
    public void request(long now) {
        pass(now);
        left = Math.min(most, left + share);
    }

    /** Takes one resend's worth; false where it may not be sent. */
    public boolean trySpend(long now) {
        pass(now);
        if (left < 1) {
            denied++;
            return false;
        }
        left--;
        spent++;
        return true;
    }

    private void pass(long now) {
        if (now > at) {
            left = Math.min(most, left + perS * (now - at) / SECOND);
            at = now;
        }
    }

    /** Resends so far. */
    public long spent() { return spent; }

    /** Resends that were not allowed so far. */
    public long denied() { return denied; }
}
