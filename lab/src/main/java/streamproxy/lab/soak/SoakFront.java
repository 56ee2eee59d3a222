package streamproxy.lab.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/**
 * The front that deals new connections to the router: it asks {@code /ready} every 0.1 s, and goes on sending for 0.2 s
 * after the first no, as the operators' front does. Connections that are open it leaves to their clients.
 */
final class SoakFront implements AutoCloseable {
    private static final long ASK_EVERY_MS = 100;
    private static final long SENDS_ON_NS = TimeUnit.MILLISECONDS.toNanos(200);
    private static final int ANSWER_MS = 1_000;
    private static final byte[] READY = "GET /ready HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private final InetSocketAddress router;
    private final Thread asks = new Thread(this::ask, "front");
    private volatile boolean ready;
    private volatile long lastYesAt;
    private volatile boolean over;

    SoakFront(InetSocketAddress router) { this.router = router; }

    void start() {
        asks.setDaemon(true);
        asks.start();
    }

    /** Whether a client may open a connection now. */
    boolean sends() { return ready || lastYesAt != 0 && System.nanoTime() - lastYesAt < SENDS_ON_NS; }

    /** One question of its own; whether the router says yes. */
    static boolean isReady(InetSocketAddress router) { return readiness(router).endsWith(" 200"); }

    /** One question of its own; the beginning of the answer, or what came in its place. */
    static String readiness(InetSocketAddress router) {
        try (Socket socket = new Socket()) {
            socket.connect(router, ANSWER_MS);
            socket.setSoTimeout(ANSWER_MS);
            socket.getOutputStream().write(READY);
            return new String(socket.getInputStream().readNBytes(12), StandardCharsets.US_ASCII);
        } catch (IOException e) {
            return String.valueOf(e.getMessage());
        }
    }

    private void ask() {
        try {
            while (!over) {
                boolean yes = isReady(router);
                ready = yes;
                lastYesAt = yes ? System.nanoTime() : lastYesAt;
                TimeUnit.MILLISECONDS.sleep(ASK_EVERY_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override public void close() {
        over = true;
        asks.interrupt();
    }
}
