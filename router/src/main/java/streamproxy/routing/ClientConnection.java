package streamproxy.routing;

import java.util.concurrent.atomic.AtomicReferenceFieldUpdater;
import org.tinylog.Logger;
import streamproxy.lifecycle.DrainState;
import streamproxy.limits.Admission;
import streamproxy.transport.Connection;
import streamproxy.transport.QuietConnections;
import streamproxy.transport.Threads;

/**
 * One client's connection. While nothing is under way it is no more than this: no thread, mailbox or buffer. With the
 * first byte of a request it gets an {@link Exchange}, which has them, until the answer's last.
 */
final class ClientConnection extends Admission.Guest implements QuietConnections.Owner {
    /**
     * What the connection is at: it may be spared while it WAITS for a request, hardly while one is being READ. While it
     * is ASKING the admission still counts it as waiting, and whoever chose it by that must leave it alone.
     */
    private enum Phase { WAITING, ASKING, READING, IN_WORK, OVER }

    private static final AtomicReferenceFieldUpdater<ClientConnection, Phase> PHASE =
            AtomicReferenceFieldUpdater.newUpdater(ClientConnection.class, Phase.class, "phase");

    private static final long MS = 1_000_000L;
    /**
     * One that begins to ask soon after connecting is told within so long from connecting if its request is not whole;
     * any other request has as long from its first byte on. It is one limit for head and body together: a byte now and
     * then must not hold a place for ever.
     */
    private static final long WHOLE = 2_500 * MS;
    private static final long SOON = 2_100 * MS;

    private final Connection connection;
    private final ClientConnections all;
    private volatile Phase phase = Phase.WAITING;
    private volatile long phaseAt = System.nanoTime(); // at first that of connecting
    private volatile QuietConnections.Watch watch;
    private volatile boolean served;
    private volatile boolean spared; // while its request was read

    ClientConnection(Connection connection, ClientConnections all) {
        this.connection = connection;
        this.all = all;
    }

    Connection connection() { return connection; }

    String[] later() { return all.later(); }

    /** Waits for a request, which may never come, without a thread. */
    void awaitRequest() { watch = all.watch(this, phaseAt); }

    /** Whether a request has begun to come that nobody has read from yet. */
    boolean isAsking() { return connection.hasArrived(); }

    /** Closes the connection for the sake of others; false where it has got something to do meanwhile. */
    boolean spare() {
        Phase now = phase;
        boolean may = now == Phase.READING || now == Phase.WAITING && !isAsking();
        if (!may || !PHASE.compareAndSet(this, now, Phase.OVER)) {
            return false;
        }
        if (now == Phase.READING) { // some of a request was read: its exchange says that there is no room, then closes
            spared = true;
            connection.endReading();
            all.ended(this, watch);
        } else {
            end(CloseReason.EVICTED);
        }
        return true;
    }

    /** Whether it was closed for the sake of others while its request was read. */
    boolean isSpared() { return spared; }

    @Override public void arrived() {
        try {
            serveArrived();
        } catch (RuntimeException | Error e) {
            abandon();
            throw e;
        }
    }

    private void serveArrived() {
        if (!enter(Phase.WAITING, Phase.ASKING)) {
            return; // spared meanwhile, and closed
        }
        if (!all.asks(this)) {
            turnAway();
            return;
        }
        phase = Phase.READING;
        try {
            Exchange exchange = new Exchange(this, connection, all);
            Threads.start("client", exchange::serve);
        } catch (OutOfMemoryError e) {
            Logger.warn(e, "no thread for a client's request");
            turnAway();
        }
    }

    @Override public void over() {
        if (!PHASE.compareAndSet(this, Phase.WAITING, Phase.OVER)) {
            return;
        }
        CloseReason reason = all.desk().drain().get().endsIdle() ? CloseReason.DRAINED : CloseReason.IDLE_ENDED;
        if (served) {
            linger(reason); // a request may be coming at this moment: its client finds the end, and no reset, and sends it again
        } else {
            end(reason);
        }
    }

    /** Says at once that there is no room, and when to come back, without a thread. */
    void turnAway() {
        phase = Phase.OVER;
        told(CloseReason.NO_ROOM);
        all.desk().records().turnedAway(null, "no_room");
        all.linger(this, all.tooMuch());
    }

    // ---- What its exchange says ---------------------------------------------------------------------

    /** By when the request that is being read must be whole. */
    long wholeBy(long now) { return all.desk().drain().get().readUntilNs(phaseAt + WHOLE, now); }

    /** The request is whole; false where the connection was given up for others before. */
    boolean whole() {
        if (!PHASE.compareAndSet(this, Phase.READING, Phase.IN_WORK)) {
            return false;
        }
        all.whole(this);
        return true;
    }

    /** Whether a request that is being read would have more time if nobody were sent away. */
    boolean isCutShort(long now) { return now - phaseAt < WHOLE; }

    void answered() { served = true; }

    /** Whether a request was answered on it before. */
    boolean served() { return served; }

    /** Whether it has come so lately that its first request may still be on its way. */
    boolean isNew(long now) { return !served && now - phaseAt < DrainState.FIRST_REQUEST_NS; }

    /** A further request has come with the one before. */
    boolean readsAgain() {
        if (!enter(Phase.IN_WORK, Phase.READING)) {
            return false;
        }
        all.asksAgain(this);
        return true;
    }

    /** The exchange has ended, and the connection waits for the next. */
    void rest() {
        phaseAt = System.nanoTime();
        phase = Phase.WAITING;
        all.rests(this);
    }

    /** The exchange has ended with an answer that the client shall have time to read. */
    void linger(CloseReason reason) {
        phase = Phase.OVER;
        try {
            told(reason);
            all.linger(this, ClientConnections.NOTHING);
        } catch (RuntimeException | Error e) {
            abandon();
            throw e;
        }
    }

    void end(CloseReason reason) {
        phase = Phase.OVER;
        try {
            told(reason);
        } finally {
            connection.close();
            all.ended(this, watch);
        }
    }

    /** Ends it at once, whatever failed: its place must be free, or a shutdown waits for it for ever. */
    void abandon() {
        phase = Phase.OVER;
        connection.close();
        all.ended(this, watch);
    }

    private void told(CloseReason reason) {
        all.closes(reason);
        Logger.debug("a client's connection ends: {}", reason);
    }

    private boolean enter(Phase from, Phase to) {
        long now = System.nanoTime();
        if (served || now - phaseAt > SOON) {
            phaseAt = now;
        }
        return PHASE.compareAndSet(this, from, to);
    }
}
