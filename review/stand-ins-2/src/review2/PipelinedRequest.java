package review2;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A client sends its next request while the first one's stream is under way: has it its final answer in time? */
public final class PipelinedRequest {
    private static final int CLIENTS = 10;
    private static final double DEADLINE_S = 4;
    /** Up to so long after its time an answer only earns nothing; each limit is 50 ms longer. */
    private static final double LATE_MS = 550;
    private static final int PROMPT_CHARS = 10_800; // 2,700 tokens

    private PipelinedRequest() { }

    public static void main(String[] args) { Rig.play(args, PipelinedRequest::play); }

    private static void play(Rig rig) throws Exception {
        Discovery discovery = rig.owns(new Discovery(rig));
        for (int i = 0; i < 4; i++) {
            Engine engine = rig.owns(new Engine(rig, "s-" + i, i % 2 == 0 ? "thu-duc" : "tan-binh", i));
            engine.answers = (self, on, run) -> self.stream(on, run.id(), 22, 120); // 2.6 s, the first event at once
            discovery.tell(engine, "ready");
        }
        Settings settings = new Settings();
        Rig.Router router = rig.router("n0", discovery.port());
        router.start(settings.file(router, 0, discovery.port(), discovery.list()));
        Rig.sleep(3_000);
        AtomicInteger served = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            String name = "c" + i;
            Thread client = new Thread(() -> ask(rig, name, router.port, served));
            threads.add(client);
            client.start();
            Rig.sleep(200);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        rig.note(served + " of " + 2 * CLIENTS + " requests were served");
        if (served.get() < CLIENTS) {
            throw new IOException("the first requests were not served");
        }
    }

    private static void ask(Rig rig, String name, int port, AtomicInteger served) {
        String one = Rig.newId();
        String two = Rig.newId();
        try (Client client = new Client(rig, name, port)) {
            client.open();
            double sentOne = rig.ms();
            client.socket.getOutputStream().write(Client.request(one, "chat", Rig.newId(), DEADLINE_S, 400));
            rig.note(name + " sends " + one);
            double sentTwo = 0;
            if (Rig.TROUBLE) {
                Rig.sleep(50);
                client.socket.getOutputStream().write(Client.request(two, "chat", Rig.newId(), DEADLINE_S, PROMPT_CHARS));
                sentTwo = rig.ms();
                rig.note(name + " sends " + two + " behind it");
            }
            served.addAndGet(client.answer(one, sentOne, DEADLINE_S).served() ? 1 : 0);
            Client.Answer answer;
            if (Rig.TROUBLE && !client.socket.isClosed()) {
                answer = client.answer(two, sentTwo, DEADLINE_S);
            } else { // once more on a new connection, where the close crossed it; with no trouble behind the first one's end
                answer = client.ask(two, "chat", Rig.newId(), DEADLINE_S, PROMPT_CHARS);
                sentTwo = answer.sentMs();
            }
            served.addAndGet(answer.served() ? 1 : 0);
            if (answer.status() != 200 && answer.endMs() - sentTwo > DEADLINE_S * 1e3 + LATE_MS) {
                rig.broken(two + " had its final answer, " + (answer.status() == 0 ? "none" : answer.status() + " " + answer.body()) + ", "
                        + Math.round(answer.endMs() - sentTwo) + " ms after its last byte; its client waits for " + Math.round(DEADLINE_S * 1e3) + " ms");
            }
        } catch (IOException | InterruptedException e) {
            rig.note(name + " ends: " + e);
        }
    }
}
