package streamproxy.stories;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Very many clients on one thread, which ask seldom or never. */
final class Crowd implements AutoCloseable {
    private static final byte[] READY = "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final int PATIENCE_MS = 30_000;
    private static final int BATCH = 500;

    private final InetSocketAddress router;
    private final String from;
    final List<SocketChannel> open = new ArrayList<>();

    /** Clients that connect from this loopback address. */
    Crowd(InetSocketAddress router, String from) {
        this.router = router;
        this.from = from;
    }

    /**
     * So many more connect, and say nothing but for one in a batch: the router takes connections in their order, so once
     * that one is answered none of its batch overfills the backlog.
     */
    Crowd connect(int count) throws IOException {
        for (int i = 0; i < count; i++) {
            SocketChannel channel = SocketChannel.open();
            if (!router.getAddress().getHostAddress().equals(from)) { // else the system finds a port sooner by itself
                channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
                channel.bind(new InetSocketAddress(InetAddress.getByName(from), 0));
            }
            channel.connect(router);
            open.add(channel);
            if (i % BATCH == BATCH - 1) {
                channel.write(ByteBuffer.wrap(READY));
                firstLine(channel);
            }
        }
        return this;
    }

    /** Each asks whether the router is ready: all write, then all read. Returns the first lines. */
    List<String> ask() throws IOException {
        for (SocketChannel channel : open) {
            channel.write(ByteBuffer.wrap(READY));
        }
        List<String> told = new ArrayList<>();
        for (SocketChannel channel : open) {
            told.add(firstLine(channel));
        }
        return told;
    }

    private static String firstLine(SocketChannel channel) throws IOException {
        channel.socket().setSoTimeout(PATIENCE_MS);
        StringBuilder line = new StringBuilder();
        byte[] buffer = new byte[512];
        try {
            while (line.indexOf("\r\n\r\n") < 0) {
                int n = channel.socket().getInputStream().read(buffer);
                if (n < 0) {
                    break;
                }
                line.append(new String(buffer, 0, n, StandardCharsets.US_ASCII));
            }
        } catch (SocketTimeoutException e) {
            throw new IOException("no answer in time", e);
        } catch (IOException e) {
            line.append("reset");
        }
        return line.toString();
    }

    /** How many the router has closed by now, whatever they were told before. */
    int closed() throws IOException { return open.size() - unclosed().size(); }

    private List<SocketChannel> unclosed() throws IOException {
        List<SocketChannel> unclosed = new ArrayList<>();
        for (SocketChannel channel : open) {
            if (!hasEnded(channel)) {
                unclosed.add(channel);
            }
        }
        return unclosed;
    }

    private static boolean hasEnded(SocketChannel channel) throws IOException {
        channel.configureBlocking(false);
        ByteBuffer buffer = ByteBuffer.allocate(512);
        try {
            int n = channel.read(buffer);
            while (n > 0) {
                buffer.clear();
                n = channel.read(buffer);
            }
            return n < 0;
        } catch (IOException e) {
            return true;
        } finally {
            channel.configureBlocking(true);
        }
    }

    /**
     * Waits until the router has closed all of them. Where it does not, the failure tells which connections are left, by their
     * place in the crowd, and both ends' states by the kernel's table.
     */
    void awaitAllClosed(String what) throws Exception {
        try {
            Waiting.await(what + " each sees its end", () -> closed() == open.size());
        } catch (AssertionError e) {
            throw new AssertionError(e.getMessage() + describeUnclosed(), e);
        }
    }

    private String describeUnclosed() throws IOException {
        List<String> table = Files.readAllLines(Path.of("/proc/self/net/tcp"));
        StringBuilder text = new StringBuilder();
        for (SocketChannel channel : unclosed()) {
            String port = String.format(":%04X ", ((InetSocketAddress) channel.getLocalAddress()).getPort());
            text.append("\nconnection ").append(open.indexOf(channel)).append(" from ").append(channel.getLocalAddress());
            table.stream().filter(line -> line.contains(port)).forEach(line -> text.append("\n  ").append(line));
        }
        return text.toString();
    }

    /** All go in one moment. */
    @Override public void close() throws IOException {
        for (SocketChannel channel : open) {
            channel.close();
        }
        open.clear();
    }

    /** So many connections with both ends in this process leave room for what else it holds. */
    static int most(int wanted) throws IOException {
        int limit = Integer.MAX_VALUE;
        for (String line : Files.readAllLines(Path.of("/proc/self/limits"))) {
            if (line.startsWith("Max open files")) {
                String soft = line.replaceAll(" {2,}", "\t").split("\t")[1];
                limit = soft.equals("unlimited") ? limit : Integer.parseInt(soft);
            }
        }
        return Math.max(100, Math.min(wanted, (limit - 1000) / 2));
    }
}
