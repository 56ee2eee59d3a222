package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An engine as the protocol page has it. Each event of its streams bears the id of the request that it is made for, so that a
 * client can tell whose answer it gets.
 */
public final class Engine implements AutoCloseable {
    /** One attempt: a request whose last byte has arrived. */
    public record Run(String id, Engine engine, double beganMs, double firstByteMs, String told, Connection on) { }

    /** How an engine answers an attempt. */
    public interface Answers {
        void answer(Engine engine, Connection on, Run run) throws IOException, InterruptedException;
    }

    /** One connection. */
    public static final class Connection {
        public final Socket socket;
        public final BufferedInputStream in;
        public final OutputStream out;
        public final int number;

        Connection(Socket socket, int number) throws IOException {
            this.socket = socket;
            this.number = number;
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        /** Closes with a reset. */
        public void reset() {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                // it is closed
            }
        }
    }

    public final String uid;
    public final String az;
    public final int cell;
    public volatile long bootMs;
    public volatile double hint = 1;
    public volatile Answers answers = (engine, on, run) -> engine.stream(on, run.id(), 5, 4);
    public volatile boolean draining;
    public volatile boolean loud = true;
    public volatile java.util.function.Supplier<String> load;
    public final List<Run> runs = new CopyOnWriteArrayList<>();
    private final Rig rig;
    private volatile ServerSocket server;
    private volatile int holds = Integer.MAX_VALUE;
    private volatile boolean refused;
    private volatile boolean over;
    private final int port;
    private final AtomicInteger connections = new AtomicInteger();
    private final AtomicInteger inFlight = new AtomicInteger();
    private final List<Connection> open = new CopyOnWriteArrayList<>();

    public Engine(Rig rig, String uid, String az, int cell) throws IOException {
        this.rig = rig;
        this.uid = uid;
        this.az = az;
        this.cell = cell;
        port = Rig.freePort();
        server = new ServerSocket(port, 512, Rig.loopback());
        Discovery.start(uid, this::accept);
    }

    public int inFlight() { return inFlight.get(); }

    public int port() { return port; }

    /** It holds so many connections; while it does, new ones are refused. */
    public void holds(int most) { holds = most; }

    /** Whether it has held all that it can. */
    public boolean hasRefused() { return refused; }

    private void accept() {
        while (!over) {
            try {
                Connection on = new Connection(server.accept(), connections.incrementAndGet());
                open.add(on);
                Discovery.start(uid + " " + on.number, () -> serve(on));
                if (open.size() >= holds) {
                    server.close();
                    refused = true;
                    while (open.size() >= holds && !over) {
                        Rig.sleep(5);
                    }
                    ServerSocket next = new ServerSocket();
                    next.setReuseAddress(true);
                    next.bind(new InetSocketAddress(Rig.loopback(), port), 1);
                    server = next;
                }
            } catch (IOException | InterruptedException e) {
                return;
            }
        }
    }

    private void serve(Connection on) {
        try (Socket socket = on.socket) {
            while (!socket.isClosed()) {
                on.in.mark(1);
                if (on.in.read() < 0) {
                    return;
                }
                on.in.reset();
                double first = rig.ms();
                Rig.Head head = Rig.Head.read(on.in);
                if (head.first().startsWith("GET ")) {
                    report(on);
                    continue;
                }
                byte[] body = on.in.readNBytes(Integer.parseInt(head.field("Content-Length")));
                if (body.length < Integer.parseInt(head.field("Content-Length"))) {
                    return; // its last byte has not come: it never runs
                }
                Run run = new Run(head.field("Req-Id"), this, rig.ms(), first, head.field("Req-Deadline"), on);
                runs.add(run);
                if (loud) rig.note(uid + " connection " + on.number + " runs " + run.id() + ", told " + run.told() + " s");
                inFlight.incrementAndGet();
                try {
                    answers.answer(this, on, run);
                } finally {
                    inFlight.decrementAndGet();
                }
            }
        } catch (IOException | InterruptedException e) {
            // the router has gone
        } finally {
            open.remove(on);
        }
    }

    private void report(Connection on) throws IOException {
        String load = this.load != null ? this.load.get() : "{\"lat_ms\":20,\"rif\":" + inFlight.get() + ",\"q\":0,\"x1\":0}";
        String status = draining ? "503 Service Unavailable" : "200 OK";
        on.out.write(Rig.ascii("HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nContent-Length: " + load.length() + "\r\n\r\n" + load));
    }

    /** The whole answer to a request, by the protocol page. */
    public static byte[] whole(String id, int events) {
        StringBuilder all = new StringBuilder(head());
        for (int i = 0; i < events; i++) {
            all.append(new String(Rig.chunkOf(text(id, i)), StandardCharsets.ISO_8859_1));
        }
        return Rig.ascii(all + end(id, events));
    }

    public static String head() { return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"; }

    public static String text(String id, int i) {
        return "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + id + " " + i + " \"},\"finish_reason\":null}]}\n\n";
    }

    public static String end(String id, int events) {
        String finish = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + id + " end\"},\"finish_reason\":\"stop\"}]}\n\n";
        String usage = "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":64,\"completion_tokens\":" + events
                + ",\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\n";
        return new String(Rig.chunkOf(finish), StandardCharsets.ISO_8859_1) + new String(Rig.chunkOf(usage), StandardCharsets.ISO_8859_1)
                + new String(Rig.chunkOf("data: [DONE]\n\n"), StandardCharsets.ISO_8859_1) + "0\r\n\r\n";
    }

    /** Answers with so many events, so far apart. */
    public void stream(Connection on, String id, int events, long everyMs) throws IOException, InterruptedException {
        on.out.write(Rig.ascii(head() + new String(Rig.chunkOf(text(id, 0)), StandardCharsets.ISO_8859_1)));
        for (int i = 1; i < events; i++) {
            Rig.sleep(everyMs);
            on.out.write(Rig.chunkOf(text(id, i)));
        }
        Rig.sleep(everyMs);
        on.out.write(Rig.ascii(end(id, events)));
    }

    /** The process ends: its connections are reset and new ones refused. */
    public void kill() throws IOException {
        over = true;
        server.close();
        for (Connection on : open) {
            on.reset();
        }
    }

    @Override public void close() throws IOException { kill(); }
}
