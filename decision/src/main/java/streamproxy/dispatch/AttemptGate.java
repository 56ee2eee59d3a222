package streamproxy.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Decides, from what is known at the moment, whether an attempt may begin to be written, and whether its last byte may be
 * written, which is when its replica begins with it: an attempt that lacks that byte has never run.
 */
public final class AttemptGate {
    /** What becomes of the attempt. */
    public enum Verdict {
        /** It goes on. */
        GO,
        /** It was called off. */
        CALLED_OFF,
        /** Its replica drains or is gone. */
        REPLICA_NOT_READY,
        /** A repeat is not harmless any more, or it is no longer known whether the replica is ready. */
        TOO_LATE,
        /** Its replica has said something on a kept connection before it had the request: that answers another one. */
        ANSWERED_EARLY,
        /** Its client has left. */
        CLIENT_LEFT,
        /** Its client has less left than its replica is told, or hardly anything. */
        OUT_OF_TIME
    }

    /**
     * What an attempt is bound by from its choice on.
     *
     * @param deadline until when its client waits
     * @param writeBy  when it may begin at the latest
     */
    public record Bounds(ClientDeadline deadline, long writeBy) { }

    /** What is found at the moment of a decision. */
    public interface Facts {
        /** Whether it was called off. */
        boolean calledOff();

        /** Whether its replica may be sent new attempts. */
        boolean replicaReady();

        /** Whether bytes have come on a kept connection that belong to no answer to this attempt. */
        boolean answeredEarly();

        /** Whether its client still waits; looked at when it is asked. */
        boolean clientWaits();

        /** The time now. */
        long now();
    }

    /** A router may be held up for so long between its decision and the byte that follows. */
    static final long HELD_UP_NS = TimeUnit.MILLISECONDS.toNanos(150);
    /** A client that was looked at so lately is not looked at again. */
    static final long LOOK_AGAIN_NS = TimeUnit.MILLISECONDS.toNanos(20);

    private AttemptGate() { }

    /** Whether the first byte may be written; the client is looked at last. */
    public static Verdict begin(Bounds bounds, Facts facts) {
        if (facts.calledOff()) {
            return Verdict.CALLED_OFF;
        }
        if (!facts.replicaReady()) {
            return Verdict.REPLICA_NOT_READY;
        }
        long now = facts.now();
        if (now >= bounds.writeBy) {
            return Verdict.TOO_LATE;
        }
        if (!bounds.deadline.allowsAttempt(now)) {
            return Verdict.OUT_OF_TIME;
        }
        return facts.clientWaits() ? Verdict.GO : Verdict.CLIENT_LEFT;
    }

    /**
     * Whether the last byte may be written behind all others. A drain binds at an attempt's first byte, and is not asked again.
     *
     * @param toldNs   what the replica was told
     * @param lookedAt when the client was looked at last
     */
    public static Verdict commit(Bounds bounds, Facts facts, long toldNs, long lookedAt) {
        if (facts.calledOff()) {
            return Verdict.CALLED_OFF;
        }
        long now = facts.now();
        if (now >= bounds.writeBy) {
            return Verdict.TOO_LATE;
        }
        if (!bounds.deadline.covers(toldNs, now)) {
            return Verdict.OUT_OF_TIME;
        }
        if (facts.answeredEarly()) {
            return Verdict.ANSWERED_EARLY;
        }
        return now - lookedAt < LOOK_AGAIN_NS || facts.clientWaits() ? Verdict.GO : Verdict.CLIENT_LEFT;
    }

    /** The rules that an attempt broke whose last byte was out at {@code writtenAt}. */
    public static List<Rule> broken(Bounds bounds, long toldNs, long writtenAt) {
        List<Rule> broken = new ArrayList<>(0);
        if (toldNs > bounds.deadline.leftNs(writtenAt) + HELD_UP_NS) {
            broken.add(Rule.DEADLINE_TOLD);
        }
        if (writtenAt - HELD_UP_NS > bounds.writeBy) {
            broken.add(Rule.SENT_TOO_LATE);
        }
        return broken;
    }
}
