import java.io.IOException;
import java.io.OutputStream;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Some engines' answers are followed by a second one some milliseconds late; each client must get its own answer. */
public final class SecondAnswer {
    private static final long LATE_MS = 5;
    private static final int ONE_IN = 10;

    private SecondAnswer() { }

    public static void main(String[] args) { Rig.run(args, SecondAnswer::holds); }

    private static boolean holds(Rig rig, boolean trouble) throws Exception {
        AtomicInteger answers = new AtomicInteger();
        List<Engine> engines = new java.util.ArrayList<>();
        for (int i = 0; i < 3; i++) {
            engines.add(rig.ends(new Engine("s-" + i, rig.record) {
                @Override void answer(String id, OutputStream out) throws IOException, InterruptedException {
                    super.answer(id, out);
                    if (trouble && answers.incrementAndGet() % ONE_IN == 0) {
                        Http.daemon(() -> {
                            try {
                                Thread.sleep(LATE_MS);
                                out.write(Http.bytes(STREAM_HEAD + Http.asChunk(text(id, true)) + ending()));
                                record.line("engine %s has answered %s a second time, %d ms late", uid, id, LATE_MS);
                            } catch (IOException | InterruptedException e) {
                                record.line("engine %s could not answer %s a second time: its connection is closed", uid, id);
                            }
                        });
                    }
                }
            }));
        }
        Discovery discovery = rig.ends(new Discovery("A", rig.record, 1, engines));
        Rig.Router router = rig.new Router("n0");
        router.configure(Rig.config("n0", router.listen(), discovery.address(), engines, Rig.settings(1)));
        router.start(discovery.address());
        router.awaitReady();
        AtomicInteger served = new AtomicInteger();
        AtomicInteger foreign = new AtomicInteger();
        Load load = rig.ends(new Load(router.listen(), rig.record, 70, "chat", 4.0, 7, (id, answer) -> {
            served.addAndGet(answer.isServed() ? 1 : 0);
            if (answer.contents().stream().anyMatch(text -> !text.equals(id))) {
                foreign.incrementAndGet();
                rig.record.line("BROKEN: the client of %s got %s", id, answer.contents());
            }
        }));
        for (int i = 0; i < 800 && foreign.get() == 0; i++) { // 80 s, or until the rule is broken
            Thread.sleep(100);
        }
        load.end(6);
        rig.record.line("%d requests served, %d of them with another request's answer", served.get(), foreign.get());
        if (foreign.get() == 0 && served.get() < 2_000) {
            throw new Rig.CannotRun("too little was served");
        }
        return foreign.get() == 0;
    }
}
