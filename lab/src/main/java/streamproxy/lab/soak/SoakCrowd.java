package streamproxy.lab.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/** Clients that connect and say nothing. */
final class SoakCrowd implements AutoCloseable {
    private final InetSocketAddress router;
    private final List<SocketChannel> open = new ArrayList<>();

    SoakCrowd(InetSocketAddress router) { this.router = router; }

    void connect(int count) throws IOException {
        for (int i = 0; i < count; i++) {
            open.add(SocketChannel.open(router));
        }
    }

    @Override public void close() throws IOException {
        for (SocketChannel channel : open) {
            channel.close();
        }
    }
}
