package review2;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A new configuration changes a class's effect while requests of it are open: are they repeated within their old window only? */
public final class RepeatWindow {
    /** The connections that an engine accepts, and those of them that other routers have. */
    private static final int HOLDS = 1_200;
    private static final int OTHERS = 1_184;
    private static final int ROUTERS = 4;
    private static final int LEDGERS = 12;
    private static final int WINDOW_MS = 1_000;
    private static final int SLACK_MS = 50;

    private RepeatWindow() { }

    public static void main(String[] args) { Rig.play(args, RepeatWindow::play); }

    private static Settings settings(String effect) {
        Settings settings = new Settings();
        settings.classes = List.of(new Settings.RequestClass("bulk", 1, 6_000, 15_000, "safe", "all", 5_000),
                new Settings.RequestClass("ledger", 5, 6_000, 8_000, effect, "zone", WINDOW_MS));
        return settings;
    }

    private static void play(Rig rig) throws Exception {
        Discovery discovery = rig.owns(new Discovery(rig));
        Engine breaks = rig.owns(new Engine(rig, "s-breaks", "thu-duc", 0));
        Engine full = rig.owns(new Engine(rig, "s-full", "thu-duc", 1));
        full.holds(HOLDS);
        full.loud = false;
        others(rig, full);
        full.loud = true;
        AtomicInteger streams = new AtomicInteger();
        Map<String, String> kinds = new ConcurrentHashMap<>();
        breaks.answers = (self, on, run) -> {
            if (kinds.get(run.id()).equals("ledger")) {
                Rig.sleep(300);
                rig.note(self.uid + " has run " + run.id() + ", and its connection is reset");
                on.reset();
                return;
            }
            self.stream(on, run.id(), 3, 20);
        };
        full.answers = (self, on, run) -> {
            if (kinds.get(run.id()).equals("bulk")) {
                streams.incrementAndGet();
                self.stream(on, run.id(), 40, 100); // 4 s
                return;
            }
            self.stream(on, run.id(), 3, 20);
        };
        discovery.tell(breaks, "ready");
        discovery.tell(full, "ready");
        Rig.Router router = rig.router("n0", discovery.port());
        Settings before = settings("keyed");
        before.routers = ROUTERS;
        router.start(before.file(router, 0, discovery.port(), discovery.list()));
        Rig.sleep(3_000);
        List<Thread> threads = new ArrayList<>();
        double fillUntil = rig.ms() + 3_000;
        while (rig.ms() < fillUntil && !full.hasRefused()) {
            ask(rig, router.port, "bulk", kinds, threads);
            Rig.sleep(15);
        }
        if (!full.hasRefused()) {
            throw new IOException("the engine never held all it can");
        }
        for (int i = 0; i < 10; i++) { // its limit is known now
            ask(rig, router.port, "bulk", kinds, threads);
            Rig.sleep(15);
        }
        rig.note(streams + " streams are under way at " + full.uid);
        for (int i = 0; i < LEDGERS; i++) {
            ask(rig, router.port, "ledger", kinds, threads);
        }
        Rig.sleep(100);
        if (Rig.TROUBLE) {
            Settings after = settings("safe");
            after.routers = ROUTERS;
            Files.writeString(router.config, after.file(router, 0, discovery.port(), discovery.list()));
            router.signal("HUP");
        }
        for (Thread thread : threads) {
            thread.join();
        }
        Map<String, Engine.Run> first = new HashMap<>();
        List<Engine.Run> runs = new ArrayList<>(breaks.runs);
        runs.addAll(full.runs);
        runs.sort((a, b) -> Double.compare(a.beganMs(), b.beganMs()));
        int repeated = 0;
        for (Engine.Run run : runs) {
            if (!kinds.get(run.id()).equals("ledger")) {
                continue;
            }
            Engine.Run earlier = first.putIfAbsent(run.id(), run);
            if (earlier != null) {
                repeated++;
                double after = run.beganMs() - earlier.beganMs();
                if (after > WINDOW_MS + SLACK_MS) {
                    rig.broken(run.id() + " ran at " + earlier.engine().uid + ", and again at " + run.engine().uid + " " + Math.round(after)
                            + " ms later; its window is " + WINDOW_MS + " ms");
                }
            }
        }
        rig.note(first.size() + " requests of the class ran, " + repeated + " of them twice");
    }

    /** The connections of the routers that are not played: each is asked for a report now and then, so that it stays. */
    private static void others(Rig rig, Engine engine) throws IOException {
        List<Socket> held = new ArrayList<>();
        for (int i = 0; i < OTHERS; i++) {
            held.add(Rig.connect(engine.port()));
        }
        rig.note("other routers have " + held.size() + " of the " + HOLDS + " connections that " + engine.uid + " accepts");
        Discovery.start("other routers", () -> {
            try {
                while (true) {
                    for (Socket socket : held) {
                        socket.getOutputStream().write(Rig.ascii("GET /status/load HTTP/1.1\r\nHost: s\r\n\r\n"));
                        Rig.Head head = Rig.Head.read(socket.getInputStream());
                        socket.getInputStream().readNBytes(Integer.parseInt(head.field("Content-Length")));
                    }
                    Rig.sleep(2_000);
                }
            } catch (IOException | InterruptedException e) {
                rig.note("the other routers' connections end: " + e.getMessage());
            }
        });
    }

    private static void ask(Rig rig, int port, String kind, Map<String, String> kinds, List<Thread> threads) {
        String id = Rig.newId();
        kinds.put(id, kind);
        Thread client = new Thread(() -> {
            try (Client one = new Client(rig, kind, port)) {
                one.ask(id, kind, Rig.newId(), kind.equals("ledger") ? 8 : 15, 400);
            } catch (IOException e) {
                rig.note(id + ": " + e);
            }
        });
        threads.add(client);
        client.start();
    }
}
