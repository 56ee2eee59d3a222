package streamproxy.routing;

import streamproxy.timing.TimerWheel;
import streamproxy.transport.Connection;
import streamproxy.transport.Timers;

/**
 * Ends the reading of a request that is not whole in time; a byte now and then must not hold a place for ever. A router
 * short of CPU may be the one that is late: bytes that wait are read first, those in the socket and those that the watch of
 * quiet connections has read before the request's thread began.
 */
final class RequestReadTimeout extends TimerWheel.Timer {
    /** How soon is looked again at a request whose time is over while bytes of it wait to be read. */
    private static final long LOOK_AGAIN = 50_000_000L;

    private final Connection connection;
    private final Timers timers;
    private volatile boolean over;

    RequestReadTimeout(Connection connection, Timers timers) {
        this.connection = connection;
        this.timers = timers;
    }

    /** Whether the reading was ended. */
    boolean isOver() { return over; }

    @Override protected void due(long now) {
        if (connection.holdsMore() || connection.hasArrived()) {
            timers.set(this, LOOK_AGAIN);
        } else {
            over = true;
            connection.endReading();
        }
    }
}
