package streamproxy.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.tinylog.Logger;

/** Accepts connections on one address and hands each on. */
public final class Listener implements AutoCloseable {
    private static final int BACKLOG = 1024;
    private static final long PAUSE_MS = 20;

    private final ServerSocketChannel server;
    private final Budget budget;
    private final Consumer<Connection> takes;
    private final BooleanSupplier makesRoom;

    /** Where the budget has no place left, one is asked of {@code makesRoom}, which tells whether it has freed one. */
    public Listener(InetSocketAddress at, Budget budget, Consumer<Connection> takes, BooleanSupplier makesRoom)
            throws IOException {
        this.budget = budget;
        this.takes = takes;
        this.makesRoom = makesRoom;
        server = ServerSocketChannel.open();
        server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        server.bind(at, BACKLOG);
    }

    public InetSocketAddress address() throws IOException { return (InetSocketAddress) server.getLocalAddress(); }

    public void start() { Threads.start("listener", this::run); }

    private void run() {
        while (server.isOpen()) {
            if (!budget.tryTake(1, 0)) {
                if (!makesRoom.getAsBoolean()) {
                    pause(); // the backlog holds what comes until a place is free
                }
                continue;
            }
            SocketChannel channel = null;
            try {
                channel = server.accept();
                takes.accept(new Connection(channel, budget));
            } catch (ClosedChannelException e) {
                budget.giveBack(1);
                return;
            } catch (IOException | RuntimeException | OutOfMemoryError e) {
                Logger.warn(e, "a connection could not be taken");
                budget.giveBack(1);
                closeQuietly(channel);
                pause();
            }
        }
    }

    private static void closeQuietly(SocketChannel channel) {
        try {
            if (channel != null) {
                channel.close();
            }
        } catch (IOException e) {
            Logger.debug(e, "closing");
        }
    }

    private static void pause() {
        try {
            Thread.sleep(PAUSE_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override public void close() throws IOException { server.close(); }
}
