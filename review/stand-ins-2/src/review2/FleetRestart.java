package review2;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Three members of a fleet are told to end, one after another, and are killed when the pages allow it. */
public final class FleetRestart {
    private static final int CLIENTS = 6; // of each router
    private static final long APART_MS = 500;
    private static final long KILLED_AFTER_MS = 3_700;
    private static final long EXCUSED_MS = 700;

    private FleetRestart() { }

    public static void main(String[] args) { Rig.play(args, FleetRestart::play); }

    private static void play(Rig rig) throws Exception {
        Discovery discovery = rig.owns(new Discovery(rig));
        for (int i = 0; i < 6; i++) {
            Engine engine = rig.owns(new Engine(rig, "s-" + i, i % 2 == 0 ? "thu-duc" : "tan-binh", i));
            engine.loud = false;
            engine.answers = (self, on, run) -> self.stream(on, run.id(), 20, 100); // 2 s
            discovery.tell(engine, "ready");
        }
        Rig.Router[] routers = new Rig.Router[3];
        List<String> members = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            members.add("r" + i + " 127.0.0.1:" + Rig.freePort());
        }
        Settings settings = new Settings();
        settings.routers = 3;
        List<Thread> starts = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            Path operator = rig.temporary().resolve("r" + i + ".ini");
            Files.writeString(operator, "[fleet]\nid = saigon\nmembers = " + String.join(", ", members) + "\nfolder = "
                    + rig.temporary().resolve("folder" + i) + "\n");
            routers[i] = rig.daemon("r" + i, discovery.port(), operator);
            Rig.Router router = routers[i];
            int me = i;
            Thread start = new Thread(() -> {
                try {
                    router.start(settings.file(router, me, discovery.port(), discovery.list()));
                } catch (IOException | InterruptedException e) {
                    rig.note(router.name + ": " + e);
                }
            });
            starts.add(start);
            start.start();
        }
        for (Thread start : starts) {
            start.join();
        }
        for (int i = 0; !routers[0].text("GET", "/admin/fleet").contains("\"live\":[\"r0\",\"r1\",\"r2\"]"); i++) {
            if (i == 200) {
                throw new IOException("the fleet has not come together");
            }
            Rig.sleep(100);
        }
        rig.note("the fleet is together");
        AtomicInteger served = new AtomicInteger();
        Map<String, Double> toldMs = new ConcurrentHashMap<>();
        Map<String, Double> killedMs = new ConcurrentHashMap<>();
        double until = rig.ms() + 12_000;
        List<Thread> threads = new ArrayList<>();
        for (Rig.Router router : routers) {
            for (int i = 0; i < CLIENTS; i++) {
                String name = router.name + " client " + i;
                Thread client = new Thread(() -> ask(rig, router, name, until, served, toldMs, killedMs));
                threads.add(client);
                client.start();
            }
        }
        Rig.sleep(4_000);
        int told = Rig.TROUBLE ? 3 : 1; // one by itself has its turn at once
        for (int i = 0; i < told; i++) {
            toldMs.put(routers[i].name, rig.ms());
            routers[i].signal("TERM");
            int which = i;
            Thread kill = new Thread(() -> kill(rig, routers[which], killedMs));
            threads.add(kill);
            kill.start();
            Rig.sleep(APART_MS);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        rig.note(served + " served whole; " + rig.broken + " lost");
    }

    private static void kill(Rig rig, Rig.Router router, Map<String, Double> killedMs) {
        try {
            if (router.process().waitFor(KILLED_AFTER_MS, TimeUnit.MILLISECONDS)) {
                rig.note(router.name + " has ended by itself with " + router.process().exitValue());
                return;
            }
            killedMs.put(router.name, rig.ms());
            router.signal("KILL");
        } catch (IOException | InterruptedException e) {
            rig.note(router.name + ": " + e);
        }
    }

    /** Uses its connection for as long as it stays open; a connection that ends behind an answer ends the client's use of the router. */
    private static void ask(Rig rig, Rig.Router router, String name, double until, AtomicInteger served, Map<String, Double> toldMs,
            Map<String, Double> killedMs) {
        try (Client client = new Client(rig, name, router.port)) {
            client.open();
            Rig.sleep(ThreadLocalRandom.current().nextInt(2_000));
            while (rig.ms() < until && !client.socket.isClosed()) {
                Client.Answer answer = client.ask("chat", Rig.newId(), 4, 400);
                served.addAndGet(answer.served() ? 1 : 0);
                Double told = toldMs.get(router.name);
                Double killed = killedMs.get(router.name);
                if (!answer.whole() && told != null && killed != null && answer.endMs() >= killed && answer.sentMs() > told + EXCUSED_MS) {
                    rig.broken(answer.id() + " came " + Math.round(answer.sentMs() - told) + " ms after SIGTERM to " + router.name
                            + ", which had begun to answer with " + answer.status() + ", and was not whole at SIGKILL after "
                            + Math.round(killed - told) + " ms");
                }
            }
        } catch (IOException | InterruptedException e) {
            rig.note(name + " ends: " + e.getMessage());
        }
    }
}
