package streamproxy.lab;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Clients that ask again and again at a steady pace, each on one connection. A time counts from when the request was to
 * be sent, not from when it was, so that a router that stops is not spared by those that wait for it.
 */
final class BusyClients implements AutoCloseable {
    private static final String BODY = "{\"model\":\"chat\",\"stream\":true,\"max_tokens\":20,\"messages\":[]}";
    private static final long LONGEST_US = 60_000_000;

    private final InetSocketAddress router;
    private final int count;
    private final double perS;
    private final AtomicLong ids = new AtomicLong(System.nanoTime());
    private final Histogram times = new ConcurrentHistogram(LONGEST_US, 3);
    private final AtomicLong served = new AtomicLong();
    private final AtomicLong refused = new AtomicLong();
    private final AtomicLong lost = new AtomicLong();
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean over;

    /** So many clients, together asking {@code perS} times a second. */
    BusyClients(InetSocketAddress router, int count, double perS) {
        this.router = router;
        this.count = count;
        this.perS = perS;
    }

    void start() {
        for (int i = 0; i < count; i++) {
            int number = i;
            Thread thread = new Thread(null, () -> ask(number), "busy client " + i, 128 * 1024);
            thread.setDaemon(true);
            thread.start();
            threads.add(thread);
        }
    }

    private void ask(int number) {
        long gap = (long) (1e9 * count / perS);
        long at = System.nanoTime() + gap * number / count;
        while (!over) {
            try (Socket socket = new Socket(router.getAddress(), router.getPort())) {
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(10_000);
                InputStream in = socket.getInputStream();
                boolean goesOn = true;
                while (!over && goesOn) {
                    TimeUnit.NANOSECONDS.sleep(at - System.nanoTime());
                    socket.getOutputStream().write(prompt().getBytes(StandardCharsets.US_ASCII));
                    String told = answer(in);
                    if (told.startsWith("HTTP/1.1 200")) {
                        served.incrementAndGet();
                        times.recordValue(Math.min(LONGEST_US, Math.max(0, (System.nanoTime() - at) / 1000)));
                    } else {
                        refused.incrementAndGet();
                    }
                    goesOn = !told.contains("Connection: close");
                    at = Math.max(at + gap, System.nanoTime() - 1_000_000_000L);
                }
            } catch (IOException e) {
                if (!over) {
                    lost.incrementAndGet();
                    at = System.nanoTime() + gap;
                }
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private String prompt() {
        return "POST /v1/chat/completions HTTP/1.1\r\nHost: lab\r\nReq-Id: " + Long.toHexString(ids.incrementAndGet())
                + "\r\nReq-Kind: chat\r\nReq-Key: 1\r\nReq-Deadline: 4.000\r\nReq-Extra: prompt_len=20,max_out=20\r\nContent-Length: "
                + BODY.length() + "\r\n\r\n" + BODY;
    }

    /** Reads an answer to its end: the last chunk, or as many bytes as its length says. */
    private static String answer(InputStream in) throws IOException {
        StringBuilder all = new StringBuilder(512);
        int end = -1;
        while (true) {
            int c = in.read();
            if (c < 0) {
                throw new IOException("closed within an answer");
            }
            all.append((char) c);
            if (c == '\n' && end < 0 && all.indexOf("\r\n\r\n") == all.length() - 4) {
                int length = all.indexOf("Content-Length: ");
                end = length < 0 ? Integer.MAX_VALUE : all.length() + Integer.parseInt(all.substring(length + 16, all.indexOf("\r", length)));
            }
            if (all.length() >= end && end >= 0 || end == Integer.MAX_VALUE && c == '\n' && all.indexOf("\r\n0\r\n\r\n") >= 0) {
                return all.toString();
            }
        }
    }

    /** Forgets what was measured so far. */
    void reset() {
        times.reset();
        served.set(0);
        refused.set(0);
        lost.set(0);
    }

    /** In milliseconds. */
    double percentile(double p) { return times.getValueAtPercentile(p) / 1000.0; }

    double longest() { return times.getMaxValue() / 1000.0; }

    long served() { return served.get(); }

    long refused() { return refused.get(); }

    long lost() { return lost.get(); }

    @Override public void close() {
        over = true;
        threads.forEach(Thread::interrupt);
    }
}
