package streamproxy.decision;

/**
 * The turns of one cold replica at this gateway, and what came of them. A prompt may go there for each whole turn. It has
 * no clock and is told all times; times are nanoseconds of the caller's clock.
 */
final class SlowStart {
    private static final double SECOND = 1e9;

    private final long bornNs;
    private double turns;
    private long turnSince;
    private long earnedAt;
    private Routing.Granted granted; // by a steward, if there is one
    // For the log alone.
    private int arrivals;
    private int begunWarm;
    private int sent;
    private int begun;

    /**
     * @param bornNs when the replica started
     * @param phase  the part of a turn that it begins with; gateways that begin alike would send together
     */
    SlowStart(long bornNs, double phase) {
        this.bornNs = bornNs;
        turns = phase;
    }

    /** From now on a steward says what may go there. */
    void grant(long now, Routing.Granted grant) {
        earnedAt = granted == null ? now : earnedAt;
        granted = grant;
    }

    /** An own prompt has come, which earns that part of a turn where no steward has granted more or less. */
    void arrived(long now, double credit, long fallNs) {
        arrivals++;
        // What is not taken lapses as the rule's window has passed: added up it would be a burst.
        turns -= turns >= 1 && now - turnSince > fallNs ? 1 : 0;
        if (turns < 1) {
            boolean isGranted = granted != null && now < granted.until();
            turns = isGranted ? Math.min(1, turns + granted.perS() * (now - earnedAt) / SECOND) : turns + credit;
            turnSince = now;
        }
        earnedAt = now;
    }

    /** Whether a prompt may go there now. */
    boolean hasTurn() { return turns >= 1; }

    /** Since when it has had its turn. */
    long turnSince() { return turnSince; }

    /** A prompt goes there for its turn. */
    void taken() {
        turns--;
        sent++;
    }

    /** An own prompt has begun there. */
    void begunHere() { begun++; }

    /** An own prompt has begun at a warm replica. */
    void begunAtWarm() { begunWarm++; }

    /** What it was sent since its start. */
    Routing.WarmUp summary(long now, long replica, double size) {
        return new Routing.WarmUp(replica, now - bornNs, size, sent, begun, arrivals, begunWarm);
    }
}
