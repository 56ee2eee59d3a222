package streamproxy.routing;

import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import org.tinylog.Logger;
import streamproxy.limits.Admission;
import streamproxy.limits.RetryAfterSchedule;
import streamproxy.limits.ConnectionLimits;
import streamproxy.limits.TokenBucket;
import streamproxy.protocol.HttpWriter;
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
     * @param leaving        whether answers are to close their connections
     * @param finishing      whether requests come too late to be served, and are refused
     * @param heldBytes      what all answers together may hold for clients that are slow to read
     * @param records        whom to tell what became of requests
     * @param comeBackMostNs the longest wait that clients heed, in nanoseconds; 0 where they are told none
     */
    public record Desk(ModuleActor module, Clock clock, AtomicReference<Classes> classes, List<String> tenants, Budget bodyBytes,
            RecentRequestIds taken, QuietConnections quiet, Timers timers, BooleanSupplier ready, BooleanSupplier leaving, BooleanSupplier finishing,
            RetryAfterSchedule comeBack, long comeBackMostNs, Records records, Budget heldBytes) {
        static String retryAfter(long ns) { return "Retry-After: " + String.format(Locale.ROOT, "%.3f", ns / SECOND); }
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
    /** While finishing, a connection that has just come waits so long for its first request, which may be on its way. */
    static final long FIRST_REQUEST = 100 * MS;
    /** So many exchanges are described in one line of the log. */
    private static final int DESCRIBED_MOST = 8;
    /** While quiesced, a new connection waits for its request no longer than this. */
    private static final long QUIESCED_MUTE = 1_000 * MS;

    private final Desk desk;
    private final Admission admission;
    private final TokenBucket pace;
    private final Set<Exchange> exchanges = ConcurrentHashMap.newKeySet();
    private final CloseCounters closes = new CloseCounters();
    private final DrainReport drainReport;
    private boolean finishing;
    private boolean quiesced;

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
            most = admission.outOfDescriptors();
        }
        Logger.warn("no descriptor is left: clients hold no more than {} from now on", most);
        while (isOver(most) && makeRoom()) {
            continue;
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

    QuietConnections.Watch watch(ClientConnection client, long since) {
        synchronized (this) { // until the watch has it: whoever finishes or quiesces must end this one, too
            return desk.quiet.add(client.connection(), since + patienceNs(client), client);
        }
    }

    private long patienceNs(ClientConnection client) {
        long usual = admission.patienceNs(client);
        if (finishing) {
            return client.served() ? 0 : Math.min(FIRST_REQUEST, usual);
        }
        return quiesced ? Math.min(QUIESCED_MUTE, usual) : usual;
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
        if (watch != null) {
            desk.quiet.letGo(watch);
        }
        boolean last;
        synchronized (this) {
            last = admission.ends(client) && admission.held() == 0;
            if (last) {
                notifyAll();
            }
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
     * Clients are sent away, or come again. Away, connections that rest after an answer are closed now, so that none is
     * used again; those under way close after their answers (the desk's {@code leaving} says so), and new ones wait for
     * their request for a short while only.
     */
    public void quiesce(boolean away) {
        synchronized (this) {
            quiesced = away;
        }
        if (away) {
            drainReport.begin("quiesce", System.nanoTime());
            desk.quiet.endAll(owner -> owner instanceof ClientConnection client && client.served());
        } else {
            drainReport.cancel();
            Logger.info("clients' connections ended so far: {}", closes);
        }
    }

    // ---- Leaving ------------------------------------------------------------------------------------

    /**
     * Closes those that wait for a request, the ones that have just come a moment later, then waits until all others are
     * answered and closed. No connection comes any more.
     */
    public void finish() throws InterruptedException {
        synchronized (this) {
            finishing = true; // who rests from now on has no time left
        }
        long now = System.nanoTime();
        drainReport.begin("shutdown", now);
        desk.quiet.endAll(owner -> owner instanceof ClientConnection client && !client.isNew(now));
        awaitNoneHeld(now + FIRST_REQUEST);
        desk.quiet.endAll(owner -> owner instanceof ClientConnection);
        awaitNoneHeld(Long.MAX_VALUE);
        drainReport.noneHeld(System.nanoTime());
        Logger.info("clients' connections ended: {}", closes);
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
