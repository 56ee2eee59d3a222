package streamproxy.routing;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import streamproxy.transport.Connection;

/** The connections that clients hold, and which of them makes room where places are short. */
public final class ClientConnections {
    private final Set<ClientConnection> open = ConcurrentHashMap.newKeySet();
    private final ClientConnection.Desk desk;

    public ClientConnections(ClientConnection.Desk desk) { this.desk = desk; }

    /** Serves what comes on a connection. */
    public void take(Connection connection) {
        ClientConnection client = new ClientConnection(connection, desk, open::remove);
        open.add(client);
        client.awaitRequest();
    }

    /**
     * Closes the connection that can best be spared, so that clients that hold connections without a request cannot
     * shut others out; false where every one has a request in work.
     */
    public boolean makeRoom() {
        for (ClientConnection best = best(); best != null; best = best()) {
            if (best.spareFor()) {
                return true;
            }
        }
        return false;
    }

    private ClientConnection best() {
        ClientConnection best = null;
        long gladly = -1;
        for (ClientConnection client : open) {
            long now = client.spareable();
            if (now > gladly) {
                best = client;
                gladly = now;
            }
        }
        return best;
    }

    /** Closes those of clients that do not read their answers. */
    public void closeStalled() { open.forEach(ClientConnection::closeIfStalled); }

    /** Closes those that wait for a request; true once none is left. */
    public boolean closeWaiting() {
        open.forEach(ClientConnection::closeIfWaiting);
        return open.isEmpty();
    }
}
