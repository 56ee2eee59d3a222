package streamproxy.duties;

import java.util.function.LongSupplier;

/**
 * One member's side of one duty: when to ask for it, whether an act may begin, when to renew, how to stop. It has no
 * clock and sends nothing: it is told the time of its own monotonic clock, what its replica of the {@link Ledger} has
 * applied and what its commands were answered, and says what is to be sent.
 *
 * <p>Why two never hold at once. A holder reckons its lease from the moment before it asked, and holds it for the lease
 * less the drift, by its own clock: in true time that ends no later than one lease after the asking. A successor's
 * command is refused unless nothing was said of the duty since what the successor saw, and it waits from the moment it
 * saw that for the lease and the drift: in true time no less than one lease. What it saw had been asked for before it
 * could be seen. So when its command is done, the last asking that counted lies at least one lease back, and its asker
 * holds no more. A renewal that comes after that command is refused, as the fence is another.
 *
 * <p>One thread at a time may use it.
 */
public class Lease {
    /** What it is at. */
    public enum State {
        /** It holds nothing, and waits for what it may ask for. */
        WATCHING,
        /** It has asked and has no answer yet. */
        ASKING,
        /** It holds the duty: acts may begin. */
        HOLDING,
        /** It holds the duty, lets no act begin, and waits for those under way. */
        STOPPING,
        /** It has stopped and says so. */
        RELEASING
    }

    /** How often what was. */
    public record Counts(long granted, long lapsed, long released, long lateActs, long refused) { }

    /** No act may begin. */
    public static final long NONE = -1;
    private static final long NEVER = Long.MAX_VALUE;
    /** A lease is renewed after a third of it, so that two renewals may be lost. */
    private static final int RENEWALS = 3;
    /** A command without an answer is sent again after such a part of the lease. */
    private static final int RESENDS = 8;
    /** Those who are not first in line leave the ones before them such a part of the lease each, at most {@link #STEP_MOST}. */
    private static final int STEPS = 16;
    private static final long STEP_MOST = 100_000_000L;
    /** The same where the duty is free and nobody is named: who comes before may be the one that has just given it back. */
    private static final long FREE_STEP = 5_000_000L;
    /** So many acts that fail one after another and the duty is given up. */
    private static final int FAILURES = 3;

    private final String duty;
    private final String member;
    private final long session;
    private final LeaseTimes terms;
    private final long settleNs;
    private final LongSupplier numbers;

    private State state = State.WATCHING;
    private boolean wanted = true;
    private int rank;
    private Duty seen; // null: nothing yet
    private long seenAt;
    private boolean outdated; // that was refused as it is: there is more to be seen
    private long restUntil = Long.MIN_VALUE;
    private Command underWay; // null: none
    private long askedAt;     // when that was first sent
    private long sentAt;      // and last
    private long heldFrom;
    private long fence;
    private long actsFrom;
    private String handTo = "";
    private int acts;
    private int failures;
    private boolean sessionLost;
    private long granted;
    private long lapsed;
    private long released;
    private long lateActs;
    private long refused;

    /**
     * @param settleNs how long the first act waits after a holder that did not say that it had stopped; 0 where what is
     *                 acted on compares fences itself
     * @param numbers  gives numbers for commands, each once in this session
     */
    public Lease(String duty, String member, long session, LeaseTimes terms, long settleNs, LongSupplier numbers) {
        this.duty = duty;
        this.member = member;
        this.session = session;
        this.terms = terms;
        this.settleNs = settleNs;
        this.numbers = numbers;
    }

    // ---- What it is told ----------------------------------------------------------------------------

    /** The replica here shows the duty like this now. Told again without a change it says nothing new. */
    public void sees(long now, Duty as) {
        if (seen != null && (as.renewals() < seen.renewals()
                || as.renewals() == seen.renewals() && as.leaving() == seen.leaving())) {
            return; // known, or older: whoever tells may have looked before another did
        }
        boolean said = seen == null || as.renewals() != seen.renewals();
        seen = as;
        outdated &= !said;
        seenAt = said ? now : seenAt; // being asked to leave is no sign of life
        if (holds() && as.fence() > fence) {
            lapse(); // another has it: nothing can make that true while we hold, but nothing is lost by believing it
        } else if (state == State.HOLDING && as.leaving() && isMine(as)) {
            stop(as.next());
        }
    }

