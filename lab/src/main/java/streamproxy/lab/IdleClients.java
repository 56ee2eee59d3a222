package streamproxy.lab;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Very many clients that have asked once and keep their connections, on one thread. They come from several loopback
 * addresses, as one has too few ports.
 */
final class IdleClients implements AutoCloseable {
    private static final byte[] ASK = "GET /ready HTTP/1.1\r\nHost: lab\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    /** Well under the half of the system's ports that it takes first: beyond, it searches ever longer for a free one. */
    private static final int PER_ADDRESS = 5_000;
    /** Addresses of this process alone, so that several do not search each other's ports. */
    private static final byte NETWORK = (byte) (2 + ProcessHandle.current().pid() % 250);
    /** Connections on their way at a time, well under the listener's backlog. */
    private static final int AT_ONCE = 256;

    /** What became of a crowd that came together. */
    record Came(int answered, int turnedAway, int lost, double seconds) { }

    /** Ports that were closed here are not free for a minute (TIME_WAIT), so that no address is used again. */
    private static int made;

    private final InetSocketAddress router;
    private final List<SocketChannel> open = new ArrayList<>();

    IdleClients(InetSocketAddress router) { this.router = router; }

    /** Connects until so many are open, {@code atOnce} on their way at a time, and has each ask once. */
    Came connect(int upTo, int atOnce, long timeoutS) throws IOException {
        long from = System.nanoTime();
        long until = from + TimeUnit.SECONDS.toNanos(timeoutS);
        int answered = 0;
        int turnedAway = 0;
        int lost = 0;
        int started = open.size();
        int under = 0;
        ByteBuffer buffer = ByteBuffer.allocate(512);
        List<SocketChannel> done = new ArrayList<>();
        try (Selector selector = Selector.open()) {
            while ((started < upTo || under > 0) && System.nanoTime() < until) {
                while (started < upTo && under < atOnce) {
                    SocketChannel channel = SocketChannel.open();
                    channel.configureBlocking(false);
                    channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
                    channel.bind(new InetSocketAddress(InetAddress.getByAddress(
                            new byte[] {127, NETWORK, (byte) (1 + made / PER_ADDRESS / 250), (byte) (1 + made / PER_ADDRESS % 250)}), 0));
                    channel.connect(router);
                    channel.register(selector, SelectionKey.OP_CONNECT);
                    started++;
                    made++;
                    under++;
                }
                selector.select(100);
                for (SelectionKey key : selector.selectedKeys()) {
                    SocketChannel channel = (SocketChannel) key.channel();
                    try {
                        if (key.isConnectable()) {
                            channel.finishConnect();
                            channel.write(ByteBuffer.wrap(ASK));
                            key.interestOps(SelectionKey.OP_READ);
                            continue;
                        }
                        buffer.clear();
                        int n = channel.read(buffer);
                        under--;
                        key.cancel();
                        String told = n <= 0 ? "" : new String(buffer.array(), 0, n, StandardCharsets.US_ASCII);
                        if (told.startsWith("HTTP/1.1 200")) {
                            answered++;
                            done.add(channel);
                        } else {
                            turnedAway += told.startsWith("HTTP/1.1 503") ? 1 : 0;
                            lost += told.startsWith("HTTP/1.1 503") ? 0 : 1;
                            channel.close();
                        }
                    } catch (IOException e) {
                        under--;
                        lost++;
                        channel.close();
                    }
                }
                selector.selectedKeys().clear();
            }
        }
        open.addAll(done);
        return new Came(answered, turnedAway, lost + under, (System.nanoTime() - from) / 1e9);
    }

    Came connect(int upTo, long timeoutS) throws IOException { return connect(upTo, AT_ONCE, timeoutS); }

    int size() { return open.size(); }

    /** How many the router has closed. */
    int closedByRouter() throws IOException {
        int closed = 0;
        ByteBuffer one = ByteBuffer.allocate(1);
        for (SocketChannel channel : open) {
            one.clear();
            closed += channel.read(one) < 0 ? 1 : 0;
        }
        return closed;
    }

    /** Closes all in one moment. */
    void leave() throws IOException {
        for (SocketChannel channel : open) {
            channel.close();
        }
        open.clear();
    }

    @Override public void close() throws IOException { leave(); }
}
