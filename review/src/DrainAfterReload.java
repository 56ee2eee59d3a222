import java.util.List;
import java.util.stream.Stream;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A new configuration moves discovery; the new one is crowded: each call waits there for 2 s and ends in 503. An engine that
 * begins to drain meanwhile counts as told 4 s after SIGHUP.
 */
public final class DrainAfterReload {
    private static final double TOLD_AFTER_S = 4.0;
    /** StopSendingWithin, and what every time limit is longer by on sockets. */
    private static final double STOP_WITHIN_S = 0.5 + 0.05;
    private static final long OLD_CLOSES_MS = 1_500;
    private static final long CROWDED_MS = 2_000;
    private static final int DRAIN = 3;
    private static final int OPENINGS = 24;

    private DrainAfterReload() { }

    /** Notes the first bytes of prompts that come after the time at which none may. */
    private static final class Watched extends Engine {
        private final AtomicInteger late = new AtomicInteger();
        private volatile long noneFrom = Long.MAX_VALUE;

        Watched(String uid, Record record) throws java.io.IOException { super(uid, record); }

        @Override void prompt(Http.Head head, byte[] body, long firstByteAt, java.io.OutputStream out) throws java.io.IOException, InterruptedException {
            if (noneFrom != Long.MAX_VALUE && firstByteAt - noneFrom > 0) {
                late.incrementAndGet();
                record.line("BROKEN: %s begins at draining engine %s %.4f s after none may", head.get("req-id"), uid, (firstByteAt - noneFrom) / 1e9);
            }
            super.prompt(head, body, firstByteAt, out);
        }
    }

    public static void main(String[] args) { Rig.run(args, DrainAfterReload::holds); }

    private static boolean holds(Rig rig, boolean trouble) throws Exception {
        Watched[] watched = new Watched[8];
        for (int i = 0; i < watched.length; i++) {
            watched[i] = rig.ends(new Watched("s-" + i, rig.record));
        }
        List<Engine> engines = List.of(watched);
        Discovery old = rig.ends(new Discovery("A", rig.record, 1, engines));
        Discovery next = rig.ends(new Discovery("B", rig.record, 101, engines));
        next.busyMs = trouble ? CROWDED_MS : 0;
        Rig.Router router = rig.new Router("n0");
        router.configure(Rig.config("n0", router.listen(), old.address(), engines, Rig.settings(1)));
        router.start(old.address());
        router.awaitReady();
        AtomicInteger served = new AtomicInteger();
        Load load = rig.ends(new Load(router.listen(), rig.record, 70, "chat", 4.0, 7,
                (id, number) -> Client.withOpening(id, "chat", 4.0, number % OPENINGS, 1_500, 1_800), (id, answer) -> served.addAndGet(answer.isServed() ? 1 : 0)));
        Thread.sleep(5_000);
        long before = old.emptyLineAt;
        while (old.emptyLineAt == before) { // right behind a line of the watch
            Thread.sleep(1);
        }
        Thread.sleep(100);
        router.configure(Rig.config("n0", router.listen(), next.address(), engines, Rig.settings(1)));
        long hangUpAt = System.nanoTime();
        router.signal("HUP");
        old.server.refuse();
        Thread.sleep(OLD_CLOSES_MS);
        rig.record.line("discovery A closes its connections");
        old.server.endAll();
        Thread.sleep(100);
        if (next.asked() == 0) {
            throw new Rig.CannotRun("the router did not read its new configuration");
        }
        long toldAt = hangUpAt + (long) (TOLD_AFTER_S * 1e9);
        long noneFrom = toldAt + (long) (STOP_WITHIN_S * 1e9);
        for (int i = 0; i < DRAIN; i++) {
            watched[i].noneFrom = noneFrom;
            next.change(i, "draining");
            watched[i].draining = true;
        }
        rig.record.line("these count as told at %.4f, and nothing may begin there from %.4f on", rig.record.seconds(toldAt), rig.record.seconds(noneFrom));
        Thread.sleep(8_000 - (System.nanoTime() - hangUpAt) / 1_000_000);
        next.busyMs = 0;
        Thread.sleep(2_000);
        load.end(6);
        int late = Stream.of(watched).mapToInt(engine -> engine.late.get()).sum();
        rig.record.line("%d requests served, %d begun too late at draining engines", served.get(), late);
        if (served.get() < 200) {
            throw new Rig.CannotRun("too little was served");
        }
        return late == 0;
    }
}
