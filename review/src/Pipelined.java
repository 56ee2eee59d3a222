import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients send their next request while the answer to the one before is still coming; each request is owed its final answer in time. */
public final class Pipelined {
    private static final int CLIENTS = 10;
    private static final long BEHIND_MS = 50;
    private static final double DEADLINE_S = 4.0;
    /** Up to half a second after its time an answer only earns nothing; and each time limit is 50 ms longer on sockets. */
    private static final double LOST_AFTER_S = DEADLINE_S + 0.5 + 0.05;
    /** Tokens of the second prompt, and of what it shares with others. */
    private static final int PROMPT_TOKENS = 2_600;
    private static final int OPENING_TOKENS = 2_200;

    private Pipelined() { }

    public static void main(String[] args) { Rig.run(args, Pipelined::holds); }

    private static boolean holds(Rig rig, boolean trouble) throws Exception {
        List<Engine> engines = rig.engines(4);
        engines.forEach(engine -> {
            engine.tokens = 22; // a stream of about 2.6 s, an event each 0.12 s
            engine.tokenMs = 120;
        });
        Discovery discovery = rig.ends(new Discovery("A", rig.record, 1, engines));
        Rig.Router router = rig.new Router("n0");
        router.configure(Rig.config("n0", router.listen(), discovery.address(), engines, Rig.settings(1)));
        router.start(discovery.address());
        router.awaitReady();
        Thread.sleep(3_000);
        AtomicInteger lost = new AtomicInteger();
        AtomicInteger inTime = new AtomicInteger();
        AtomicInteger out = new AtomicInteger(CLIENTS);
        for (int i = 0; i < CLIENTS; i++) {
            Http.daemon(() -> {
                try {
                    (askTwice(rig, router.listen(), trouble) ? inTime : lost).incrementAndGet();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                } finally {
                    out.decrementAndGet();
                }
            });
            Thread.sleep(200);
        }
        for (int i = 0; i < 300 && out.get() > 0; i++) {
            Thread.sleep(100);
        }
        rig.record.line("of %d second requests %d had their final answer in time, %d are lost", CLIENTS, inTime.get(), lost.get());
        if (inTime.get() + lost.get() < CLIENTS) {
            throw new Rig.CannotRun("a client did not end");
        }
        return lost.get() == 0;
    }

    /** Whether the second request had its final answer, or the beginning of its stream, in time. */
    private static boolean askTwice(Rig rig, String router, boolean trouble) throws InterruptedException {
        String first = Client.newId();
        String second = Client.newId();
        String request = Client.withOpening(second, "chat", DEADLINE_S, 1, OPENING_TOKENS, PROMPT_TOKENS);
        long sentAt = 0;
        try (Socket socket = Client.connect(router)) {
            socket.setSoTimeout(15_000);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            socket.getOutputStream().write(Http.bytes(Client.request(first, "chat", DEADLINE_S, Client.prompt("parcel " + first))));
            rig.record.line("client sent %s", first);
            if (trouble) {
                Thread.sleep(BEHIND_MS);
                socket.getOutputStream().write(Http.bytes(request));
                sentAt = System.nanoTime();
                rig.record.line("client sent %s behind it, %d bytes", second, request.length());
            }
            rig.record.line("client got for %s: %s", first, answer(in));
            if (!trouble) {
                socket.getOutputStream().write(Http.bytes(request));
                sentAt = System.nanoTime();
                rig.record.line("client sent %s after that, %d bytes", second, request.length());
            }
            Http.Head head = Http.head(in);
            double after = (System.nanoTime() - sentAt) / 1e9;
            boolean inTime = after <= LOST_AFTER_S;
            rig.record.line("client got for %s: %s, %.3f s after its last byte%s", second, head.first(), after, inTime ? "" : ", BROKEN: it is lost");
            return inTime;
        } catch (IOException e) {
            if (sentAt == 0) {
                throw new Rig.CannotRun("the first request was not answered");
            }
            rig.record.line("the connection of %s ends without an answer (%s); the client sends it once more", second, e);
            Client.Answer answer = new Client(router, rig.record).ask(second, "chat", DEADLINE_S, request);
            return answer.status() != 0 && answer.headSeconds() <= LOST_AFTER_S;
        }
    }

    private static String answer(InputStream in) throws IOException {
        Http.Head head = Http.head(in);
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (head.isChunked()) {
            for (byte[] chunk = Http.chunk(in); chunk != null; chunk = Http.chunk(in)) {
                body.writeBytes(chunk);
            }
        } else {
            body.writeBytes(Http.body(head, in));
        }
        return head.first() + (head.closes() ? ", announcing the close" : "") + ", " + body.size() + " bytes";
    }
}
