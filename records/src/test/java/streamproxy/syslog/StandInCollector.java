package streamproxy.syslog;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import javax.net.ssl.SSLContext;
import streamproxy.syslog.reading.ParsedMessage;
import streamproxy.syslog.reading.Frames;
import streamproxy.syslog.reading.Malformed;
import streamproxy.syslog.reading.StrictParser;

/** A collector on loopback that reads strictly, and does what a story needs. */
final class StandInCollector implements AutoCloseable {
    /** No connection begins at this address by itself, so that a port that was given up can be taken again. */
    static final String HOST = "127.0.0.2";
    final BlockingQueue<ParsedMessage> found = new LinkedBlockingQueue<>();
    final List<String> malformed = new CopyOnWriteArrayList<>();
    final AtomicInteger connections = new AtomicInteger();
    private final List<Socket> open = new CopyOnWriteArrayList<>();
    private final ServerSocket server;
    private final DatagramSocket datagrams;
    private volatile boolean reads = true;
    private volatile int closesAfterBytes;
    private volatile Semaphore allowed; // bytes that it may read; null for any number

    /** One that comes back wants its old port, which a connection of some other program may hold for a moment. */
    private void bind(int port) throws IOException {
        for (int tries = 0; !server.isBound(); tries++) {
            try {
                server.bind(new java.net.InetSocketAddress(InetAddress.getByName(HOST), port), 50);
            } catch (java.net.BindException e) {
                if (tries == 3_000) {
                    throw e;
                }
                java.util.concurrent.locks.LockSupport.parkNanos(10_000_000L);
            }
        }
    }

    /** On TCP, or with a context on TLS; port 0 for any. */
    StandInCollector(int port, SSLContext context, boolean wantsClient) throws IOException {
        server = context == null ? new ServerSocket() : context.getServerSocketFactory().createServerSocket();
        server.setReuseAddress(true);
        bind(port);
        if (wantsClient) {
            ((javax.net.ssl.SSLServerSocket) server).setNeedClientAuth(true);
        }
        datagrams = null;
        thread(this::accept);
    }

    /** On UDP. */
    StandInCollector() throws IOException {
        server = null;
        datagrams = new DatagramSocket(0, InetAddress.getByName(HOST));
        thread(this::receive);
    }

    private static void thread(Runnable work) {
        Thread thread = new Thread(work, "stand-in collector");
        thread.setDaemon(true);
        thread.start();
    }

    int port() { return server == null ? datagrams.getLocalPort() : server.getLocalPort(); }

    /** From the next connection on it reads nothing. */
    void hang() { reads = false; }

    void goOn() { reads = true; }

    /** From the next connection on it reads no more than {@link #allow} grants. */
    void trickle() { allowed = new Semaphore(0); }

    void allow(int bytes) { allowed.release(bytes); }

    /** Reads a byte for each that is granted. */
    private final class Trickle extends java.io.FilterInputStream {
        Trickle(InputStream in) { super(in); }

        @Override public int read() throws IOException {
            allowed.acquireUninterruptibly();
            return super.read();
        }

        @Override public int read(byte[] to, int at, int most) throws IOException {
            allowed.acquireUninterruptibly();
            int more = Math.min(most - 1, allowed.drainPermits());
            int n = super.read(to, at, 1 + more);
            allowed.release(Math.max(0, 1 + more - Math.max(0, n)));
            return n;
        }
    }

    /** Each connection is closed once so many bytes have come, wherever that is. */
    void closeAfter(int bytes) { closesAfterBytes = bytes; }

    /** Closes what is open, as a process that dies. */
    void dropAll() throws IOException {
        for (Socket socket : open) {
            socket.close();
        }
        open.clear();
    }

    private void receive() {
        try {
            while (true) {
                DatagramPacket packet = new DatagramPacket(new byte[70_000], 70_000);
                datagrams.receive(packet);
                take(Arrays.copyOf(packet.getData(), packet.getLength()));
            }
        } catch (IOException e) {
            // the story is over
        }
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                connections.incrementAndGet();
                open.add(socket);
                thread(() -> read(socket));
            }
        } catch (IOException e) {
            // the story is over
        }
    }

    private void read(Socket socket) {
        try (socket) {
            while (!reads) {
                Thread.sleep(2); // what it is here for: to keep the sender waiting
            }
            InputStream in = socket.getInputStream();
            if (closesAfterBytes > 0) {
                in.readNBytes(closesAfterBytes);
                return;
            }
            Frames frames = new Frames(allowed == null ? in : new Trickle(in));
            for (byte[] message = frames.next(); message != null; message = frames.next()) {
                take(message);
            }
        } catch (EOFException e) {
            // cut within a frame
        } catch (Malformed e) {
            malformed.add(e.getMessage());
        } catch (IOException e) {
            // the sender has gone
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void take(byte[] message) {
        try {
            found.add(StrictParser.parse(message));
        } catch (Malformed e) {
            malformed.add(e.column() + ": " + e.getMessage() + " in " + new String(message, java.nio.charset.StandardCharsets.UTF_8));
        }
    }

    @Override public void close() throws IOException {
        if (server != null) {
            server.close();
            dropAll();
        } else {
            datagrams.close();
        }
    }
}
