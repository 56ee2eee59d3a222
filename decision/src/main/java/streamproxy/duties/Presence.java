package streamproxy.duties;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;
import java.util.function.LongSupplier;

/**
 * Who of the members lives, the same for all that have applied the same of the {@link Ledger}, and from when to when this
 * member may go by it. Each member holds a duty that nobody else asks for, its presence ({@link #of}); the others watch it,
 * and say that it is over once it was silent for its lease. What is divided among those who live, as by {@link RendezvousOrder}, is
 * then in one hand at a time:
 *
 * <ul>
 * <li>A member may act only while its presence lasts, and counts it from renewals that its own replica has applied. So
 * whatever it does not know of yet was agreed on after the asking of the renewal that counts, and its presence is over one
 * lease after it at the latest.
 * <li>One that comes takes from others. It waits a lease after its replica showed it as present: by then each of them has
 * applied that, or is over.
 * <li>One that goes leaves to others. It is said to be over only when its lease is, so that nobody need wait.
 * </ul>
 *
 * <p>It has no clock and sends nothing; one thread at a time may use it.
 */
public class Presence {
    private static final String PREFIX = "presence of ";
    private static final int RESENDS = 8;
    private static final int STEPS = 16;

    /**
     * Who lives.
     *
     * @param epoch grows with each change; the same epoch is the same members, at whichever replica
     * @param live  their names, in order
     */
    public record View(long epoch, List<String> live) {
        public View { live = List.copyOf(live); }
    }

    private record Seen(Duty duty, long at) { }

    /** What was said of a duty as it was last seen. */
    private record Said(long at, long number, boolean refused) { }

    private final String member;
    private final long session;
    private final LeaseTimes terms;
    private final LongSupplier numbers;
    private final TreeMap<String, Seen> seen = new TreeMap<>(); // by duty
    private final TreeMap<String, Said> said = new TreeMap<>(); // by duty
    private View view = new View(0, List.of());
    private long presentSince;
    private boolean present;

    /** @param numbers gives numbers for commands, each once in this session */
    public Presence(String member, long session, LeaseTimes terms, LongSupplier numbers) {
        this.member = member;
        this.session = session;
        this.terms = terms;
        this.numbers = numbers;
    }

    /** The duty that is that member's presence. */
    public static String of(String member) { return PREFIX + member; }

    public static boolean is(String duty) { return duty != null && duty.startsWith(PREFIX); }

    private static String whose(String duty) { return duty.substring(PREFIX.length()); }

    /** The replica here shows these duties now; those that are no presence say nothing here. */
    public void sees(long now, Collection<Duty> duties) {
        for (Duty duty : duties) {
            Seen before = seen.get(duty.name());
            if (is(duty.name()) && (before == null || before.duty.renewals() < duty.renewals())) {
                seen.put(duty.name(), new Seen(duty, now));
                said.remove(duty.name());
            }
        }
        List<String> live = new ArrayList<>();
        long epoch = 0;
        for (Seen one : seen.values()) {
            epoch += 2 * one.duty.fence() - (one.duty.isFree() ? 0 : 1); // one for each coming, one for each going
            if (!one.duty.isFree()) {
                live.add(whose(one.duty.name()));
            }
        }
        view = new View(epoch, live);
        Seen own = seen.get(of(member));
        boolean held = own != null && own.duty.holder().equals(member) && own.duty.session() == session;
        if (held && !present) {
            presentSince = now;
        }
        present = held;
    }

    public View view() { return view; }

    /** From when this member may act by the view while its own presence lasts; {@link Long#MAX_VALUE} where it is not present. */
    public long actsFrom() { return present ? presentSince + settleNs() : Long.MAX_VALUE; }

    /** What to say of others that are silent; null where nothing. Said again until the replica shows it. */
    public Command next(long now) {
        for (Seen one : seen.values()) {
            if (now >= over(one)) {
                long number = numbers.getAsLong();
                said.put(one.duty.name(), new Said(now, number, false));
                return new Command.Vacate(new Command.From(member, session, number), one.duty.name(), one.duty.fence(), one.duty.renewals());
            }
        }
        return null;
    }

    /** What was said under that number was answered; refused, it is not as it was seen here, and not said again as it is. */
    public void answered(long number, Result result) {
        if (result instanceof Result.Refused) {
            said.replaceAll((duty, one) -> one.number == number ? new Said(one.at, number, true) : one);
        }
    }

    /** When {@link #next} may have something to say though nothing is told. */
    public long wakeAt() { return seen.values().stream().mapToLong(this::over).min().orElse(Long.MAX_VALUE); }

    private long over(Seen one) {
        if (one.duty.isFree() || one.duty.holder().equals(member)) {
            return Long.MAX_VALUE;
        }
        Said last = said.get(one.duty.name());
        long step = terms.leaseNs() / STEPS;
        if (last != null) {
            return last.refused ? Long.MAX_VALUE : last.at + terms.leaseNs() / RESENDS;
        }
        return one.at + waitNs() + RendezvousOrder.of(one.duty.name(), member, view.live) * Math.min(step, 100_000_000L);
    }

    // ---- The lines that tests break one by one --------------------------------------------------------

    /** How long one that comes waits for those from whom it takes. */
    long settleNs() { return terms.waitedNs(); }

    /** How long another must have been silent. */
    long waitNs() { return terms.waitedNs(); }
}
