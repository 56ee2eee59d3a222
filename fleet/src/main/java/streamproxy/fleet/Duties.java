package streamproxy.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import org.tinylog.Logger;
import streamproxy.duties.Command;
import streamproxy.duties.Duty;
import streamproxy.duties.Lease;
import streamproxy.duties.Ledger;
import streamproxy.duties.Result;
import streamproxy.duties.Terms;

/**
 * This member's leases: one thread that asks, renews and gives back in time; whoever acts asks here first, and neither
 * waits for the consensus.
 */
final class Duties implements AutoCloseable {
    /** Is told when a duty came to this member or went, on the threads of this class; it must not wait. */
    interface Told {
        void told(String duty, Lease.State before, Lease.State now, long fence);
    }

    private static final long MS = 1_000_000L;
    private static final long LONGEST_WAIT_MS = 1_000;

    private final Map<String, Lease> leases = new LinkedHashMap<>();
    private final Map<String, Lease.State> states = new LinkedHashMap<>();
    private final AtomicLong numbers = new AtomicLong(1); // 1 was the session's opening
    private final String member;
    private final long session;
    private final Terms terms;
    private final LongSupplier clock;
    private final BiConsumer<Command, Duties> send;
    private final Told told;
    private boolean closed;

    /**
     * @param clock monotonic, nanoseconds
     * @param send  sends a command without waiting and tells {@link #answered}
     */
    Duties(String member, long session, Terms terms, LongSupplier clock, BiConsumer<Command, Duties> send, Told told) {
        this.member = member;
        this.session = session;
        this.terms = terms;
        this.clock = clock;
        this.send = send;
        this.told = told;
    }

    void start() {
        Thread thread = new Thread(null, this::run, "fleet duties", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

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

    /** The replica here has applied something about that duty, or about any where it is null; on its thread. */
    synchronized void applied(Ledger ledger, String duty) {
        if (duty != null) {
            sees(ledger.duty(duty));
        } else {
            leases.keySet().forEach(name -> sees(ledger.duty(name)));
        }
    }

    /** The consensus has answered a command of ours. */
    synchronized void answered(Command command, Result result) {
        long now = clock.getAsLong();
        leases.values().forEach(lease -> lease.answered(now, command.from().number(), result));
        notifyAll();
    }

    /** Before an act: the fence that it bears, or {@link Lease#NONE} where it may not begin. */
    synchronized long begins(String duty) {
        Lease lease = leases.get(duty);
        return lease == null ? Lease.NONE : lease.begins(clock.getAsLong());
    }

    /** After an act; false where it ended too late to have been the holder's. */
    synchronized boolean ends(String duty, long fence, boolean well) {
        boolean inTime = leases.get(duty).ends(clock.getAsLong(), fence, well);
        notifyAll();
        return inTime;
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

    private boolean turn() throws InterruptedException {
        List<Command> out = new ArrayList<>();
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
            if (out.isEmpty()) {
                long ms = wake == Long.MAX_VALUE ? LONGEST_WAIT_MS : (wake - clock.getAsLong() + MS - 1) / MS;
                if (ms > 0) {
                    wait(Math.min(LONGEST_WAIT_MS, ms));
                }
            }
        }
        out.forEach(command -> send.accept(command, this));
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
