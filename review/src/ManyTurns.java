import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some clients send requests at once, each within the limit for a body: long conversations of short turns. The usual clients beside
 * them, with short prompts at a low rate, are owed their final answers all the same.
 */
public final class ManyTurns {
    private static final int AT_ONCE = 100;
    private static final int MOST_BODY = 256 * 1024;
    private static final double DEADLINE_S = 4.0;
    /** Up to half a second after its time an answer only earns nothing; and each time limit is 50 ms longer on sockets. */
    private static final double LOST_AFTER_S = DEADLINE_S + 0.5 + 0.05;

    private ManyTurns() { }

    public static void main(String[] args) { Rig.run(args, ManyTurns::holds); }

    private static boolean holds(Rig rig, boolean trouble) throws Exception {
        List<Engine> engines = rig.engines(4);
        Discovery discovery = rig.ends(new Discovery("A", rig.record, 1, engines));
        Rig.Router router = rig.new Router("n0");
        router.configure(Rig.config("n0", router.listen(), discovery.address(), engines, Rig.settings(1)));
        router.start(discovery.address());
        router.awaitReady();
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        Load load = rig.ends(new Load(router.listen(), rig.record, 20, "chat", DEADLINE_S, 7, (id, answer) -> {
            boolean isLost = answer.status() == 0 || answer.status() != 200 && answer.seconds() > LOST_AFTER_S || answer.headSeconds() > LOST_AFTER_S;
            (isLost ? lost : answered).incrementAndGet();
            if (isLost) {
                rig.record.line("BROKEN: %s had no final answer within %.2f s", id, LOST_AFTER_S);
            }
        }));
        Thread.sleep(5_000);
        if (trouble) {
            String turn = "{\"role\":\"user\",\"content\":\"yes\"}";
            String before = "{\"model\":\"chat\",\"stream\":true,\"max_tokens\":16,\"messages\":[";
            String body = before + (turn + ",").repeat((MOST_BODY - 1_000) / (turn.length() + 1)) + turn + "]}";
            rig.record.line("%d clients send a request of %d bytes each at once", AT_ONCE, Http.bytes(body).length);
            for (int i = 0; i < AT_ONCE; i++) {
                Http.daemon(() -> {
                    String id = Client.newId();
                    try (Socket socket = Client.connect(router.listen())) {
                        socket.setSoTimeout(15_500);
                        socket.getOutputStream().write(Http.bytes(Client.request(id, "bulk", 15, body)));
                        InputStream in = socket.getInputStream();
                        rig.record.line("one of those at once got for %s: %s", id, Http.line(in));
                        in.readAllBytes();
                    } catch (IOException e) {
                        rig.record.line("one of those at once got for %s nothing: %s", id, e.getMessage());
                    }
                });
            }
        }
        Thread.sleep(20_000);
        int open = load.end(LOST_AFTER_S + 0.5);
        if (open > 0) {
            rig.record.line("BROKEN: %d requests had no final answer within %.2f s", open, LOST_AFTER_S);
        }
        rig.record.line("%d requests of usual clients answered in time, %d lost, %d never answered; the router's process %s", answered.get(), lost.get(), open,
                router.isAlive() ? "runs" : "has ended");
        return lost.get() + open == 0 && router.isAlive();
    }
}
