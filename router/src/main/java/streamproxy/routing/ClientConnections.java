package streamproxy.routing;

import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.tinylog.Logger;
import streamproxy.dispatch.EnumCounters;
import streamproxy.dispatch.RuleMonitor;
import streamproxy.limits.Admission;
import streamproxy.limits.RetryAfterSchedule;
import streamproxy.limits.ConnectionLimits;
import streamproxy.limits.TokenBucket;
import streamproxy.lifecycle.DrainState;
import streamproxy.protocol.HttpWriter;
import streamproxy.timing.TimerWheel;
import streamproxy.transport.Budget;
import streamproxy.transport.Connection;
import streamproxy.transport.Listener;
import streamproxy.transport.QuietConnections;
import streamproxy.transport.Timers;

/**
 * The connections that clients hold. It carries out what {@link Admission} decides: who is taken, who makes room, who is
 * told to come back. Nothing here looks at all connections, but for one look when the program leaves.
 */
public final class ClientConnections implements Listener.Gate {
    /**
     * What all clients' connections of the program share.
     *
     * @param classes        those in force, which SIGHUP may change
     * @param drain          what becomes of connections and requests at the moment at which it is asked
     * @param heldBytes      what all answers together may hold for clients that are slow to read
     * @param records        whom to tell what became of requests
     * @param rules          counts the rules that are broken
     * @param comeBackMostNs the longest wait that clients heed, in nanoseconds; 0 where they are told none
     */
    public record Desk(ModuleActor module, Clock clock, AtomicReference<Classes> classes, List<String> tenants, Budget bodyBytes,
            RequestIds taken, QuietConnections quiet, Timers timers, BooleanSupplier ready, Supplier<DrainState> drain,
            RetryAfterSchedule comeBack, long comeBackMostNs, Records records, Budget heldBytes, RuleMonitor rules) {
        static String retryAfter(long ns) { return "Retry-After: " + String.format(Locale.ROOT, "%.3f", ns / SECOND); }
    }

    /** Ends what came just before an operator's call and has not asked for anything since. */
    private final class LateSweep extends TimerWheel.Timer {
        @Override protected void due(long now) {
            if (desk.drain().get().endsIdle()) {
                endIdle(now);
            }
        }
    }

    static final byte[] NOTHING = {};
    private static final double SECOND = 1e9;
    private static final long MS = 1_000_000L;
    /** Under pressure a request that has been coming for so long is given up for others. */
    private static final long SLOW = 500 * MS;
    /** How long a client that is turned away may take to read why. */
    private static final long LINGER = 1_000 * MS;
    /** How soon is looked again where every place is held by a request under way. */
    private static final long FULL_LOOK = 20 * MS;
    /** So many exchanges are described in one line of the log. */
    private static final int DESCRIBED_MOST = 8;

    private final Desk desk;
    private final Admission admission;
    private final TokenBucket pace;
    private final Set<Exchange> exchanges = ConcurrentHashMap.newKeySet();
    private final EnumCounters<CloseReason> closes = new EnumCounters<>(CloseReason.class);
    private final DrainReport drainReport;
    private final TimerWheel.Timer lateSweep = new LateSweep();

    public ClientConnections(Desk desk, ConnectionLimits limits) {
        this.desk = desk;
        admission = new Admission(limits, SLOW);
        pace = new TokenBucket(limits.acceptsPerS(), System.nanoTime());
        drainReport = new DrainReport(this::describeHeld);
    }

    Desk desk() { return desk; }

    /** Other limits from now on; what is held beyond them stays until it ends by itself. */
    public synchronized void change(ConnectionLimits limits) {
        admission.change(limits);
        pace.change(limits.acceptsPerS());
    }

    /** How many are held, and how often room was short. */
    public synchronized Admission.Counts counts() { return admission.counts(); }

    /** An exchange has begun, and is told of in the log while it holds up a drain. */
    void begins(Exchange exchange) { exchanges.add(exchange); }

    void isOver(Exchange exchange) { exchanges.remove(exchange); }

    /** A connection ends for that reason. */
    void closes(CloseReason reason) { closes.count(reason); }

    private String describeHeld() {
        Admission.Counts counts = counts();
        long now = System.nanoTime();
        String described = exchanges.stream().limit(DESCRIBED_MOST).map(exchange -> exchange.describe(now)).collect(Collectors.joining("; "));
        return counts.held() + " connections are held, " + counts.active() + " with a request under way"
                + (described.isEmpty() ? "" : ": " + described);
    }

    // ---- The listener's gate ------------------------------------------------------------------------

    @Override public synchronized long waitNs() {
        long now = System.nanoTime();
        if (admission.recover(now)) {
            Logger.info("clients may hold {} connections again", admission.clientsMost());
        }
        return admission.isFull() && admission.spare(now) == null ? FULL_LOOK : pace.take(now);
    }

    @Override public void comes(Connection connection) {
        ClientConnection client = new ClientConnection(connection, this);
        Admission.Newcomer verdict;
        do {
            synchronized (this) {
                verdict = admission.comes(client, connection.from(), System.nanoTime());
            }
        } while (verdict == Admission.Newcomer.AFTER_ANOTHER && makeRoom());
        try {
            settle(client, connection, verdict);
        } catch (RuntimeException | Error e) {
            client.abandon();
            throw e;
        }
    }

