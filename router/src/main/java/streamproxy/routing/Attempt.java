package streamproxy.routing;

import java.util.concurrent.atomic.AtomicReference;
import streamproxy.decision.Routing;
import streamproxy.dispatch.AttemptGate;
import streamproxy.timing.TimerWheel;
import streamproxy.transport.Connection;

/** One sending of a request to one replica. */
final class Attempt {
    private enum Phase { OUT, BOUND, OVER }

    final Request request;
    final int number;
    final long boxId;
    final long sentAt;
    final long endsAt;
    /** What it is bound by: a repeat is harmless within its class's window only, and what is known of the replica binds for a while. */
    final AttemptGate.Bounds bounds;
    private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.OUT);
    final String replica; // its uid
    final Routing.Choice choice;
    long reportNs; // the age of the report that its replica was chosen by, negative where there was none
    TimerWheel.Timer timeOut; // the module's actor alone touches it, and the next three
    Routing.Outcome outcome;
    long tookNs = -1;
    boolean began; // counted among its replica's streams
    volatile long writtenAt; // 0 until its bytes have gone out
    volatile long keptTokens = -1;
    private volatile Connection connection;

    /** @param writeBy when it may begin at the latest */
    Attempt(Request request, int number, long boxId, String replica, Routing.Choice choice, long sentAt, long endsAt, long writeBy) {
        this.request = request;
        this.number = number;
        this.boxId = boxId;
        this.replica = replica;
        this.choice = choice;
        this.sentAt = sentAt;
        this.endsAt = endsAt;
        this.bounds = new AttemptGate.Bounds(request.deadline, writeBy);
    }

    /** The connection that carries it, closed at once if the attempt was called off before. */
    void carriedBy(Connection carrier) {
        connection = carrier;
        if (isOver()) {
            carrier.abort();
        }
    }

    boolean isOver() { return phase.get() == Phase.OVER; }

    /** Its first event is there: true where the client gets this attempt's stream. */
    boolean bind() { return phase.compareAndSet(Phase.OUT, Phase.BOUND) && request.bind(number); }

    /** The attempt has ended; true for the first who says so, whose outcome counts. */
    boolean end() { return phase.getAndSet(Phase.OVER) != Phase.OVER; }

    /** Ends an attempt that has not begun to answer, aborting its connection; false where it is too late. */
    boolean callOff() {
        boolean off = phase.compareAndSet(Phase.OUT, Phase.OVER);
        if (off) {
            abortConnection();
        }
        return off;
    }

    /** Ends the attempt whatever it is at, since its client has left. */
    boolean abandon() {
        boolean first = end();
        if (first) {
            abortConnection();
        }
        return first;
    }

    private void abortConnection() {
        Connection carrier = connection;
        if (carrier != null) {
            carrier.abort();
        }
    }
}