    /** A command was answered; answers that come twice, or of commands given up, say nothing. */
    public void answered(long now, long number, Result result) {
        if (underWay == null || underWay.from().number() != number) {
            return;
        }
        Command done = underWay;
        underWay = null;
        if (result instanceof Result.Refused r) {
            refused++;
            sessionLost |= r.why() == Result.Why.NO_SESSION;
            restUntil = now + stepNs();
            // Not as it was seen here: asking the same again could only be refused again, and more will be seen.
            outdated = done instanceof Command.Take && r.why() == Result.Why.CHANGED && seen.renewals() == ((Command.Take) done).renewals();
            if (holds() || state == State.ASKING || state == State.RELEASING) {
                boolean held = holds();
                state = State.WATCHING;
                lapsed += held ? 1 : 0;
            }
        } else if (result instanceof Result.Granted g && state == State.ASKING) {
            granted++;
            fence = g.fence();
            failures = 0;
            actsFrom = g.clean() ? now : now + settleNs;
            state = State.HOLDING;
            heldFrom = leaseFrom(askedAt, now);
            if (!wanted) {
                stop(""); // it was given up while its answer was on its way
            }
        } else if (done instanceof Command.Renew && holds()) {
            heldFrom = leaseFrom(askedAt, now);
        } else if (done instanceof Command.Release && state == State.RELEASING) {
            released++;
            state = State.WATCHING;
        }
        lapseIfOver(now);
    }

    /** Where this member stands among those who would have the duty: 0 asks at once, others leave those before them time. */
    public void rank(int place) { rank = place; }

    /** Whether this member wants the duty at all; one that holds it stops. */
    public void wants(boolean now) {
        wanted = now;
        if (!now) {
            stop("");
        }
    }

    /** Stops in good order and hands the duty on: to that member, or to whoever comes first where it is empty. */
    public void stop(String to) {
        if (state == State.HOLDING) {
            state = State.STOPPING;
            handTo = to;
        }
    }

    // ---- Acts ---------------------------------------------------------------------------------------

    /** An act is about to begin: the fence that it must bear, or {@link #NONE} where it may not. Each that may is told its end. */
    public long begins(long now) {
        if (!mayAct(now)) {
            return NONE;
        }
        acts++;
        return fence;
    }

    /** Whether an act may begin now. */
    public boolean mayAct(long now) {
        lapseIfOver(now);
        return state == State.HOLDING && now >= actsFrom && inTime(now);
    }

    /** An act that {@link #begins began} has ended; false, and counted, where the lease that it began in was over by then. */
    public boolean ends(long now, long bore) {
        acts--;
        return inTime(now, bore);
    }

    /**
     * An act by that fence that somebody else did, having asked {@link #mayAct}, has ended.
     *
     * @param well whether it could be done; where several running could not, the duty is given up: another may be able to
     * @return false, and counted, where the lease that it began in was over by then
     */
    public boolean acted(long now, long bore, boolean well) {
        if (!inTime(now, bore)) {
            return false;
        }
        failures = well ? 0 : failures + 1;
        if (failures >= FAILURES) {
            failures = 0;
            stop("");
        }
        return true;
    }

    private boolean inTime(long now, long bore) {
        lapseIfOver(now);
        boolean late = !holds() || bore != fence;
        lateActs += late ? 1 : 0;
        return !late;
    }

    // ---- What is to be sent -------------------------------------------------------------------------

