package streamproxy.duties;

/** A member's side of a share of what a cold box can bear; see {@link Shares}. */
public class Share {
    private final int driftPpm;
    private long asking;
    private long askedAt;
    private double perS;
    private long until = Long.MIN_VALUE;

    public Share(int driftPpm) { this.driftPpm = driftPpm; }

    /** It is about to ask: the number that the answer must bear. An asking that was not answered is given up by it. */
    public long asks(long now) {
        askedAt = now;
        return ++asking;
    }

    /** The answer to the asking of that number; one to an earlier asking is not heeded. */
    public void granted(long now, long number, Shares.Grant grant) {
        if (number != asking) {
            return;
        }
        perS = grant.perS();
        until = from(askedAt, now) + new LeaseTimes(grant.forNs(), driftPpm, 0).heldNs();
    }

    /** What it may use now, a second. */
    public double perS(long now) { return now < until ? perS : 0; }

    /** For how long from now, in nanoseconds; 0 where it has none. */
    public long leftNs(long now) { return now < until ? until - now : 0; }

    /** From when a share runs: the moment before it was asked for. Tests break this line. */
    long from(long asked, long answeredAt) { return asked; }
}
