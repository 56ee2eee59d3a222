package streamproxy.program;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicLong;
import org.tinylog.Logger;
import streamproxy.protocol.BadMessage;
import streamproxy.protocol.HttpHead;
import streamproxy.protocol.HttpReader;
import streamproxy.protocol.HttpWriter;
import streamproxy.transport.Connection;
import streamproxy.transport.Listener;
import streamproxy.transport.Threads;

/**
 * Where operators call, on an address of its own: HTTP/1.1, one call to a connection, each answered and closed.
 *
 * <ul>
 * <li>{@code GET /admin/health}: 200 once this process can serve, else 503, and a line of what rules kept back;
 * <li>{@code /admin/fleet} and paths below it: what the fleet answers ({@link Fleet#call}); 404 for a router alone;
 * <li>{@code POST /admin/quiesce}: 200, and clients are sent away ({@link Lifecycle#quiesce});
 * <li>{@code POST /admin/resume}: 200, and they come again; both are 409 once the program leaves.
 * </ul>
 *
 * Each call has a thread of its own, {@link #AT_ONCE} at most; one more is closed unanswered and counted. A call that
 * is not whole {@link #WHOLE_MS} ms after it was accepted is answered 408, so that callers that send nothing or half a
 * call hold a place no longer than that, whatever the load of clients.
 */
final class OperatorCalls implements Listener.Gate, AutoCloseable {
    /** What the calls ask and change. */
    interface Desk {
        /** Whether this process can serve. */
        boolean health();

        /** What was kept back by rules, and which were broken, in one line. */
        String rules();

        /** Sends clients away, or takes them back; false where that can no longer be. */
        boolean quiesce(boolean away);

        /** What {@link Fleet#call} answers. */
        Fleet.Reply fleet(String method, String path);
    }

    /** With what the JVM and the list's calls hold these stay within the descriptors kept back for the program's own. */
    static final int AT_ONCE = 32;
    static final long WHOLE_MS = 700;
    private static final long MS = 1_000_000L;

    private final Desk desk;
    private final Listener listener;
    private final Semaphore places = new Semaphore(AT_ONCE);
    private final AtomicLong unanswered = new AtomicLong();

    /** @throws IOException where that address cannot be listened on */
    OperatorCalls(InetSocketAddress at, Desk desk) throws IOException {
        this.desk = desk;
        listener = new Listener(at, this);
    }

    void start() throws IOException {
        Logger.info("operators are listened to at {}", listener.address());
        listener.start();
    }

    InetSocketAddress address() throws IOException { return listener.address(); }

    @Override public long waitNs() { return 0; }

    @Override public void comes(Connection connection) {
        if (!places.tryAcquire()) {
            connection.close();
            Logger.warn("operator calls: {} under way; closed unanswered so far: {}", AT_ONCE, unanswered.incrementAndGet());
            return;
        }
        try {
            Threads.startOnReserve("operator", () -> {
                try {
                    serve(connection);
                } finally {
                    connection.close();
                    places.release();
                }
            });
        } catch (OutOfMemoryError e) {
            connection.close();
            places.release();
            Logger.warn(e, "no thread for an operator's call");
        }
    }

    @Override public void outOfDescriptors() { } // the listener pauses and tries again; calls are few

    private void serve(Connection connection) {
        long by = System.nanoTime() + WHOLE_MS * MS;
        HttpWriter writer = new HttpWriter(connection);
        try {
            try {
                HttpReader reader = new HttpReader(connection);
                HttpHead head = reader.request(by);
                reader.skipBody(head, by); // read to its end, so that the close does not reset the answer
                answer(head, writer);
            } catch (BadMessage e) {
                Logger.info("operator: a call from {} is refused with {}: {}", connection.from(), e.status(), e.getMessage());
                writer.answer(e.status(), e.getMessage(), true);
            } catch (SocketTimeoutException e) {
                Logger.info("operator: a call from {} is not whole after {} ms", connection.from(), WHOLE_MS);
                writer.answer(408, "the call is not whole", true);
            }
        } catch (IOException e) {
            Logger.debug("an operator's call ended: {}", e.getMessage());
        }
    }

    private void answer(HttpHead head, HttpWriter writer) throws IOException {
        String path = head.path();
        Fleet.Reply fleet = path.startsWith("/admin/fleet") ? desk.fleet(head.method(), path) : null;
        String method = switch (path) {
            case "/admin/health" -> "GET";
            case "/admin/quiesce", "/admin/resume" -> "POST";
            default -> fleet == null ? null : head.method();
        };
        if (method == null) {
            Logger.info("operator: {} {} is refused: no such call", head.method(), path);
            writer.answer(404, "no such call", true);
        } else if (!method.equals(head.method())) {
            Logger.info("operator: {} {} is refused: only {}", head.method(), path, method);
            writer.answer(405, "only " + method, true, "Allow: " + method);
        } else if (fleet != null) {
            writer.answer(fleet.status(), fleet.json(), true);
        } else if (path.equals("/admin/health")) {
            boolean serves = desk.health();
            writer.answer(serves ? 200 : 503, (serves ? "serving" : "not serving") + "\n" + desk.rules() + "\n", true);
        } else {
            boolean away = path.equals("/admin/quiesce");
            boolean done = desk.quiesce(away);
            Logger.info("operator: {} {}", path, done ? "done" : "refused: the program leaves");
            writer.answer(done ? 200 : 409, done ? (away ? "quiesced" : "resumed") : "leaving", true);
        }
    }

    @Override public void close() throws IOException { listener.close(); }
}