    /** What to send now, again where there was no answer; null where nothing. */
    public Command next(long now) {
        lapseIfOver(now);
        if (underWay != null) {
            if (now - sentAt < terms.leaseNs() / RESENDS) {
                return null;
            }
            sentAt = now;
            return underWay;
        }
        if (sessionLost) {
            return null;
        }
        Command command = null;
        if (state == State.WATCHING && now >= asksAt()) {
            command = new Command.Take(from(), duty, seen.fence(), seen.renewals());
            state = State.ASKING;
        } else if (state == State.STOPPING && acts == 0) {
            command = new Command.Release(from(), duty, fence, handTo);
            state = State.RELEASING;
            restUntil = now + terms.waitedNs(); // not the first to take what it has just given away
        } else if (state == State.HOLDING && now - heldFrom >= terms.leaseNs() / RENEWALS) {
            command = new Command.Renew(from(), duty, fence);
        }
        if (command != null) {
            underWay = command;
            askedAt = now;
            sentAt = now;
        }
        return command;
    }

    /**
     * A renewal that would be due before half as long has passed again, to go along with one that is due now; null where there
     * is none. What is renewed together stays together, and costs one place of the log.
     */
    public Command renewsAlong(long now) {
        lapseIfOver(now);
        if (underWay != null || sessionLost || state != State.HOLDING || now - heldFrom < terms.leaseNs() / RENEWALS / 2) {
            return null;
        }
        underWay = new Command.Renew(from(), duty, fence);
        askedAt = now;
        sentAt = now;
        return underWay;
    }

    /** When {@link #next} may have something to say, or the lease ends, though nothing is told; a time of its clock. */
    public long wakeAt() {
        long at = holds() ? heldFrom + terms.heldNs() : NEVER;
        if (underWay != null) {
            return Math.min(at, sentAt + terms.leaseNs() / RESENDS);
        }
        return switch (state) {
            case WATCHING -> sessionLost ? NEVER : asksAt();
            case STOPPING -> acts == 0 ? Long.MIN_VALUE : at;
            case HOLDING -> Math.min(at, heldFrom + terms.leaseNs() / RENEWALS);
            default -> at;
        };
    }

    // ---- How it stands ------------------------------------------------------------------------------

    public State state() { return state; }

    /** What acts bear while it holds. */
    public long fence() { return fence; }

    /** Until when it holds, by its own clock, as far as it knows now. */
    public long heldUntil() { return heldFrom + terms.heldNs(); }

    /** Whether the ledger does not know this member's session any more: nothing is asked for until it has another. */
    public boolean sessionLost() { return sessionLost; }

    public Counts counts() { return new Counts(granted, lapsed, released, lateActs, refused); }

    private boolean holds() { return state == State.HOLDING || state == State.STOPPING; }

    private boolean isMine(Duty as) { return as.holder().equals(member) && as.session() == session; }

    private Command.From from() { return new Command.From(member, session, numbers.getAsLong()); }

    private long stepNs() { return Math.min(STEP_MOST, terms.leaseNs() / STEPS); }

    private long asksAt() {
        if (!wanted || seen == null || outdated) {
            return NEVER;
        }
        long at;
        if (isMine(seen)) {
            at = seenAt; // ours by the ledger, and we know that we do not act by it
        } else if (seen.isFree()) {
            boolean named = seen.next().equals(member); // then it stands first, whatever its rank
            at = named ? seenAt : seen.next().isEmpty() ? seenAt + rank * Math.min(FREE_STEP, stepNs()) : seenAt + waitNs() + rank * stepNs();
        } else {
            at = seenAt + waitNs() + rank * stepNs();
        }
        return Math.max(at, restUntil);
    }

    private void lapseIfOver(long now) {
        if (holds() && now >= heldUntil()) {
            lapse();
        }
    }

    private void lapse() {
        state = State.WATCHING;
        lapsed++;
        if (underWay instanceof Command.Renew) {
            underWay = null; // its answer could only give back a lease that others may count as over
        }
    }

    // ---- The three lines on which guarantee 1 rests; tests break them one by one ----------------------

    /** From when a lease runs: the moment before it was asked for. */
    long leaseFrom(long asked, long answeredAt) { return asked; }

    /** How long what was seen must have stood before it counts as over. */
    long waitNs() { return terms.waitedNs(); }

    /** Whether an act that begins now is done before the lease ends. */
    boolean inTime(long now) { return now + terms.actNs() <= heldUntil(); }
}
