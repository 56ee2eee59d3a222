import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;

/** Usual clients: requests at random moments, at a steady mean rate, on kept connections, each with an id of its own. */
final class Load implements AutoCloseable {
    private final String router;
    private final Record record;
    private final Deque<Client> idle = new ArrayDeque<>();
    private final AtomicInteger out = new AtomicInteger();
    private volatile boolean over;

    /** Makes a request of an id; the number goes up by one from request to request. */
    interface Makes {
        String request(String id, int number);
    }

    /** The same with short prompts that share no opening. */
    Load(String router, Record record, double perS, String kind, double deadline, long seed, BiConsumer<String, Client.Answer> answered) {
        this(router, record, perS, kind, deadline, seed,
                (id, number) -> Client.request(id, kind, deadline, Client.prompt("Which table holds for parcel " + id + "?")), answered);
    }

    /**
     * @param answered is told each request's id with what its client got
     */
    Load(String router, Record record, double perS, String kind, double deadline, long seed, Makes makes, BiConsumer<String, Client.Answer> answered) {
        this.router = router;
        this.record = record;
        Http.daemon(() -> {
            Random random = new Random(seed);
            long next = System.nanoTime();
            for (int count = 0; !over; count++) {
                int number = count;
                next += (long) (-Math.log(1 - random.nextDouble()) / perS * 1e9);
                pause(next - System.nanoTime());
                if (over) {
                    return;
                }
                out.incrementAndGet();
                Http.daemon(() -> {
                    try {
                        Client client = take();
                        String id = Client.newId();
                        Client.Answer answer = client.ask(id, kind, deadline, makes.request(id, number));
                        synchronized (idle) {
                            idle.push(client);
                        }
                        answered.accept(id, answer);
                    } finally {
                        out.decrementAndGet();
                    }
                });
            }
        });
    }

    private Client take() {
        synchronized (idle) {
            return idle.isEmpty() ? new Client(router, record) : idle.pop();
        }
    }

    private static void pause(long ns) {
        try {
            if (ns > 0) {
                Thread.sleep(ns / 1_000_000, (int) (ns % 1_000_000));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends nothing more, and waits until all that was sent is answered, so long at most; how many are not by then. */
    int end(double seconds) {
        over = true;
        long by = System.nanoTime() + (long) (seconds * 1e9);
        while (out.get() > 0 && System.nanoTime() < by) {
            pause(20_000_000);
        }
        return out.get();
    }

    @Override public void close() { over = true; }
}
