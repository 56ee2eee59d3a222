package streamproxy.duties;

import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import streamproxy.duties.Command.From;
import streamproxy.duties.Result.Why;

/**
 * The state that all members agree on: who is in, and who was given which duty. It is told the same commands in the same
 * order everywhere and so is the same everywhere; it has no clock, no random numbers and no order from hash tables.
 *
 * <p>It knows no time, so it can't know whether a lease runs. It keeps order instead: a duty is given to another only if
 * nothing was said of it since that other began to wait ({@link Command.Take}), and with a number that no holder before
 * had. The waiting is the members' part ({@link Lease}).
 */
public final class Ledger {
    /** Answers kept for each session, for commands that come twice; a session has far fewer on their way at a time. */
    static final int ANSWERS = 1_024;

    /** Answers of one session, by its commands' numbers. */
    private static final class Session {
        private final long id;
        private final TreeMap<Long, Result> answers = new TreeMap<>();

        Session(long id) { this.id = id; }
    }

    private final TreeMap<String, Member> members = new TreeMap<>();
    private final TreeMap<String, Duty> duties = new TreeMap<>();
    private final TreeMap<String, Session> sessions = new TreeMap<>();
    private LeaseTimes terms;
    private long epoch;

    /** Everything in it, in a fixed order, for snapshots and comparison. */
    public record Image(LeaseTimes terms, long epoch, List<Member> members, List<Duty> duties, List<Answer> answers) {
        public Image {
            members = List.copyOf(members);
            duties = List.copyOf(duties);
            answers = List.copyOf(answers);
        }
    }

    /** An answer that was given, to be given again. */
    public record Answer(String member, long session, long number, Result result) { }

    public Ledger() { }

    /** One that goes on from an image. */
    public Ledger(Image image) {
        terms = image.terms();
        epoch = image.epoch();
        for (Member m : image.members()) { // a session is known whether or not anything was answered in it
            members.put(m.name(), m);
            sessions.put(m.name(), new Session(m.session()));
        }
        image.duties().forEach(d -> duties.put(d.name(), d));
        image.answers().forEach(a -> sessions.get(a.member()).answers.put(a.number(), a.result()));
    }

    public Image image() {
        List<Answer> answers = sessions.entrySet().stream().flatMap(s -> s.getValue().answers.entrySet().stream()
                .map(a -> new Answer(s.getKey(), s.getValue().id, a.getKey(), a.getValue()))).toList();
        return new Image(terms, epoch, List.copyOf(members.values()), List.copyOf(duties.values()), answers);
    }

    /** Grows with each change of who is in. */
    public long epoch() { return epoch; }

    /** What leases are reckoned by; null before the first member came in. */
    public LeaseTimes terms() { return terms; }

    public Collection<Member> members() { return Collections.unmodifiableCollection(members.values()); }

    /** Those that were ever asked for. */
    public Map<String, Duty> duties() { return Collections.unmodifiableMap(duties); }

    public Duty duty(String name) { return duties.getOrDefault(name, Duty.fresh(name)); }

    /** Does the command, or gives the answer that it got before. */
    public Result apply(Command command) {
        From from = command.from();
        if (command instanceof Command.Open open) {
            return open(open);
        }
        Session session = sessions.get(from.member());
        if (session == null || session.id != from.session() || !members.containsKey(from.member())) {
            return new Result.Refused(Why.NO_SESSION);
        }
        Result before = session.answers.get(from.number());
        if (before != null) {
            return before;
        }
        if (session.answers.size() >= ANSWERS && from.number() < session.answers.firstKey()) {
            return new Result.Refused(Why.TOO_OLD);
        }
        Result result = act(command);
        session.answers.put(from.number(), result);
        if (session.answers.size() > ANSWERS) {
            session.answers.pollFirstEntry();
        }
        return result;
    }

    private Result open(Command.Open open) {
        From from = open.from();
        Member known = members.get(from.member());
        if (known != null && known.session() == from.session()) {
            return new Result.Done(); // it came twice
        }
        if (known != null && known.folder() != open.folder() && !open.replace()) {
            return new Result.Refused(Why.OTHER_FOLDER);
        }
        if (known != null && known.folder() == open.folder() && open.start() <= known.start()) {
            return new Result.Refused(Why.NO_SESSION); // an earlier process, heard late, or one from a copy of its folder
        }
        if (terms != null && !terms.equals(open.terms())) {
            return new Result.Refused(Why.OTHER_TERMS);
        }
        terms = open.terms();
        boolean changed = known == null || known.folder() != open.folder();
        epoch += changed ? 1 : 0;
        members.put(from.member(), new Member(from.member(), open.folder(), open.start(), from.session(), changed ? epoch : known.since()));
        sessions.put(from.member(), new Session(from.session()));
        return new Result.Done();
    }

    private Result act(Command command) {
        if (command instanceof Command.Take c) {
            Duty duty = duty(c.duty());
            if (duty.fence() != c.fence() || duty.renewals() != c.renewals()) {
                return new Result.Refused(Why.CHANGED);
            }
            duties.put(duty.name(), duty.taken(c.from()));
            return new Result.Granted(duty.fence() + 1, duty.isFree());
        } else if (command instanceof Command.Renew c) {
            return held(c.from(), c.duty(), c.fence(), duty(c.duty()).renewed());
        } else if (command instanceof Command.Release c) {
            return held(c.from(), c.duty(), c.fence(), duty(c.duty()).released(members.containsKey(c.next()) ? c.next() : ""));
        } else if (command instanceof Command.Vacate c) {
            Duty duty = duty(c.duty());
            if (duty.isFree() || duty.fence() != c.fence() || duty.renewals() != c.renewals()) {
                return new Result.Refused(Why.CHANGED);
            }
            duties.put(duty.name(), duty.released(""));
            return new Result.Done();
        } else if (command instanceof Command.HandOn c) {
            Duty duty = duty(c.duty());
            if (!c.to().isEmpty() && !members.containsKey(c.to())) {
                return new Result.Refused(Why.NO_MEMBER);
            }
            if (duty.isFree()) {
                return new Result.Refused(Why.CHANGED);
            }
            duties.put(duty.name(), duty.asked(c.to()));
            return new Result.Done();
        } else if (command instanceof Command.Mark) {
            return new Result.Done();
        } else if (command instanceof Command.Depart c) {
            if (members.remove(c.who()) == null) {
                return new Result.Refused(Why.NO_MEMBER);
            }
            sessions.remove(c.who());
            epoch++;
            return new Result.Done();
        }
        throw new IllegalArgumentException("no such command: " + command);
    }

    private Result held(From from, String name, long fence, Duty then) {
        Duty duty = duty(name);
        if (!duty.isHeldBy(from) || duty.fence() != fence) {
            return new Result.Refused(Why.CHANGED);
        }
        duties.put(name, then);
        return new Result.Done();
    }
}
