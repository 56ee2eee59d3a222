package streamproxy.decision;

import java.util.ArrayDeque;

/**
 * What this gateway may send to one replica while that is cold. Two bounds hold together, and neither grows with what
 * clients send:
 *
 * <ul>
 * <li>Turns. A prompt may go there for each whole turn. Turns are earned by the own prompts that warm replicas begin, as
 * what they begin together is at most what they can do. Where none begins any, a prompt for each window of the rule is
 * divided among the gateways by time, and the replica's own beginnings earn the rest.
 * <li>Evidence. What is sent within a window of the rule stays under a multiple of what the replica began of it in the
 * window before, so that one that can do less than was thought is not sent more.
 * </ul>
 *
 * <p>It has no clock and is told all times; times are nanoseconds of the caller's clock.
 */
final class SlowStart {
    private static final double SECOND = 1e9;
    /** Prompts that may be sent within a window without any evidence. */
    private static final int FIRST = 1;
    /** The multiple of its own beginnings that a replica may be sent, as a share of the multiple that it bears. */
    private static final double GROWTH = 2.0 / 3;

    private final long bornNs;
    private double turns;
    private long turnSince;
    private long earnedAt;
    private long begunAtWarmAt;
    private Routing.Granted granted; // by a steward, if there is one
    private final ArrayDeque<Long> sentTimes = new ArrayDeque<>();  // of one window
    private final ArrayDeque<Long> begunTimes = new ArrayDeque<>(); // of two windows
    private final ArrayDeque<Long> waiting = new ArrayDeque<>();    // when those were sent that have not begun
    // For the log alone.
    private int arrivals;
    private int begunWarm;
    private int sent;
    private int begun;

    /**
     * @param bornNs when the replica started
     * @param phase  the part of a turn that it begins with; gateways that begin alike would send together
     */
    SlowStart(long bornNs, long now, double phase) {
        this.bornNs = bornNs;
        turns = phase;
        earnedAt = now;
        begunAtWarmAt = now;
    }

    /** From now on a steward says what may go there. */
    void grant(long now, Routing.Granted grant) {
        earnedAt = granted == null ? now : earnedAt;
        granted = grant;
    }

    /** An own prompt has come: what is earned by time alone is reckoned up to now. */
    void arrived(long now, Routing.Rules rules, int gateways) {
        arrivals++;
        long window = rules.fallNs();
        lapse(now, window);
        if (isGranted(now)) {
            earn(now, Math.min(1 - turns, granted.perS() * (now - earnedAt) / SECOND));
        } else if (now - begunAtWarmAt > window) {
            earn(now, Math.min(now - earnedAt, window) / (double) window / gateways);
        }
        earnedAt = now;
    }

    /** An own prompt has begun at a warm replica, which earns that part of a turn. */
    void begunAtWarm(long now, double credit, Routing.Rules rules) {
        begunWarm++;
        begunAtWarmAt = now;
        lapse(now, rules.fallNs());
        if (!isGranted(now)) {
            earn(now, credit);
        }
    }

    /**
     * An own prompt has begun there.
     *
     * @param isAlone there is no warm replica to go by: then that earns turns, too
     */
    void begunHere(long now, boolean isAlone, Routing.Rules rules) {
        begun++;
        begunTimes.addLast(now);
        lapse(now, rules.fallNs());
        if (isAlone && !isGranted(now)) {
            earn(now, growth(rules));
        }
    }

    /** Whether a prompt may go there now. */
    boolean maySend(long now, Routing.Rules rules) {
        if (turns < 1) {
            return false;
        }
        long window = rules.fallNs();
        while (!sentTimes.isEmpty() && now - sentTimes.peekFirst() >= window) {
            sentTimes.removeFirst();
        }
        while (!begunTimes.isEmpty() && now - begunTimes.peekFirst() >= 2 * window) {
            begunTimes.removeFirst();
        }
        long begunBefore = begunTimes.stream().filter(at -> now - at >= window).count();
        return sentTimes.size() < FIRST + growth(rules) * begunBefore;
    }

    /** Since when it has had its turn. */
    long turnSince() { return turnSince; }

    /** A prompt goes there for its turn. */
    void sent(long now) {
        turns--;
        sent++;
        sentTimes.addLast(now);
        waiting.addLast(now);
    }

    /** A prompt that was sent there then has begun, or has ended without. */
    void waitsNoMore(long sentAt) { waiting.removeFirstOccurrence(sentAt); }

    /** For how long the own prompt that was sent first of those that have not begun has waited; 0 where none does. */
    long waited(long now) { return waiting.isEmpty() ? 0 : now - waiting.peekFirst(); }

    /** What it was sent since its start. */
    Routing.WarmUp summary(long now, long replica, double size) {
        return new Routing.WarmUp(replica, now - bornNs, size, sent, begun, arrivals, begunWarm);
    }

    private static double growth(Routing.Rules rules) { return rules.tipMultiple() * GROWTH; }

    private boolean isGranted(long now) { return granted != null && now < granted.until(); }

    /** What is not taken lapses as the rule's window has passed: added up it would be a burst. */
    private void lapse(long now, long window) {
        if (turns >= 1 && now - turnSince > window) {
            turns--;
        }
    }

    private void earn(long now, double credit) {
        if (turns < 1) {
            turns += Math.max(0, credit);
            turnSince = now;
        }
    }
}
