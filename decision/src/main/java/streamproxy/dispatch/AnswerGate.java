package streamproxy.dispatch;

import java.util.concurrent.TimeUnit;
import streamproxy.streams.CompleteStream;

/**
 * Sees to it that one request gets one final answer, in time, and that its connection does not end without one. One thread
 * uses it.
 */
public final class AnswerGate {
    /** How far the request is. */
    private enum Phase { READING, OWED, ANSWERED }

    /** An answer that comes up to so long after the client's time only earns nothing. */
    static final long LATE_NS = TimeUnit.MILLISECONDS.toNanos(500);

    private final RuleMonitor monitor;
    private Phase phase = Phase.READING;
    private String requestId = "-";
    private ClientDeadline deadline; // null: its client states none

    public AnswerGate(RuleMonitor monitor) { this.monitor = monitor; }

    /** The request was read, and is owed an answer. */
    public void owes(String id, ClientDeadline until) {
        phase = Phase.OWED;
        requestId = id;
        deadline = until;
    }

    /** An answer is about to begin; false where there was one, and this one must not be written. */
    public boolean answers(long now) {
        if (phase == Phase.ANSWERED) {
            monitor.broken(Rule.ANSWERED_TWICE, requestId);
            return false;
        }
        if (phase == Phase.OWED && deadline != null && deadline.leftNs(now) < -LATE_NS) {
            monitor.broken(Rule.ANSWERED_LATE, requestId);
        }
        phase = Phase.ANSWERED;
        return true;
    }

    /**
     * Whether the answer may be ended with the last chunk; false where nothing proves that its stream is complete, or where its
     * client was written something else.
     *
     * @param proof   that the replica's stream is complete
     * @param written the bytes of events and comments that the client was written
     */
    public boolean ends(CompleteStream proof, long written) {
        boolean allowed = proof != null && proof.bytes() == written;
        if (!allowed) {
            monitor.broken(Rule.ENDED_INCOMPLETE, requestId);
        }
        return allowed;
    }

    /** The exchange ends here: with the connection, or with the next request on it. */
    public void ends(boolean clientLeft) {
        if (phase == Phase.OWED && !clientLeft) {
            monitor.broken(Rule.CLOSED_UNANSWERED, requestId);
        }
        phase = Phase.ANSWERED;
    }
}
