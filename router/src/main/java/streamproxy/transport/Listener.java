package streamproxy.transport;

import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * Accepts connections on one address, as fast as its gate lets them in, and hands each on.
 *
 * <p>Closing a listening socket resets every connection in its backlog, also one whose request has arrived there whole.
 * So {@link #close} has the listener's thread accept what waits, and comes back once the gate has all of it and the socket
 * is closed.
 */
public final class Listener implements AutoCloseable {
    /** Who says when the next connection may be accepted, and takes it. */
    public interface Gate {
        /** How long the next connection waits in the backlog, in nanoseconds; 0 where it is accepted now. */
        long waitNs();

        /** A connection has come; it is the gate's, to keep or to close. Must not wait. */
        void comes(Connection connection);

        /** The process holds as many descriptors as it may, and has none for the next connection. */
        void outOfDescriptors();
    }

    /** A crowd that comes back at once waits here; the kernel bounds it by net.core.somaxconn. */
    private static final int BACKLOG = 4096;
    private static final long PAUSE_NS = 20_000_000L;
    /** How long the first pause behind a failed accept is; each further one in a row is twice as long, up to {@link #PAUSE_NS}. */
    private static final long FIRST_PAUSE_NS = 1_000_000L;
    private static final long MS = 1_000_000L;
    /** One warning in so long: where descriptors are short, each try fails. */
    private static final long WARN_EVERY_NS = 1_000 * MS;
    /** How often it is noted that the queue is empty. */
    private static final long LOOK_MS = 50;
    /** How long closing waits for the listener's thread. */
    private static final long CLOSE_WAIT_MS = 2_000;
    /** How long a listener that closes tries to accept its backlog while accepts fail. */
    private static final long BACKLOG_WAIT_NS = 1_500 * MS;

    private final ServerSocketChannel server;
    private final Selector selector;
    private final Gate gate;
    private volatile Thread thread;
    private volatile boolean closing;
    private long emptyAt; // the last moment at which no connection waited; the listener's thread alone touches it
    private long warnedAt = System.nanoTime() - WARN_EVERY_NS;
    private int failures;
    private int failuresInRow; // of accepts; the listener's thread alone touches it

    public Listener(InetSocketAddress at, Gate gate) throws IOException {
        this.gate = gate;
        server = Opening.retrying("listening socket", () -> {
            emptyAt = System.nanoTime(); // before it listens nobody can wait, however long it took until then
            return listening(at);
        });
        selector = Opening.retrying("selector", Selector::open);
        server.register(selector, SelectionKey.OP_ACCEPT);
    }

    /**
     * Listens at an address that a process beside this one may share. The JDK finds out once, as it loads its network library,
     * whether that can be, and takes a failure of that moment for a no; then the address is free once the other one leaves.
     */
    private static ServerSocketChannel listening(InetSocketAddress at) throws IOException {
        ServerSocketChannel server = ServerSocketChannel.open();
        boolean shared = server.supportedOptions().contains(StandardSocketOptions.SO_REUSEPORT);
        try {
            server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            if (shared) {
                server.setOption(StandardSocketOptions.SO_REUSEPORT, true);
            }
            server.bind(at, BACKLOG);
            server.configureBlocking(false);
            return server;
        } catch (BindException e) {
            server.close();
            throw shared ? e : new IOException(e.getMessage() + ", and it cannot be shared", e);
        } catch (IOException | RuntimeException e) {
            server.close();
            throw e;
        }
    }

    public InetSocketAddress address() throws IOException { return (InetSocketAddress) server.getLocalAddress(); }

    public void start() { thread = Threads.startAtStart("listener", this::run); }

    private void run() {
        while (!closing) {
            try {
                if (!awaitConnection()) {
                    continue;
                }
                long wait = closing ? 0 : gate.waitNs(); // as things are now that a connection has come
                if (wait > 0) {
                    pause(Math.min(wait, PAUSE_NS)); // the backlog holds it; limits may change meanwhile
                } else {
                    acceptOne();
                }
            } catch (ClosedChannelException e) {
                return;
            } catch (IOException e) {
                couldNotAccept(e);
            } catch (RuntimeException | Error e) { // without this thread the router would be deaf
                failed(e);
                pause(PAUSE_NS);
            }
        }
        acceptBacklog();
    }

    /**
     * Waits until a connection is in the queue; false where none has come for a while, or the listener closes. That the queue
     * was empty is noted again and again, since nothing else tells since when a connection has waited there.
     */
    private boolean awaitConnection() throws IOException {
        if (isQueued()) {
            return true;
        }
        selector.select(LOOK_MS);
        return !selector.selectedKeys().isEmpty();
    }

    /** Whether a connection is in the queue now. */
    private boolean isQueued() throws IOException {
        long lookedAt = System.nanoTime();
        selector.selectedKeys().clear();
        boolean queued = selector.selectNow() > 0;
        if (!queued) {
            emptyAt = lookedAt;
        }
        return queued;
    }

    /** Accepts the next connection, where there is one, and hands it on. */
    private void acceptOne() throws IOException {
        SocketChannel channel = server.accept();
        failuresInRow = 0;
        if (channel == null) {
            return; // none waits, or a signal has interrupted the call
        }
        try {
            Connection connection = Connection.accepted(channel, emptyAt);
            if (System.nanoTime() - emptyAt > TimeUnit.MILLISECONDS.toNanos(LOOK_MS)) {
                connection.noteWhetherEmpty(); // one that has not asked yet has waited for nothing
            }
            gate.comes(connection);
        } catch (IOException | RuntimeException | Error e) {
            channel.close();
            failed(e);
        }
    }

    /** Room is made only where it is this process that holds too much; a want of the whole machine passes. */
    private void couldNotAccept(IOException e) {
        failed(e);
        if (AcceptFailure.of(e) == AcceptFailure.PROCESS_DESCRIPTORS) {
            gate.outOfDescriptors();
        }
        pause(Math.min(PAUSE_NS, FIRST_PAUSE_NS << Math.min(failuresInRow, Integer.SIZE - 2)));
        failuresInRow++;
    }

    /** The last connections, at whatever pace they came; no more of them than the backlog holds. */
    private void acceptBacklog() {
        long until = System.nanoTime() + BACKLOG_WAIT_NS;
        try (server; selector) {
            for (int accepted = 0; accepted < BACKLOG && isQueued();) {
                try {
                    acceptOne();
                    accepted++;
                } catch (IOException e) {
                    if (System.nanoTime() - until >= 0) {
                        throw e; // the rest is reset, with nothing of it read
                    }
                    couldNotAccept(e);
                }
            }
        } catch (IOException e) {
            failed(e);
        }
    }

    private void failed(Throwable e) {
        failures++;
        long now = System.nanoTime();
        if (now - warnedAt >= WARN_EVERY_NS) {
            Logger.warn(e, "connections that could not be taken: {} ({})", failures, e.getMessage());
            warnedAt = now;
            failures = 0;
        }
    }

    private static void pause(long ns) {
        try {
            Thread.sleep(Math.max(1, ns / MS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Accepts what waits in the backlog, and no more; all of it is the gate's when this comes back. */
    @Override public void close() throws IOException {
        closing = true;
        selector.wakeup();
        Thread accepts = thread;
        if (accepts != null && accepts != Thread.currentThread()) {
            try {
                accepts.join(CLOSE_WAIT_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        server.close();
        selector.close();
    }
}
