package review2;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The machine of the syslog collector vanishes for 8 s and is back: has it a record of every request in the end? */
public final class CollectorAway {
    private static final long AWAY_MS = 8_000;
    private static final int CLIENTS = 4;

    /** A collector on TCP with octet counting (RFC 6587), which keeps what it has read. */
    private static final class Collector implements AutoCloseable {
        private static final Pattern RECORD = Pattern.compile("<\\d{1,3}>1 \\S+ \\S+ \\S+ \\S+ (answer|refusal|failure) .*?\\[request@\\d+ (?:[^\\]]*? )?id=\"([0-9a-f]{16})\".*", Pattern.DOTALL);
        private final Rig rig;
        private final ServerSocket server;
        private final Set<String> ids = ConcurrentHashMap.newKeySet();
        private final List<Socket> open = new ArrayList<>();
        private volatile boolean away;

        Collector(Rig rig) throws IOException {
            this.rig = rig;
            server = new ServerSocket(Rig.freePort(), 16, Rig.loopback());
            Discovery.start("collector", this::accept);
        }

        private void accept() {
            while (!server.isClosed()) {
                try {
                    Socket socket = server.accept();
                    synchronized (open) {
                        open.add(socket);
                    }
                    rig.note("the collector has a new connection");
                    Discovery.start("collector connection", () -> read(socket));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void read(Socket socket) {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream(), 256);
                while (true) {
                    while (away) {
                        Rig.sleep(10);
                    }
                    int length = 0;
                    for (int c = in.read(); c != ' '; c = in.read()) {
                        if (c < '0' || c > '9') {
                            throw new EOFException(c < 0 ? "ended" : "no length");
                        }
                        length = 10 * length + c - '0';
                    }
                    byte[] message = in.readNBytes(length);
                    if (message.length < length) {
                        throw new EOFException("ended within a record");
                    }
                    Matcher record = RECORD.matcher(new String(message, StandardCharsets.UTF_8));
                    if (record.matches()) {
                        ids.add(record.group(2));
                        rig.note("the collector has read a record of " + record.group(2));
                    }
                }
            } catch (IOException | InterruptedException e) {
                rig.note("a connection of the collector ends: " + e.getMessage());
            }
        }

        /** From now on nothing is read and nobody is answered. */
        void vanishes() {
            away = true;
            rig.note("the collector's machine vanishes");
        }

        /** It is back, knows nothing of its connections, and resets them. */
        void returns() throws IOException {
            synchronized (open) {
                for (Socket socket : open) {
                    socket.setSoLinger(true, 0);
                    socket.close();
                }
                open.clear();
            }
            away = false;
            rig.note("the collector's machine is back; its connections are reset");
        }

        @Override public void close() throws IOException { server.close(); }
    }

    private CollectorAway() { }

    public static void main(String[] args) { Rig.play(args, CollectorAway::play); }

    private static void play(Rig rig) throws Exception {
        Discovery discovery = rig.owns(new Discovery(rig));
        for (int i = 0; i < 4; i++) {
            Engine engine = rig.owns(new Engine(rig, "s-" + i, i % 2 == 0 ? "thu-duc" : "tan-binh", i));
            discovery.tell(engine, "ready");
        }
        Collector collector = rig.owns(new Collector(rig));
        Path operator = rig.temporary().resolve("operator.ini");
        Files.writeString(operator, "[syslog]\nspool = " + rig.temporary().resolve("spool") + "\nspool_mb = 64\nreport_s = 2\n[syslog collector main]\naddress = 127.0.0.1:"
                + collector.server.getLocalPort() + "\ntransport = tcp\n");
        Settings settings = new Settings();
        Rig.Router router = rig.router("n0", discovery.port(), " --operator " + operator);
        router.start(settings.file(router, 0, discovery.port(), discovery.list()));
        Rig.sleep(1_000);
        Map<String, Double> answered = new ConcurrentHashMap<>();
        double until = rig.ms() + 3_000 + AWAY_MS + 4_000;
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            String name = "c" + i;
            Thread client = new Thread(() -> ask(rig, name, router.port, until, answered));
            threads.add(client);
            client.start();
        }
        Rig.sleep(3_000);
        if (Rig.TROUBLE) {
            collector.vanishes();
            Rig.sleep(AWAY_MS);
            collector.returns();
        }
        for (Thread thread : threads) {
            thread.join();
        }
        Rig.sleep(20_000); // more than it may take to connect again and to send what waits
        int missing = 0;
        double first = Double.MAX_VALUE;
        double last = 0;
        for (Map.Entry<String, Double> request : answered.entrySet()) {
            if (!collector.ids.contains(request.getKey())) {
                missing++;
                first = Math.min(first, request.getValue());
                last = Math.max(last, request.getValue());
                rig.note("no record of " + request.getKey() + ", answered at " + Math.round(request.getValue()));
            }
        }
        rig.note(answered.size() + " requests were answered, " + collector.ids.size() + " have a record at the collector");
        if (answered.size() < 100) {
            throw new IOException("only " + answered.size() + " requests");
        }
        if (missing > 0) {
            rig.broken(missing + " of " + answered.size() + " final answers, given from " + Math.round(first) + " to " + Math.round(last)
                    + " ms, have no record at the collector 20 s after the last");
        }
    }

    private static void ask(Rig rig, String name, int port, double until, Map<String, Double> answered) {
        try (Client client = new Client(rig, name, port)) {
            while (rig.ms() < until) {
                Client.Answer answer = client.ask("chat", Rig.newId(), 4, 400);
                if (answer.whole()) {
                    answered.put(answer.id(), answer.endMs());
                }
                Rig.sleep(100);
            }
        } catch (IOException | InterruptedException e) {
            rig.note(name + " ends: " + e);
        }
    }
}
