package review2;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A second answer comes some milliseconds behind a good one: is it given to the client of the next request? */
public final class LateSecondAnswer {
    private static final int ENGINES = 4;
    private static final int CLIENTS = 4;
    private static final double SPOILT = 0.05;
    private static final long SECONDS = 20;

    private LateSecondAnswer() { }

    public static void main(String[] args) { Rig.play(args, LateSecondAnswer::play); }

    private static void play(Rig rig) throws Exception {
        Discovery discovery = rig.owns(new Discovery(rig));
        AtomicInteger second = new AtomicInteger();
        for (int i = 0; i < ENGINES; i++) {
            Engine engine = rig.owns(new Engine(rig, "s-" + i, i % 2 == 0 ? "thu-duc" : "tan-binh", i));
            engine.answers = (self, on, run) -> {
                self.stream(on, run.id(), 4, 3);
                if (Rig.TROUBLE && ThreadLocalRandom.current().nextDouble() < SPOILT) {
                    Rig.sleep(ThreadLocalRandom.current().nextInt(2, 9));
                    on.out.write(Engine.whole(run.id(), 4));
                    second.incrementAndGet();
                    rig.note(self.uid + " connection " + on.number + " has written a second answer to " + run.id());
                }
            };
            discovery.tell(engine, "ready");
        }
        Settings settings = new Settings();
        Rig.Router router = rig.router("n0", discovery.port());
        router.start(settings.file(router, 0, discovery.port(), discovery.list()));
        Rig.sleep(1_000);
        AtomicInteger served = new AtomicInteger();
        AtomicInteger other = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        long until = System.nanoTime() + SECONDS * 1_000_000_000L;
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Thread thread = new Thread(() -> ask(rig, "c" + number, router.port, until, served, other));
            threads.add(thread);
            thread.start();
        }
        for (Thread thread : threads) {
            thread.join();
        }
        rig.note(served + " served, " + other + " not; " + second + " second answers; " + rig.broken + " clients were given another's answer");
        if (served.get() < 100) {
            throw new IOException("only " + served + " requests were served");
        }
    }

    private static void ask(Rig rig, String name, int port, long until, AtomicInteger served, AtomicInteger other) {
        Pattern content = Pattern.compile("\"content\":\"([0-9a-f]{16}) ");
        try (Client client = new Client(rig, name, port)) {
            while (System.nanoTime() < until) {
                Client.Answer answer = client.ask("chat", Rig.newId(), 4, 400);
                (answer.served() ? served : other).incrementAndGet();
                Matcher made = content.matcher(answer.body());
                while (answer.status() == 200 && made.find()) {
                    if (!made.group(1).equals(answer.id())) {
                        rig.broken(answer.id() + " was given what an engine made for " + made.group(1) + (answer.whole() ? ", to its end" : ""));
                        break;
                    }
                }
            }
        } catch (IOException e) {
            rig.note(name + " ends: " + e);
        }
    }
}
