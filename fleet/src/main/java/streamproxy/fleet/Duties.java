package streamproxy.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import org.tinylog.Logger;
import streamproxy.duties.Command;
import streamproxy.duties.Duty;
import streamproxy.duties.ReplicationLag;
import streamproxy.duties.Lease;
import streamproxy.duties.Ledger;
import streamproxy.duties.Presence;
import streamproxy.duties.Result;
import streamproxy.duties.LeaseTimes;

/**
 * This member's leases: one thread that asks, renews and gives back in time; whoever acts asks here first, and neither
 * waits for the consensus.
 */
final class Duties implements AutoCloseable {
    /** Is told when a duty came to this member or went, on the threads of this class; it must not wait. */
    interface Told {
        void told(String duty, Lease.State before, Lease.State now, long fence);
    }

    /** Is told how boxes are divided from now on; the same. */
    interface Divided {
        void divided(MemberDivision living);
    }

    private record Late(Command command, Result result, long at) { }

    /** Before anything is known. */
    static final MemberDivision NOBODY = new MemberDivision(new Presence.View(-1, List.of()), "", false, 0, 0);
    private static final long MS = 1_000_000L;
    private static final long BEHIND_NS = 2_000 * MS;
    private static final int LATE_MOST = 64;
    private static final int TOGETHER_MOST = 200;
    private static final long LONGEST_WAIT_MS = 1_000;

    private final Map<String, Lease> leases = new LinkedHashMap<>();
    private final Map<String, Lease.State> states = new LinkedHashMap<>();
    private final AtomicLong numbers = new AtomicLong(1); // 1 was the session's opening
    private final String member;
    private final long session;
    private final LeaseTimes terms;
    private final LongSupplier clock;
    private final BiConsumer<List<Command>, Duties> send;
    private final Told told;
    private final Presence presence; // null: this member is not to be counted among those that live
    private final Divided divided;
    private final List<Late> late = new ArrayList<>();
    private MemberDivision living = NOBODY;
    private final ReplicationLag lag = new ReplicationLag();
    private boolean behindSaid;
    private long appliedTo = -1;
    private long ahead;
    private boolean left;
    private boolean closed;

    /**
     * @param clock monotonic, nanoseconds
     * @param send  sends commands without waiting, together, and tells {@link #answered} of each
     * @param divided null where this member has no part in what is divided among those that live
     */
    Duties(String member, long session, LeaseTimes terms, LongSupplier clock, BiConsumer<List<Command>, Duties> send, Told told, Divided divided) {
        this.member = member;
        this.session = session;
        this.terms = terms;
        this.clock = clock;
        this.send = send;
        this.told = told;
        this.divided = divided;
        presence = divided == null ? null : new Presence(member, session, terms, numbers::incrementAndGet);
        if (presence != null) {
            seek(Presence.of(member), 0, 0);
        }
    }

