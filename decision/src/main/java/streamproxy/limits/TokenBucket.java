package streamproxy.limits;

/**
 * So many in a second, evenly: a token bucket (RFC 2697's meter with one colour) that holds a tenth of a second's worth.
 * The caller brings the time, in nanoseconds.
 */
public final class TokenBucket {
    private static final double SECOND = 1e9;
    private static final double HELD_S = 0.1;

    private double perS;
    private double saved;
    private long at;

    /** At most {@code perS} a second from {@code now} on; infinity for as many as come. */
    public TokenBucket(double perS, long now) {
        at = now;
        change(perS);
        saved = held();
    }

    /** Another pace from now on, what is saved up stays as far as the new one holds it. */
    public void change(double newPerS) {
        if (!(newPerS > 0)) {
            throw new IllegalArgumentException("pace of " + newPerS);
        }
        perS = newPerS;
        saved = Math.min(saved, held());
    }

    /** Takes one if there is one now: 0 then, else how long to wait for it. */
    public long take(long now) {
        if (Double.isInfinite(perS)) {
            return 0;
        }
        saved = Math.min(held(), saved + Math.max(0, now - at) / SECOND * perS);
        at = Math.max(at, now);
        if (saved >= 1) {
            saved--;
            return 0;
        }
        return (long) Math.ceil((1 - saved) / perS * SECOND);
    }

    private double held() { return Double.isInfinite(perS) ? 0 : Math.max(1, HELD_S * perS); }
}
