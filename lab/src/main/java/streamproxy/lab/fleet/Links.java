package streamproxy.lab.fleet;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * Every directed link between routers, on loopback. All routers share one list of members, by name; each resolves the
 * names by a hosts file of its own, to addresses where this stands between, so that what one router sends another can be
 * held up without a word, cut, slowed, or reset now and then, in one direction or both.
 */
final class Links implements AutoCloseable {
    /** What becomes of bytes from one router to another. */
    enum State { OPEN, SILENT, CUT, SLOW, LOSSY }

    private static final int BUFFER = 16 * 1024;
    private static final long LOOK_MS = 5;
    private static final long SLOW_MS = 50;
    /** Of so many pieces that are read, one ends its connection where a link is lossy. */
    private static final int LOST_OF = 40;

    private final State[][] states;
    private final List<ServerSocket> listening = new ArrayList<>();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final List<Integer> ports = new ArrayList<>();

    Links(int routers) throws IOException {
        states = new State[routers][routers];
        for (State[] row : states) {
            Arrays.fill(row, State.OPEN);
        }
        for (int i = 0; i < routers; i++) {
            try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
                ports.add(free.getLocalPort());
            }
        }
        for (int from = 0; from < routers; from++) {
            for (int to = 0; to < routers; to++) {
                if (from != to) {
                    listen(from, to);
                }
            }
        }
    }

    /** The name by which all routers know that one. */
    static String host(int router) { return "r" + router + ".lab"; }

    int port(int router) { return ports.get(router); }

    /** Writes how that router resolves the names of all. */
    Path hosts(int router, Path file) throws IOException {
        List<String> lines = new ArrayList<>();
        for (int to = 0; to < ports.size(); to++) {
            lines.add((to == router ? "127.0.0.1" : between(router, to)) + " " + host(to));
        }
        return Files.write(file, lines);
    }

    /** From now on that becomes of what one sends the other. */
    synchronized void set(int from, int to, State state) { states[from][to] = state; }

    /** The same for all between one router and the others, both ways. */
    synchronized void around(int router, State state) {
        for (int other = 0; other < states.length; other++) {
            if (other != router) {
                states[router][other] = state;
                states[other][router] = state;
            }
        }
    }

    private synchronized State state(int from, int to) { return states[from][to]; }

    private static String between(int from, int to) { return "127.9." + (from + 1) + "." + (to + 1); }

    private void listen(int from, int to) throws IOException {
        ServerSocket server = new ServerSocket(ports.get(to), 64, InetAddress.getByName(between(from, to)));
        listening.add(server);
        thread(() -> accept(server, from, to));
    }

    private static void thread(Runnable work) {
        Thread thread = new Thread(null, work, "link", 128 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept(ServerSocket server, int from, int to) {
        while (!server.isClosed()) {
            try {
                Socket here = server.accept();
                open.add(here);
                thread(() -> connect(here, from, to));
            } catch (IOException e) {
                // closed, or the peer has gone
            }
        }
    }

    private void connect(Socket here, int from, int to) {
        Socket there = new Socket();
        open.add(there);
        try {
            if (state(from, to) == State.CUT || state(to, from) == State.CUT) {
                throw new IOException("cut");
            }
            there.connect(new InetSocketAddress("127.0.0.1", ports.get(to)), 1_000);
            here.setTcpNoDelay(true);
            there.setTcpNoDelay(true);
            thread(() -> pass(there, here, to, from));
            pass(here, there, from, to);
        } catch (IOException e) {
            end(here, there);
        }
    }

    private void pass(Socket in, Socket out, int from, int to) {
        byte[] buffer = new byte[BUFFER];
        try {
            InputStream reads = in.getInputStream();
            OutputStream writes = out.getOutputStream();
            for (int n = reads.read(buffer); n >= 0; n = reads.read(buffer)) {
                for (State now = state(from, to); now != State.OPEN; now = state(from, to)) {
                    if (now == State.CUT || now == State.LOSSY && ThreadLocalRandom.current().nextInt(LOST_OF) == 0) {
                        throw new IOException("cut");
                    }
                    if (now == State.LOSSY) {
                        break;
                    }
                    TimeUnit.MILLISECONDS.sleep(now == State.SLOW ? SLOW_MS : LOOK_MS);
                    if (now == State.SLOW) {
                        break;
                    }
                }
                writes.write(buffer, 0, n);
            }
        } catch (IOException e) {
            // one of them has ended it, or the link is cut
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            end(in, out);
        }
    }

    private void end(Socket... sockets) {
        for (Socket socket : sockets) {
            open.remove(socket);
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
        end(open.toArray(new Socket[0]));
    }
}