    void start() {
        Thread thread = new Thread(null, this::run, "fleet duties", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * How far the clock by which a division is asked is ahead of this one's, in nanoseconds. The division is told anew, as what
     * was told before went by another clock, or to nobody.
     */
    synchronized void ahead(long ns) {
        ahead = ns;
        living = NOBODY;
        notifyAll();
    }

    synchronized long ahead() { return ahead; }

    /** A number for a command of this session that is no lease's. */
    long nextNumber() { return numbers.incrementAndGet(); }

    /** This member would have that duty. */
    synchronized void seek(String duty, int rank, long settleNs) {
        Lease lease = leases.computeIfAbsent(duty, name -> new Lease(name, member, session, terms, settleNs, numbers::incrementAndGet));
        lease.rank(rank);
        lease.wants(true);
        notifyAll();
    }

    /** Where this member stands in line for a duty that it seeks. */
    synchronized void rank(String duty, int rank) {
        Lease lease = leases.get(duty);
        if (lease != null) {
            lease.rank(rank);
            notifyAll();
        }
    }

    /** The duty is like that, as far as is known here. */
    synchronized void sees(Duty duty) {
        Lease lease = leases.get(duty.name());
        if (lease != null) {
            lease.sees(clock.getAsLong(), duty);
            notifyAll();
        }
    }

    /** This member would have the duty no more; it stops in good order where it holds it. */
    synchronized void give(String duty) {
        Lease lease = leases.get(duty);
        if (lease != null) {
            lease.wants(false);
            notifyAll();
        }
    }

    /** This member holds nothing from now on and asks for nothing: its replica follows the log no further. */
    synchronized void stopped() {
        leaves();
        leases.values().forEach(lease -> lease.wants(false));
    }

    /** The replica here has applied what is at that place of the log, about those duties, or about any where it is null. */
    synchronized void applied(Ledger ledger, Set<String> about, long at) {
        appliedTo = at;
        lag.applied(at);
        if (behindSaid && lag.behindNs(clock.getAsLong()) == 0) {
            behindSaid = false;
            Logger.info("fleet: {} follows the common log again, at {}", member, at);
        }
        if (presence != null && (about == null || about.stream().anyMatch(Presence::is))) {
            presence.sees(clock.getAsLong(), about == null ? ledger.duties().values() : about.stream().map(ledger::duty).toList());
            notifyAll();
        }
        (about == null ? leases.keySet() : about).forEach(name -> sees(ledger.duty(name)));
        List<Late> due = late.stream().filter(one -> one.at <= at).toList();
        late.removeAll(due);
        due.forEach(one -> answered(one.command, one.result, one.at));
    }

    /**
     * The consensus has answered a command of ours, which is at that place of the log. A presence counts from what the replica
     * here has applied: then whoever acts by it knows all that was agreed on before.
     */
    synchronized void answered(Command command, Result result, long at) {
        lag.told(clock.getAsLong(), at);
        if (!behindSaid && lag.behindNs(clock.getAsLong()) > BEHIND_NS) {
            behindSaid = true;
            Logger.warn("fleet: {} has heard nothing of the common log beyond {} for {} s, and others are further: is its disk full?", member,
                    appliedTo, BEHIND_NS / 1_000 / MS);
        }
        if (command instanceof Command.Vacate) {
            presence.answered(command.from().number(), result);
            return;
        }
        if (Presence.is(command.duty()) && at > appliedTo) {
            if (late.size() < LATE_MOST) { // else it is asked again
                late.add(new Late(command, result, at));
            }
            return;
        }
        long now = clock.getAsLong();
        Lease lease = leases.get(command.duty());
        if (lease != null) {
            lease.answered(now, command.from().number(), result);
        }
        notifyAll();
    }

    /** This member leaves: from now on it goes by no division; whoever was told of one and is at it has as long as an act takes. */
    synchronized void leaves() {
        living.until(clock.getAsLong());
        left = true;
        notifyAll();
    }

    /** For how long the replica here has been behind what answers told of, in nanoseconds. */
    synchronized long behindNs() { return lag.behindNs(clock.getAsLong()); }

    /** How boxes are divided now, as far as is known here. */
    synchronized MemberDivision living() { return living; }

    private MemberDivision refresh(long now) {
        Lease own = leases.get(Presence.of(member));
        boolean settled = !left && own.mayAct(now) && now >= presence.actsFrom();
        long until = own.heldUntil() - terms.actNs();
        if (living.view().epoch() == presence.view().epoch() && living.settled() == settled) {
            living.until(until);
            return null;
        }
        living = new MemberDivision(presence.view(), member, settled, until, ahead);
        return living;
    }

    /** Before an act: the fence that it bears, or {@link Lease#NONE} where it may not begin. */
    synchronized long fence(String duty) {
        Lease lease = leases.get(duty);
        return lease != null && lease.mayAct(clock.getAsLong()) ? lease.fence() : Lease.NONE;
    }

    /** After an act by that fence; false where it ended too late to have been the holder's. */
    synchronized boolean acted(String duty, long fence, boolean well) {
        boolean inTime = leases.get(duty).acted(clock.getAsLong(), fence, well);
        notifyAll();
        return inTime;
    }

    /** Whether this member holds that duty now. */
    synchronized boolean holds(String duty) {
        Lease lease = leases.get(duty);
        return lease != null && lease.mayAct(clock.getAsLong());
    }

    /** Each duty sought here, and how it stands. */
    synchronized Map<String, Lease.State> states() {
        long now = clock.getAsLong();
        Map<String, Lease.State> all = new LinkedHashMap<>();
        leases.forEach((name, lease) -> {
            lease.mayAct(now);
            all.put(name, lease.state());
        });
        return all;
    }

    synchronized Lease.Counts counts(String duty) { return leases.get(duty).counts(); }

    /** Whether the ledger knows another process under this member's name: this one is out until it is started anew. */
    synchronized boolean sessionLost() { return leases.values().stream().anyMatch(Lease::sessionLost); }

    private void run() {
        try {
            while (turn()) {
                continue;
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    boolean turn() throws InterruptedException {
        List<Command> out = new ArrayList<>();
        MemberDivision now;
        synchronized (this) {
            if (closed) {
                return false;
            }
            long wake = Long.MAX_VALUE;
            for (Map.Entry<String, Lease> one : leases.entrySet()) {
                Lease lease = one.getValue();
                Command command = lease.next(clock.getAsLong());
                if (command != null) {
                    out.add(command);
                }
                Lease.State before = states.put(one.getKey(), lease.state());
                if (before != lease.state()) {
                    tell(one.getKey(), before == null ? Lease.State.WATCHING : before, lease);
                }
                wake = Math.min(wake, lease.wakeAt());
            }
            if (out.stream().anyMatch(Command.Renew.class::isInstance)) { // those that are due soon go along, and are due together from then on
                leases.values().stream().map(lease -> lease.renewsAlong(clock.getAsLong())).filter(Objects::nonNull).forEach(out::add);
            }
            now = presence == null ? null : refresh(clock.getAsLong());
            if (presence != null) {
                boolean stranger = sessionLost(); // whatever it said would be a stranger's
                Command over = stranger ? null : presence.next(clock.getAsLong());
                if (over != null) {
                    out.add(over);
                }
                long from = presence.actsFrom();
                wake = Math.min(wake, Math.min(stranger ? Long.MAX_VALUE : presence.wakeAt(), from > clock.getAsLong() ? from : Long.MAX_VALUE));
            }
            if (out.isEmpty() && now == null) {
                long ms = wake == Long.MAX_VALUE ? LONGEST_WAIT_MS : (wake - clock.getAsLong() + MS - 1) / MS;
                if (ms > 0) {
                    wait(Math.min(LONGEST_WAIT_MS, ms));
                }
            }
        }
        if (now != null) {
            divided.divided(now);
        }
        for (int i = 0; i < out.size(); i += TOGETHER_MOST) {
            send.accept(List.copyOf(out.subList(i, Math.min(out.size(), i + TOGETHER_MOST))), this);
        }
        return true;
    }

    private void tell(String duty, Lease.State before, Lease lease) {
        try {
            told.told(duty, before, lease.state(), lease.fence());
        } catch (RuntimeException e) {
            Logger.error(e, "fleet duties go on after");
        }
    }

    @Override public synchronized void close() {
        closed = true;
        notifyAll();
    }
}
