package streamproxy.program;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import streamproxy.protocol.EndpointEntry;
import streamproxy.records.Event;
import streamproxy.routing.ColdShares;
import streamproxy.routing.SharedList;

/** What a router asks of the others of its fleet. Alone it has none, and nothing of this costs anything. */
public interface Fleet {
    /** A router by itself, as the platform runs it. */
    Fleet ALONE = new Fleet() { };

    /** Comes back once this router may leave, or has waited for its turn for as long as it does. */
    default void awaitTurnToLeave() throws InterruptedException { }

    /** All that was taken is answered, and the process is about to end. */
    default void left() throws IOException, InterruptedException { }

    /**
     * Answers an operator's call of a path under {@code /admin/fleet} within half a second; null where there is no such
     * call, as for a router alone.
     */
    default Reply call(String method, String path) { return null; }

    /** Whom to tell what becomes of duties: once, before the router starts. Null where nobody wants records. */
    default void tell(Consumer<Event> records) { }

    /**
     * Whom to tell how model boxes are divided among the routers: once, before the router starts.
     *
     * @param clock that of the times at which the division is asked
     */
    default void divide(Consumer<Division> to, LongSupplier clock) { }

    /** The box list as another member's watch tells it, where one does. */
    default SharedList list() { return SharedList.NONE; }

    /** What a router begins with that was configured with that box list of that service; it may ask others for a second. */
    default EndpointEntry.News known(EndpointEntry.News configured, InetSocketAddress service) { return configured; }

    /** What cold boxes may be sent, divided among the members. */
    default ColdShares coldShares() { return ColdShares.NONE; }

    /** How what each does its part of is divided among the members that live: each thing has all of them in an order of its own. */
    interface Division {
        /** How many there are; at least 1. */
        int members();

        /** How many stand before this router in that thing's order; from 0. */
        int place(long thing);

        /** Whether this router may do its part at that time, by the clock that was given. */
        boolean may(long now);
    }

    /** An answer to an operator: a status of HTTP and JSON. */
    record Reply(int status, String json) { }
}
