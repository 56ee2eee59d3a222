package review2;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/** The list's weights are live ones, and one engine comes back cold: is it sent more than it bears? */
public final class LiveWeights {
    private static final int ENGINES = 10;
    /** Of each engine; the weight is its size divided by 1 + the requests that it holds for each. */
    private static final double CORES = 1;
    /** How often the list's weights are told, and how old they are then. */
    private static final long LISTED_EVERY_MS = 2_000;
    private static final long LISTED_LATE_MS = 3_000;
    /** Requests, as a share of what all engines can do once they are warm. */
    private static final double LOAD = 0.6;
    private static final ColdModel.Terms TERMS = new ColdModel.Terms(20, 0.36, 8.9, 3, 1.5);
    private static final int SECONDS = 30;
    private static final int RETURNS_AT_MS = 14_000;

    private LiveWeights() { }

    public static void main(String[] args) { Rig.play(args, LiveWeights::play); }

    private static void play(Rig rig) throws Exception {
        Discovery discovery = rig.owns(new Discovery(rig));
        Map<Engine, ColdModel> models = new ConcurrentHashMap<>();
        List<Engine> engines = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            Engine engine = engine(rig, models, "s-" + i);
            engines.add(engine);
            discovery.tell(engine, "ready");
        }
        Settings settings = new Settings();
        settings.classes = List.of(new Settings.RequestClass("shift-agent", 5, 2_500, 12_000, "safe", "all", 5_000),
                new Settings.RequestClass("doc-lookup", 3, 1_500, 6_000, "safe", "all", 5_000));
        settings.attempts = 4;
        settings.weights = "live";
        settings.areas = "\"mobile-room1\"";
        settings.connectTimeoutMs = 100;
        settings.start = TERMS.start();
        settings.rampMs = (int) (TERMS.rampS() * 1e3);
        settings.tip = TERMS.tip();
        settings.fallMs = (int) (TERMS.fallS() * 1e3);
        Rig.Router[] routers = new Rig.Router[2];
        for (int i = 0; i < 2; i++) {
            routers[i] = rig.router("n" + i, discovery.port());
            routers[i].start(settings.file(routers[i], i, discovery.port(), discovery.list()));
        }
        Rig.sleep(1_000);
        ExecutorService clients = Executors.newCachedThreadPool(run -> {
            Thread thread = new Thread(null, run, "client", 256 * 1024);
            thread.setDaemon(true);
            return thread;
        });
        Thread weighing = new Thread(() -> weigh(rig, discovery, engines));
        weighing.setDaemon(true);
        weighing.start();
        AtomicInteger asked = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        List<ConcurrentLinkedDeque<Client>> idle = List.of(new ConcurrentLinkedDeque<>(), new ConcurrentLinkedDeque<>());
        Random random = new Random(1);
        double zero = rig.ms();
        double next = zero;
        boolean cold = false;
        while (rig.ms() < zero + SECONDS * 1e3) {
            if (Rig.TROUBLE && !cold && rig.ms() > zero + RETURNS_AT_MS) {
                cold = true;
                Engine comes = engine(rig, models, "t-0");
                comes.bootMs = System.currentTimeMillis();
                synchronized (engines) {
                    engines.get(0).draining = true;
                    discovery.tell(engines.get(0), "draining");
                    engines.set(0, comes);
                }
                discovery.tell(comes, "ready");
            }
            if (rig.ms() >= next) {
                next += -Math.log(1 - random.nextDouble()) * 1e3 / (LOAD * ENGINES * TERMS.capacity());
                int at = random.nextInt(2);
                asked.incrementAndGet();
                clients.execute(() -> ask(rig, routers[at].port, idle.get(at), served));
            } else {
                Rig.sleep(1);
            }
        }
        models.forEach((engine, model) -> {
            if (engine.bootMs > 0) {
                String most = String.format(Locale.ROOT, "most, as a share of what is borne: %.2f; ", model.worst()) + model.worstSaid();
                rig.note(most);
                System.out.println(most);
            }
        });
        rig.note("asked " + asked + ", served " + served);
        if (served.get() < asked.get() / 2) {
            throw new IOException("too few requests were served");
        }
    }

    /** Tells the weights as they were a while ago: the size divided by 1 + the requests held for each core. */
    private static void weigh(Rig rig, Discovery discovery, List<Engine> engines) {
        Map<Engine, List<double[]>> held = new ConcurrentHashMap<>();
        try {
            for (int i = 1;; i++) {
                Rig.sleep(100);
                List<Engine> now;
                synchronized (engines) {
                    now = List.copyOf(engines);
                }
                for (Engine engine : now) {
                    held.computeIfAbsent(engine, e -> new ArrayList<>()).add(new double[] {rig.ms(), engine.inFlight()});
                }
                if (i % (LISTED_EVERY_MS / 100) == 0) {
                    for (Engine engine : now) {
                        double then = 0; // before it was seen it held nothing
                        for (double[] seen : held.get(engine)) {
                            then = seen[0] <= rig.ms() - LISTED_LATE_MS ? seen[1] : then;
                        }
                        engine.hint = 1 / (1 + then / CORES);
                        discovery.tell(engine, "ready");
                    }
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static Engine engine(Rig rig, Map<Engine, ColdModel> models, String uid) throws IOException {
        Engine engine = rig.owns(new Engine(rig, uid, "mobile-room1", 0));
        ColdModel model = new ColdModel(rig, engine, TERMS);
        models.put(engine, model);
        engine.load = model::load;
        engine.answers = (self, on, run) -> {
            model.arrives();
            if (engine.draining || !model.read()) {
                on.out.write(Rig.ascii("HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"));
                return;
            }
            self.stream(on, run.id(), 20, 50); // 1 s
        };
        return engine;
    }

    private static void ask(Rig rig, int port, ConcurrentLinkedDeque<Client> idle, AtomicInteger served) {
        Client client = idle.poll();
        if (client == null) {
            client = new Client(rig, "c", port);
        }
        try {
            served.addAndGet(client.ask("shift-agent", Rig.newId(), 6, 1_600).served() ? 1 : 0);
            idle.add(client);
        } catch (IOException e) {
            client.close();
        }
    }
}
