package streamproxy.lab.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import streamproxy.lab.StandIns;

/** A proxy in front of each replica, which can delay its answers, reset its connections, or end their sending. */
final class SoakLinks implements AutoCloseable {
    /** What a link does to the connections that go through it. */
    enum Trouble {
        /** Each is reset. */
        RESET,
        /** The replica's side of each is ended, as by a half-close. */
        HALF_CLOSE,
        /** Answers come late. */
        DELAY
    }

    /** A time in which streams may have been broken by a link. */
    private record Broken(long from, long to) { }

    /** The two sockets of a connection that goes through. */
    private record Pair(Socket router, Socket replica) { }

    private static final int BUFFER = 16 * 1024;
    private static final int CONNECT_MS = 1_000;
    /** How long after a link's trouble the end of a stream may come of it. */
    private static final long SEEN_WITHIN_NS = TimeUnit.SECONDS.toNanos(1);

    private final List<ServerSocket> listening = new ArrayList<>();
    private final List<Set<Pair>> open = new ArrayList<>();
    private final Queue<Broken> broken = new ConcurrentLinkedQueue<>();
    private final int[] delayMs;

    SoakLinks(StandIns standIns, int replicas) throws IOException {
        delayMs = new int[replicas];
        for (int i = 0; i < replicas; i++) {
            ServerSocket server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
            int to = standIns.advertise(i, server.getLocalPort());
            int replica = i;
            listening.add(server);
            open.add(ConcurrentHashMap.newKeySet());
            thread(() -> accept(server, replica, to));
        }
    }

    private static void thread(Runnable work) {
        Thread thread = new Thread(null, work, "link", 128 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    /** That happens to the connections of one replica now; a delay holds until it is ended. */
    void begin(int replica, Trouble trouble, int ms) {
        if (trouble == Trouble.DELAY) {
            delay(replica, ms);
            return;
        }
        long now = System.nanoTime();
        broken.add(new Broken(now, now + SEEN_WITHIN_NS));
        for (Pair pair : open.get(replica)) {
            try {
                if (trouble == Trouble.RESET) {
                    pair.router.setSoLinger(true, 0);
                    end(pair, replica);
                } else {
                    pair.router.shutdownOutput();
                }
            } catch (IOException e) {
                // it has ended by itself
            }
        }
    }

    int port(int replica) { return listening.get(replica).getLocalPort(); }

    synchronized void delay(int replica, int ms) { delayMs[replica] = ms; }

    private synchronized int delayOf(int replica) { return delayMs[replica]; }

    /** Whether a link may have broken a stream that went on between these times. */
    boolean brokeBetween(long from, long to) { return broken.stream().anyMatch(time -> time.from <= to && time.to >= from); }

    private void accept(ServerSocket server, int replica, int to) {
        while (!server.isClosed()) {
            try {
                Socket router = server.accept();
                thread(() -> connect(router, replica, to));
            } catch (IOException e) {
                // closed, or the router has gone
            }
        }
    }

    private void connect(Socket router, int replica, int to) {
        Pair pair = new Pair(router, new Socket());
        open.get(replica).add(pair);
        try {
            pair.replica.connect(new InetSocketAddress("127.0.0.1", to), CONNECT_MS);
            pair.router.setTcpNoDelay(true);
            pair.replica.setTcpNoDelay(true);
            thread(() -> pass(pair, replica, true));
            pass(pair, replica, false);
        } catch (IOException e) {
            end(pair, replica);
        }
    }

    /** Passes on what one side sends; the end of its sending, too. A reset is one on the other side. */
    private void pass(Pair pair, int replica, boolean answers) {
        Socket from = answers ? pair.replica : pair.router;
        Socket to = answers ? pair.router : pair.replica;
        byte[] buffer = new byte[BUFFER];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                if (answers) {
                    TimeUnit.MILLISECONDS.sleep(delayOf(replica));
                }
                out.write(buffer, 0, n);
            }
        } catch (IOException e) {
            // one of them has ended it
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            end(pair, replica);
        }
    }

    private void end(Pair pair, int replica) {
        open.get(replica).remove(pair);
        for (Socket socket : List.of(pair.router, pair.replica)) {
            try {
                socket.close();
            } catch (IOException e) {
                // it is closed
            }
        }
    }

    @Override public void close() throws IOException {
        for (ServerSocket server : listening) {
            server.close();
        }
        for (int replica = 0; replica < open.size(); replica++) {
            for (Pair pair : open.get(replica)) {
                end(pair, replica);
            }
        }
    }
}
