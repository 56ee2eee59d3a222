package streamproxy.lab;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/** Listens on any number of ports with one thread. A connection has a thread only while a request is under way on it. */
final class StandInServer implements AutoCloseable {
    /** Serves the request that has begun to come. */
    interface Handler {
        /** True while the connection goes on; whatever it throws ends the connection. */
        boolean serve(Socket socket) throws IOException, InterruptedException;
    }

    /** A connection at rest, to be watched for its next request. */
    private record Resting(SocketChannel channel, Handler handler) { }

    private static final int BACKLOG = 1024;
    private static final int STACK_BYTES = 128 * 1024;

    private final Selector selector = Selector.open();
    private final Queue<Resting> resting = new ConcurrentLinkedQueue<>();
    private final ExecutorService workers = Executors.newCachedThreadPool(StandInServer::daemon);
    private final AtomicInteger accepted = new AtomicInteger();
    /** Connections whose request has begun to come; the selector's thread alone touches it. */
    private List<Resting> arrived = new ArrayList<>();

    StandInServer() throws IOException { daemon(this::run).start(); }

    private static Thread daemon(Runnable work) {
        Thread thread = new Thread(null, work, "stand-in", STACK_BYTES);
        thread.setDaemon(true);
        return thread;
    }

    /** Listens on a port of its own from now on. */
    ServerSocketChannel listen(Handler handler) throws IOException {
        ServerSocketChannel server = ServerSocketChannel.open();
        server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), BACKLOG);
        server.configureBlocking(false);
        selector.wakeup();
        server.register(selector, SelectionKey.OP_ACCEPT, handler);
        return server;
    }

    static int port(ServerSocketChannel server) { return server.socket().getLocalPort(); }

    /** Connections accepted so far. */
    int accepted() { return accepted.get(); }

    private void run() {
        while (selector.isOpen()) {
            try {
                selector.select(this::ready);
                while (!arrived.isEmpty()) {
                    handOverArrived();
                }
                for (Resting next = resting.poll(); next != null; next = resting.poll()) {
                    watch(next);
                }
            } catch (IOException | RuntimeException e) {
                // it is over, or one connection is
            }
        }
    }

    private void handOverArrived() throws IOException {
        List<Resting> now = arrived;
        arrived = new ArrayList<>();
        selector.selectNow(this::ready); // lets go of their keys, without which they cannot block
        now.forEach(one -> workers.execute(() -> serve(one.channel, one.handler)));
    }

    private void ready(SelectionKey key) {
        Handler handler = (Handler) key.attachment();
        try {
            if (key.isAcceptable()) {
                accept((ServerSocketChannel) key.channel(), handler);
            } else {
                key.cancel();
                arrived.add(new Resting((SocketChannel) key.channel(), handler));
            }
        } catch (IOException | RuntimeException e) {
            // the listening socket was closed
        }
    }

    private void accept(ServerSocketChannel server, Handler handler) throws IOException {
        SocketChannel channel = server.accept();
        if (channel != null) {
            accepted.incrementAndGet();
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            watch(new Resting(channel, handler));
        }
    }

    private void watch(Resting next) throws IOException {
        next.channel.configureBlocking(false);
        next.channel.register(selector, SelectionKey.OP_READ, next.handler);
    }

    private void serve(SocketChannel channel, Handler handler) {
        boolean goesOn = false;
        try {
            channel.configureBlocking(true);
            goesOn = handler.serve(channel.socket());
        } catch (IOException | RuntimeException e) {
            // the router has closed
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            if (goesOn) {
                resting.add(new Resting(channel, handler));
                selector.wakeup();
            } else {
                close(channel);
            }
        }
    }

    private static void close(SocketChannel channel) {
        try {
            channel.close();
        } catch (IOException e) {
            // it is closed otherwise
        }
    }

    @Override public void close() throws IOException {
        for (SelectionKey key : selector.keys()) {
            key.channel().close();
        }
        selector.close();
        workers.shutdownNow();
    }
}
