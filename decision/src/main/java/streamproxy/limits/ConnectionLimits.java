package streamproxy.limits;

/**
 * How many connections a router may hold and for how long, from what the deployment allows and what its operator
 * wishes. Idle connections cost a descriptor and a little memory, active ones a thread and its buffers as well, so the
 * two are accounted apart. Times are nanoseconds; a limit of 0 in the wishes is none.
 *
 * @param clientsMost       clients' connections, idle and active together
 * @param activeMost        clients' connections with a request under way
 * @param clientsPerAddress clients' connections from one address; {@link Integer#MAX_VALUE} where that is not limited
 * @param acceptsPerS       connections taken from clients in a second; infinite where that is not limited
 * @param boxesMost         connections to model boxes, idle and active together
 * @param boxMost           connections to one model box; {@link Integer#MAX_VALUE} where that is not limited
 * @param connectingMost    connections being opened to one model box at a time
 * @param clientIdleNs      how long a connection that was served waits for its next request
 * @param clientMuteNs      how long one waits for its first
 */
public record ConnectionLimits(int clientsMost, int activeMost, int clientsPerAddress, double acceptsPerS, int boxesMost,
        int boxMost, int connectingMost, long clientIdleNs, long clientMuteNs) {
    /** Descriptors for the program's own: the JVM's files and pipes, the listeners, the list's calls and the operators'. */
    public static final int OWN_DESCRIPTORS = 64;
    /** What the program takes with a full heap and no connection, in MB. */
    private static final int OWN_MB = 64;
    /** What an active connection may add, in KB: most of its thread's stack, and buffers. */
    private static final int ACTIVE_KB = 155;
    /** What an idle one adds outside the heap, in KB: the kernel's socket, file and poll entry. */
    private static final int IDLE_KB = 4;
    /** What an idle client's connection takes of the heap, in bytes, the JDK's channel included; see docs/connections.md. */
    private static final int IDLE_HEAP_BYTES = 1_200;
    /** Share of the heap that idle connections may take. */
    private static final double IDLE_HEAP_SHARE = 0.45;
    /** Share of the descriptors for clients; the rest is for the model boxes that serve them. */
    private static final double CLIENTS_SHARE = 0.5;
    private static final long SECOND = 1_000_000_000L;

    /** What an operator may set; 0 leaves a figure to what the deployment allows. */
    public record Wishes(int clientsMost, int activeMost, int clientsPerAddress, double acceptsPerS, int boxMost,
            int connectingMost, double clientIdleS, double clientMuteS) {
        /** Where no operator has said anything. */
        public static final Wishes NONE = new Wishes(0, 0, 0, 0, 0, 0, 3, 2);
    }

    /** The wishes contradict each other or what the deployment allows; {@link #key} is the wish at fault. */
    public static final class Impossible extends Exception {
        private static final long serialVersionUID = 1L;

        private final String key;

        Impossible(String key, String why) {
            super(why);
            this.key = key;
        }

        /** The section of the operator's file that the wish stands in. */
        public String section() { return key.equals("connecting_most") ? "boxes" : "connections"; }

        public String key() { return key; }
    }

    /**
     * What the deployment and the wishes come to.
     *
     * @param descriptors the most that the process may hold
     * @param memoryMb    the most memory that it may take, its heap included
     * @param heapBytes   the most heap among that
     */
    public static ConnectionLimits of(int descriptors, int memoryMb, long heapBytes, Wishes wishes) throws Impossible {
        int places = descriptors - OWN_DESCRIPTORS;
        long room = (memoryMb - OWN_MB) * 1024L;
        if (places < 2 || room < 2 * ACTIVE_KB) {
            throw new Impossible("limits", "limits leave no room for connections");
        }
        int clientPlaces = (int) (CLIENTS_SHARE * places);
        if (wishes.clientsMost > clientPlaces) {
            // Boxes need one for each active request at least; clients may have what is left.
            clientPlaces = Math.min(wishes.clientsMost, places - least(wishes.activeMost, places / 8));
            if (clientPlaces < wishes.clientsMost) {
                throw new Impossible("clients_most", "clients_most is over the " + clientPlaces + " that " + descriptors
                        + " descriptors leave beside the model boxes' own");
            }
        }
        long byHeap = (long) (IDLE_HEAP_SHARE * heapBytes / IDLE_HEAP_BYTES);
        if (wishes.clientsMost > byHeap) {
            throw new Impossible("clients_most", "clients_most is over the " + byHeap + " that a heap of "
                    + (heapBytes >> 20) + " MB holds");
        }
        int clients = (int) Math.min(clientPlaces, byHeap);
        clients = wishes.clientsMost > 0 ? Math.min(clients, wishes.clientsMost) : clients;
        int boxes = places - clientPlaces;
        // An active request needs two active connections: the client's and one to a box.
        long idleKb = (long) IDLE_KB * (clients + Math.min(boxes, clients));
        long active = (room - Math.min(idleKb, room / 2)) / (2 * ACTIVE_KB);
        if (wishes.activeMost > active) {
            throw new Impossible("active_most", "active_most is over the " + active + " that " + memoryMb + " MB hold beside "
                    + clients + " clients");
        }
        if (wishes.activeMost > clients) {
            throw new Impossible("active_most", "active_most is over clients_most, which is " + clients);
        }
        int activeMost = (int) Math.min(clients, wishes.activeMost > 0 ? wishes.activeMost : active);
        if (wishes.clientsPerAddress > clients) {
            throw new Impossible("clients_per_address", "clients_per_address is over clients_most, which is " + clients);
        }
        if (wishes.boxMost > 0 && wishes.connectingMost > wishes.boxMost) {
            throw new Impossible("connecting_most", "connecting_most is over connections_most, which is " + wishes.boxMost);
        }
        return new ConnectionLimits(clients, activeMost, orNone(wishes.clientsPerAddress),
                wishes.acceptsPerS > 0 ? wishes.acceptsPerS : Double.POSITIVE_INFINITY, boxes, orNone(wishes.boxMost),
                orNone(wishes.connectingMost),
                (long) (wishes.clientIdleS * SECOND), (long) (wishes.clientMuteS * SECOND));
    }

    private static int least(int wished, int otherwise) { return wished > 0 ? wished : Math.max(1, otherwise); }

    private static int orNone(int limit) { return limit > 0 ? limit : Integer.MAX_VALUE; }
}
