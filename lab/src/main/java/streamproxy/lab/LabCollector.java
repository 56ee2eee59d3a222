package streamproxy.lab;

import java.io.IOException;
import java.io.InputStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import javax.net.ssl.SSLContext;

/** A collector that counts bytes and is as well as a measurement needs it. */
final class LabCollector implements AutoCloseable {
    /** How it is: it reads at once, a little each tenth of a second, nothing, or is not there. */
    enum State { HEALTHY, SLOW, HUNG, DEAD }

    private static final int SLOW_BYTES = 2_000; // in each tenth of a second
    private final AtomicLong bytes = new AtomicLong();
    private final List<Socket> open = new CopyOnWriteArrayList<>();
    private final State state;
    private final ServerSocket server;
    private final DatagramSocket datagrams;

    LabCollector(State state, SSLContext tls) throws IOException {
        this.state = state;
        datagrams = null;
        server = tls == null ? new ServerSocket() : tls.getServerSocketFactory().createServerSocket();
        server.setReceiveBufferSize(64 * 1024);
        server.bind(new java.net.InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
        if (state == State.DEAD) {
            server.close();
        } else {
            thread(this::accept);
        }
    }

    /** On UDP. */
    LabCollector() throws IOException {
        state = State.HEALTHY;
        server = null;
        datagrams = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"));
        thread(this::receive);
    }

    private static void thread(Runnable work) {
        Thread thread = new Thread(null, work, "collector", 128 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    int port() { return server == null ? datagrams.getLocalPort() : server.getLocalPort(); }

    long bytes() { return bytes.get(); }

    private void receive() {
        DatagramPacket packet = new DatagramPacket(new byte[70_000], 70_000);
        try {
            while (true) {
                packet.setLength(70_000);
                datagrams.receive(packet);
                bytes.addAndGet(packet.getLength());
            }
        } catch (IOException e) {
            // it is over
        }
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                open.add(socket);
                thread(() -> read(socket));
            }
        } catch (IOException e) {
            // it is over
        }
    }

    private void read(Socket socket) {
        byte[] buffer = new byte[state == State.SLOW ? SLOW_BYTES : 64 * 1024];
        try (socket) {
            InputStream in = socket.getInputStream();
            while (state == State.HUNG) {
                TimeUnit.SECONDS.sleep(1);
            }
            for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                bytes.addAndGet(n);
                if (state == State.SLOW) {
                    TimeUnit.MILLISECONDS.sleep(100);
                }
            }
        } catch (IOException e) {
            // the sender has gone
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override public void close() throws IOException {
        if (server == null) {
            datagrams.close();
            return;
        }
        server.close();
        for (Socket socket : open) {
            socket.close();
        }
    }
}
