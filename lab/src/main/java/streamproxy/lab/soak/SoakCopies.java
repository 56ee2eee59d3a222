package streamproxy.lab.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/**
 * A client that sends again, on a new connection each time, requests of other clients that a replica has got already: none may
 * be served, whichever process of the router gets it.
 */
final class SoakCopies implements AutoCloseable {
    private static final long EVERY_MS = 40;
    private static final int ANSWER_MS = 1_000;
    private static final String SERVED = "HTTP/1.1 200";

    private final InetSocketAddress router;
    private final Supplier<List<SoakRequest>> sent;
    private final SoakReplicas replicas;
    private final SplittableRandom random;
    private final Queue<String> served = new ConcurrentLinkedQueue<>();
    private final Thread thread = new Thread(null, this::run, "copies", 256 * 1024);
    private volatile int tried;

    /** @param sent the requests that clients of this router have sent so far */
    SoakCopies(long seed, InetSocketAddress router, Supplier<List<SoakRequest>> sent, SoakReplicas replicas) {
        this.router = router;
        this.sent = sent;
        this.replicas = replicas;
        random = new SplittableRandom(seed);
    }

    void start() {
        thread.setDaemon(true);
        thread.start();
    }

    /** The ids of copies that were served. */
    Queue<String> served() { return served; }

    /** How many copies have had an answer. */
    int tried() { return tried; }

    private void run() {
        try {
            while (true) {
                TimeUnit.MILLISECONDS.sleep(EVERY_MS);
                Set<String> begun = replicas.attempts().stream().map(attempt -> SoakReplicas.field(attempt.message().head(), "Req-Id")).collect(Collectors.toSet());
                List<SoakRequest> known = sent.get().stream().filter(request -> begun.contains(request.id)).toList();
                if (!known.isEmpty()) {
                    sendAgain(known.get(random.nextInt(known.size())));
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void sendAgain(SoakRequest request) {
        try (Socket socket = new Socket()) {
            socket.connect(router, ANSWER_MS);
            socket.setSoTimeout(ANSWER_MS);
            socket.getOutputStream().write(request.bytes());
            String status = new String(socket.getInputStream().readNBytes(SERVED.length()), StandardCharsets.US_ASCII);
            tried += status.isEmpty() ? 0 : 1;
            if (status.equals(SERVED)) {
                served.add(request.id);
            }
        } catch (IOException e) {
            // closed, or no answer: it was not served
        }
    }

    @Override public void close() { thread.interrupt(); }
}
