package streamproxy.routing;

import streamproxy.protocol.EndpointEntry;

/** The model boxes as the module's actor reaches them; no call waits for a socket. */
interface ReplicaDispatcher {
    /** The box list names this box, and whether it may get new work. */
    void told(long id, EndpointEntry box, boolean ready);

    /** The box list has dropped this box. */
    void gone(long id);

    /** Starts an attempt; false where there is no room to. */
    boolean send(Attempt attempt);

    /** Asks a box for its load; false where there is no room to. */
    boolean probe(long id);
}