    private void settle(ClientConnection client, Connection connection, Admission.Newcomer verdict) {
        switch (verdict) {
            case TAKEN -> client.awaitRequest();
            case ADDRESS_FULL -> {
                closes.count(CloseReason.NO_ROOM);
                connection.close();
            }
            default -> client.turnAway(); // the last place went to a request meanwhile
        }
    }

    @Override public void outOfDescriptors() {
        int most;
        synchronized (this) {
            most = admission.outOfDescriptors(System.nanoTime());
        }
        Logger.warn("no descriptor is left: clients hold no more than {} for now", most);
        boolean made = makeRoom(); // one in any case: whoever waits needs a descriptor
        while (made && isOver(most)) {
            made = makeRoom();
        }
    }

    private synchronized boolean isOver(int most) { return admission.held() > most; }

    /** Closes the connection that can best be spared; false where every one has a request under way. */
    private boolean makeRoom() {
        while (true) {
            ClientConnection best;
            synchronized (this) {
                best = (ClientConnection) admission.spare(System.nanoTime());
            }
            if (best == null) {
                return false;
            }
            if (best.spare()) {
                synchronized (this) {
                    admission.noteSpared();
                }
                return true;
            }
            synchronized (this) {
                admission.keeps(best); // a request has come on it at this moment
            }
        }
    }

    // ---- What connections tell ----------------------------------------------------------------------

    /**
     * Has the watch take a connection that waits for a request. The lock orders this against whoever begins a drain: either
     * the new state is seen here, or the sweep behind the state finds the connection with the watch.
     */
    QuietConnections.Watch watch(ClientConnection client, long since) {
        synchronized (this) {
            long until = desk.drain().get().idleUntilNs(client.served(), since, admission.patienceNs(client));
            return desk.quiet.add(client.connection(), until, client);
        }
    }

    /** Comes back once each connection that was given to the watch by an older state is with it. */
    private synchronized void awaitOlderWatches() { }

    private void endIdle(long now) {
        desk.quiet.endAll(owner -> owner instanceof ClientConnection client && !client.isNew(now));
    }

    synchronized boolean asks(ClientConnection client) { return admission.asks(client, System.nanoTime()); }

    synchronized void whole(ClientConnection client) { admission.keeps(client); }

    synchronized void asksAgain(ClientConnection client) { admission.asksAgain(client, System.nanoTime()); }

    void rests(ClientConnection client) {
        synchronized (this) {
            admission.rests(client, System.nanoTime());
        }
        client.awaitRequest();
    }

    /** Lets a connection go after its last word; its place is free once it is closed, its thread at once. */
    void linger(ClientConnection client, byte[] lastWord) {
        synchronized (this) {
            admission.lingers(client);
        }
        desk.quiet.linger(client.connection(), lastWord, System.nanoTime() + LINGER, () -> ended(client, null));
    }

    void ended(ClientConnection client, QuietConnections.Watch watch) {
        boolean last;
        synchronized (this) {
            last = admission.ends(client) && admission.held() == 0;
            if (last) {
                notifyAll();
            }
        }
        if (watch != null) {
            desk.quiet.letGo(watch);
        }
        if (last) {
            drainReport.noneHeld(System.nanoTime());
        }
    }

    /** The field that tells a client for which there is no room when to come back; none where it may not be told. */
    synchronized String[] later() {
        long after = desk.comeBack.after(System.nanoTime(), admission.limits().acceptsPerS(), desk.comeBackMostNs);
        return after == 0 ? new String[0] : new String[] {Desk.retryAfter(after)};
    }

    /** What a client is told for which there is no room. */
    byte[] tooMuch() { return HttpWriter.whole(503, "too much at once", true, later()); }

    /**
     * Clients are sent away, or come again; the desk's drain state says so already. Away, connections that have no request
     * are closed now, the ones that have just come a moment later, so that none is used again.
     */
    public void quiesce(boolean away) {
        if (!away) {
            desk.timers().end(lateSweep);
            drainReport.cancel();
            Logger.info("clients' connections ended so far: {}", closes);
            return;
        }
        awaitOlderWatches();
        long now = System.nanoTime();
        drainReport.begin("quiesce", now);
        endIdle(now);
        desk.timers().set(lateSweep, DrainState.NEW_CONNECTIONS_NS);
    }

    // ---- Leaving ------------------------------------------------------------------------------------

    /**
     * Closes those that wait for a request, the ones that have just come a moment later, then waits until all others are
     * answered and closed. No connection comes any more.
     */
    public void finish() throws InterruptedException {
        awaitOlderWatches();
        long now = System.nanoTime();
        drainReport.begin("shutdown", now);
        endIdle(now);
        awaitNoneHeld(now + DrainState.FIRST_REQUEST_NS);
        desk.quiet.endAll(owner -> owner instanceof ClientConnection);
        awaitNoneHeld(Long.MAX_VALUE);
        drainReport.noneHeld(System.nanoTime());
        Logger.info("clients' connections ended: {}; {}", closes, desk.rules());
    }

    private synchronized void awaitNoneHeld(long until) throws InterruptedException {
        while (admission.held() > 0) {
            long left = until == Long.MAX_VALUE ? Long.MAX_VALUE : until - System.nanoTime();
            if (left <= 0) {
                return;
            }
            TimeUnit.NANOSECONDS.timedWait(this, left);
        }
    }
}
