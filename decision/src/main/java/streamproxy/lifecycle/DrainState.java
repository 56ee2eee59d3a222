package streamproxy.lifecycle;

import java.util.concurrent.TimeUnit;

/**
 * What becomes of clients' connections and requests while a router sends its clients away, because an operator has
 * quiesced it or because it shuts down. An immutable value: whoever decides about a connection asks the state that is in
 * force at that moment, and keeps neither the state nor the answer for a later one. Times are nanoseconds of one
 * monotonic clock, which the caller reads.
 *
 * @param stage        how far the process is on its way out
 * @param leavingAtNs  when it learned of SIGTERM; without meaning before
 * @param quiesced     whether an operator has sent clients away
 * @param quiescedAtNs since when; without meaning where nobody has
 */
public record DrainState(Stage stage, long leavingAtNs, boolean quiesced, long quiescedAtNs) {
    /** How far the process is on its way out. */
    public enum Stage {
        /** It is not leaving. */
        SERVING,
        /** SIGTERM has come: connections are still taken, and requests for a while. */
        LEAVING,
        /** The grace is over: the process may be killed before a request that comes now is answered. */
        FINISHING
    }

    /** Why a request is refused. */
    public enum Refusal { QUIESCED, FINISHING }

    /** A process that takes what comes. */
    public static final DrainState SERVING = new DrainState(Stage.SERVING, 0, false, 0);

    /** A router may be held up for so long between a client's last byte and its decision (STANDING.md). */
    private static final long HELD_UP_NS = TimeUnit.MILLISECONDS.toNanos(150);
    /** A signal or a call may take so long on its way. */
    private static final long ON_THE_WAY_NS = TimeUnit.MILLISECONDS.toNanos(50);
    /** Operators allow no request this long after their call (DAYS.md). */
    private static final long NO_REQUEST_AFTER_NS = TimeUnit.MILLISECONDS.toNanos(2_000);
    /** For so long after an operator's call requests are still served. */
    public static final long REQUEST_GRACE_NS = NO_REQUEST_AFTER_NS - HELD_UP_NS - ON_THE_WAY_NS;
    /** What comes so long after SIGTERM must be answered before the kill (PROTOCOL), which no stream can be sure of. */
    private static final long ANSWERED_BEFORE_KILL_NS = TimeUnit.MILLISECONDS.toNanos(700);
    /** For so long after the process has learned of SIGTERM requests are still served. */
    public static final long LEAVING_GRACE_NS = ANSWERED_BEFORE_KILL_NS - HELD_UP_NS;
    /** A connection that has just come waits so long for its first request, which may be on its way. */
    public static final long FIRST_REQUEST_NS = TimeUnit.MILLISECONDS.toNanos(100);
    /** For so long after an operator's call a front may go on sending new connections (DAYS.md: 0.3 s). */
    public static final long NEW_CONNECTIONS_NS = TimeUnit.MILLISECONDS.toNanos(1_000);
    /** So long after an operator's call no request that has begun to come is waited for any longer; nothing is held at 4 s (DAYS.md). */
    public static final long READ_GRACE_NS = TimeUnit.MILLISECONDS.toNanos(3_000);

    /** The same process, which has entered another stage at that time. */
    public DrainState at(Stage next, long now) {
        return new DrainState(next, stage == Stage.SERVING ? now : leavingAtNs, quiesced, quiescedAtNs);
    }

    /** The same process once an operator has sent clients away; a call that is repeated changes nothing. */
    public DrainState quiescedAt(long now) { return quiesced ? this : new DrainState(stage, leavingAtNs, true, now); }

    /** The same process once an operator has taken clients back. */
    public DrainState resumed() { return new DrainState(stage, leavingAtNs, false, 0); }

    /** Whether answers that begin now announce that their connection closes. */
    public boolean closesAfterAnswer() { return quiesced || stage != Stage.SERVING; }

    /** Whether a connection that has carried a request and has none now is ended, and not kept for another. */
    public boolean endsIdle() { return quiesced || stage == Stage.FINISHING; }

    /**
     * Whether a connection ends right behind an answer that announced no close. A quiesced router may hold no connection
     * that is idle, however short; its clients repeat on another what crosses the close.
     */
    public boolean endsBehindAnswer() { return quiesced; }

    /** Why a request whose last byte was read at {@code now} is refused; null where it is served. */
    public Refusal refusal(long now) {
        if (stage == Stage.FINISHING || stage == Stage.LEAVING && now - leavingAtNs >= LEAVING_GRACE_NS) {
            return Refusal.FINISHING;
        }
        return isTooLateWhereQuiesced(now) ? Refusal.QUIESCED : null;
    }

    private boolean isTooLateWhereQuiesced(long now) { return quiesced && now - quiescedAtNs >= REQUEST_GRACE_NS; }

    /**
     * Until when a connection is kept without a request.
     *
     * @param served  whether it has carried one
     * @param sinceNs when it came, or its last request ended
     * @param usualNs how long it may wait while nobody is sent away
     */
    public long idleUntilNs(boolean served, long sinceNs, long usualNs) {
        if (!endsIdle()) {
            return sinceNs + usualNs;
        }
        if (served) {
            return sinceNs;
        }
        long wait = Math.min(usualNs, FIRST_REQUEST_NS);
        if (stage == Stage.FINISHING) {
            return sinceNs + wait;
        }
        long inTheOrdinaryWay = quiescedAtNs + NEW_CONNECTIONS_NS - sinceNs;
        return sinceNs + Math.max(wait, Math.min(usualNs, inTheOrdinaryWay));
    }

    /**
     * Until when a request is read that begins to come now, and would be read until {@code usualUntilNs} otherwise. A quiesced
     * router does not wait for one that it would refuse if it were whole now; what has arrived is read all the same.
     */
    public long readUntilNs(long usualUntilNs, long now) {
        if (!quiesced) {
            return usualUntilNs;
        }
        long latest = isTooLateWhereQuiesced(now) ? 0 : quiescedAtNs + READ_GRACE_NS - now;
        return now + Math.min(usualUntilNs - now, latest);
    }
}
