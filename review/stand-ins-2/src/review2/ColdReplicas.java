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
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** Six in ten engines are replaced within 7 s under load, and clients try again: are the cold ones sent more than they bear? */
public final class ColdReplicas {
    private static final int ENGINES = 10;
    private static final int REPLACED = 6;
    private static final long REPLACED_WITHIN_MS = 7_000;
    /** What a warm engine can do, requests a second. */
    private static final double CAPACITY = 15;
    /** Requests asked for the first time, as a share of what all engines can do once they are warm. */
    private static final double LOAD = 0.9;
    private static final int RETRIES = Integer.getInteger("retries", 3);
    /** The share of the clients that wait as long as Retry-After says. */
    private static final double HONOUR = 0.2;
    private static final double START = 0.36;
    private static final double RAMP_S = 8.9;
    private static final double TIP = 3;
    private static final double FALL_S = 1.5;
    private static final int SECONDS = 30;
    private static final ColdModel.Terms TERMS = new ColdModel.Terms(CAPACITY, START, RAMP_S, TIP, FALL_S);

    private ColdReplicas() { }

    public static void main(String[] args) { Rig.play(args, ColdReplicas::play); }

    private static ColdModel engine(Rig rig, Map<String, ColdModel> models, String uid) throws IOException {
        Engine engine = rig.owns(new Engine(rig, uid, "mobile-room1", 0));
        ColdModel model = new ColdModel(rig, engine, TERMS);
        models.put(uid, model);
        engine.load = model::load;
        engine.answers = (self, on, run) -> {
            model.arrives();
            if (engine.draining || !model.read()) {
                on.out.write(Rig.ascii("HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"));
                return;
            }
            self.stream(on, run.id(), 6, 20);
        };
        return model;
    }

    private static void play(Rig rig) throws Exception {
        Discovery discovery = rig.owns(new Discovery(rig));
        Map<String, ColdModel> models = new ConcurrentHashMap<>();
        List<ColdModel> old = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            ColdModel model = engine(rig, models, "s-" + i);
            old.add(model);
            discovery.tell(model.engine, "ready");
        }
        Settings settings = new Settings();
        settings.classes = List.of(new Settings.RequestClass("shift-agent", 5, 2_500, 12_000, "safe", "all", 5_000),
                new Settings.RequestClass("doc-lookup", 3, 1_500, 6_000, "safe", "all", 5_000));
        settings.attempts = 4;
        settings.weights = "silent";
        settings.areas = "\"mobile-room1\"";
        settings.connectTimeoutMs = 100;
        settings.start = START;
        settings.rampMs = (int) (RAMP_S * 1e3);
        settings.tip = TIP;
        settings.fallMs = (int) (FALL_S * 1e3);
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
        AtomicInteger asked = new AtomicInteger();
        AtomicInteger tries = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        ConcurrentLinkedDeque<Client> idle0 = new ConcurrentLinkedDeque<>();
        ConcurrentLinkedDeque<Client> idle1 = new ConcurrentLinkedDeque<>();
        Random random = new Random(1);
        double rate = LOAD * ENGINES * CAPACITY;
        double zero = rig.ms();
        double next = zero;
        int gone = 0;
        while (rig.ms() < zero + SECONDS * 1e3) {
            double now = rig.ms() - zero;
            if (Rig.TROUBLE && gone < REPLACED && now > 6_000 + gone * (double) REPLACED_WITHIN_MS / REPLACED) {
                ColdModel leaves = old.get(gone);
                leaves.engine.draining = true;
                discovery.tell(leaves.engine, "draining");
                ColdModel comes = engine(rig, models, "t-" + gone);
                comes.engine.bootMs = System.currentTimeMillis();
                discovery.tell(comes.engine, "ready");
                gone++;
            }
            if (rig.ms() >= next) {
                next += -Math.log(1 - random.nextDouble()) * 1e3 / rate;
                int at = random.nextInt(2);
                boolean agent = random.nextBoolean();
                asked.incrementAndGet();
                clients.execute(() -> ask(rig, routers[at].port, at == 0 ? idle0 : idle1, agent, tries, served));
            } else {
                Rig.sleep(1);
            }
            if ((int) (now / 1e3) != (int) ((rig.ms() - zero) / 1e3)) {
                rig.note("asked " + asked + ", tries " + tries + ", served " + served);
            }
        }
        for (ColdModel model : models.values()) {
            rig.note("most: " + String.format(Locale.ROOT, "%.2f ", model.worst()) + model.worstSaid());
        }
        if (served.get() < asked.get() / 4) {
            throw new IOException("too few requests were served");
        }
        System.out.println(String.format(Locale.ROOT, "most, as a share of what is borne: %.2f; asked %d, tries %d, served %d",
                models.values().stream().mapToDouble(m -> m.worst()).max().orElse(0), asked.get(), tries.get(), served.get()));
    }

    private static void ask(Rig rig, int port, ConcurrentLinkedDeque<Client> idle, boolean agent, AtomicInteger tries, AtomicInteger served) {
        Client client = idle.poll();
        if (client == null) {
            client = new Client(rig, "c", port);
        }
        boolean heeds = ThreadLocalRandom.current().nextDouble() < HONOUR;
        double until = rig.ms() + (agent ? 12_000 : 6_000); // the class's deadline, over all tries
        try {
            for (int i = 0; i <= RETRIES && until - rig.ms() > 100; i++) {
                tries.incrementAndGet();
                double waits = Math.min(agent ? 6 : 3, (until - rig.ms()) / 1e3); // half of it for a try
                Client.Answer answer = client.ask(agent ? "shift-agent" : "doc-lookup", Rig.newId(), waits, 1_600);
                if (answer.served()) {
                    served.incrementAndGet();
                    break;
                }
                if (heeds && answer.retryAfter() > 0) {
                    Rig.sleep((long) (answer.retryAfter() * 1e3));
                }
            }
            idle.add(client);
        } catch (IOException | InterruptedException e) {
            client.close();
        }
    }
}
