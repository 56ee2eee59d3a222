package streamproxy.lab.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

/**
 * Notes how late the lab itself is, so that this is told from a router's lateness: some times a second it sends a request of
 * its own to a replica, on a new connection through the proxies, and measures its way there and back.
 */
final class LabClock implements AutoCloseable {
    /** How the request begins by which a replica knows it. */
    static final String CANARY = "POST /canary ";

    /** A time on the way that was longer than usual. */
    private record Way(long from, long to) {
        long within(long begin, long end) { return Math.max(0, Math.min(to, end) - Math.max(from, begin)); }
    }

    private static final long EVERY_MS = 20;
    private static final long LATE_NS = TimeUnit.MILLISECONDS.toNanos(15);
    private static final int ANSWER_MS = 10_000;
    private static final byte[] REQUEST = (CANARY + "HTTP/1.1\r\nContent-Length: 0\r\n\r\n").getBytes(StandardCharsets.US_ASCII);

    private final Queue<Way> late = new ConcurrentLinkedQueue<>();
    private final InetSocketAddress to;
    private volatile boolean over;

    LabClock(InetSocketAddress to) {
        this.to = to;
        for (int i = 0; i < 2; i++) { // one goes on while another is late
            Thread thread = new Thread(this::run, "lab clock");
            thread.setDaemon(true);
            thread.start();
        }
    }

    private void run() {
        try {
            while (!over) {
                long from = System.nanoTime();
                send();
                long now = System.nanoTime();
                if (now - from > LATE_NS) {
                    late.add(new Way(from, now));
                }
                TimeUnit.MILLISECONDS.sleep(EVERY_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void send() {
        try (Socket socket = new Socket(to.getAddress(), to.getPort())) {
            socket.setSoTimeout(ANSWER_MS);
            socket.getOutputStream().write(REQUEST);
            socket.getInputStream().read();
        } catch (IOException e) {
            // a link was reset: this one says nothing of time
        }
    }

    /** The longest that one of its own requests was on its way between these times. */
    long lateWithin(long from, long to) { return late.stream().mapToLong(way -> way.within(from, to)).max().orElse(0); }

    @Override public void close() { over = true; }
}
