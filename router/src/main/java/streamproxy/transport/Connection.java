package streamproxy.transport;

import java.io.IOException;
import java.io.OutputStream;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.concurrent.atomic.AtomicIntegerFieldUpdater;
import org.tinylog.Logger;

/**
 * One TCP connection with blocking reads and writes. One thread at a time uses it; any thread may close it,
 * which ends the user's call with an exception.
 */
public final class Connection implements AutoCloseable {
    /** What a look at a connection that nobody reads has found. */
    public enum Look { QUIET, DATA, CLOSED }

    private static final int BUFFER = 8 * 1024;
    /** What a read says at the peer's end. Lesser numbers are the JDK's for a call that a signal has interrupted: it says nothing. */
    private static final int END = -1;
    private static final long MS = 1_000_000L;
    /** How long the first wait for a client's next bytes is until it is noted that none have come; each further one is twice as long. */
    private static final long FIRST_LOOK_NS = 50 * MS;
    /** How long such a wait is at most. */
    private static final long LAST_LOOK_NS = 200 * MS;
    /** Within so long after a look at a client's connection its next read is spared another. */
    private static final long LOOK_SPARED_NS = 10 * MS;
    /**
     * So much is read and thrown away behind a full buffer to find the peer's end, at each look: as much as a receive buffer
     * of the usual limits holds, so that one look finds the end of whatever was sent before it.
     */
    private static final int DISCARDED_MOST = 8 * 1024 * 1024;
    /** One word for each connection instead of an object: there are many. */
    private static final AtomicIntegerFieldUpdater<Connection> CLOSED =
            AtomicIntegerFieldUpdater.newUpdater(Connection.class, "closed");

    private final SocketChannel channel;
    private final Budget budget; // null for one that is counted elsewhere
    private volatile int closed;
    private byte[] buffer; // none while the connection is quiet
    private volatile long writingSince; // 0: no write is waiting
    private volatile boolean readingEnded;
    private int next;
    private int end;
    private volatile long emptyAt; // the last moment at which the socket is known to have held nothing unread
    private volatile long arrivedNotBefore; // a bound for the oldest bytes in the buffer
    private boolean discarded; // some bytes came behind a full buffer and were thrown away

    /**
     * One that a peer has opened; whoever accepted it counts it.
     *
     * @param notBefore a moment of {@link System#nanoTime} at which it had not come yet
     */
    static Connection accepted(SocketChannel channel, long notBefore) throws IOException {
        Connection connection = new Connection(channel, null);
        connection.emptyAt = notBefore;
        connection.arrivedNotBefore = notBefore;
        return connection;
    }

    /** Wraps an open channel whose place in the budget is already taken. */
    private Connection(SocketChannel channel, Budget budget) throws IOException {
        this.channel = channel;
        this.budget = budget;
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    }

    /** An unconnected one; the caller has taken its place in the budget, {@link #close} gives it back. */
    public static Connection open(Budget budget) throws IOException {
        SocketChannel channel = null;
        try {
            channel = SocketChannel.open();
            return new Connection(channel, budget);
        } catch (IOException e) {
            if (channel != null) {
                channel.close();
            }
            budget.giveBack(1);
            throw e;
        }
    }

    /**
     * Connects, waiting at most so long.
     *
     * @throws ConnectException where the connection has reached its own socket: nobody listens at a port that the system
     *                          draws for connections, and has drawn it for this one
     */
    public void connect(InetSocketAddress to, long timeoutNs) throws IOException {
        channel.socket().connect(to, (int) Math.max(1, timeoutNs / MS));
        if (channel.getLocalAddress().equals(channel.getRemoteAddress())) {
            Logger.warn("a connection to {} has reached itself, and is closed", to);
            close();
            throw new ConnectException("the connection has reached itself");
        }
    }

    /** Waits so long (0: for ever) for the first byte of what comes next; false at the end. */
    public boolean awaitByte(long timeoutNs) throws IOException { return next < end || fill(timeoutNs); }

    /** Reads one byte, waiting at most so long (0: for ever); -1 at the end. */
    public int read(long timeoutNs) throws IOException {
        return next < end || fill(timeoutNs) ? buffer[next++] & 0xff : -1;
    }

    /** Reads up to so many bytes of what is there, waiting for the first; -1 at the end. */
    public int read(byte[] to, int at, int most, long timeoutNs) throws IOException {
        if (next == end && !fill(timeoutNs)) {
            return -1;
        }
        int n = Math.min(most, end - next);
        System.arraycopy(buffer, next, to, at, n);
        next += n;
        return n;
    }

    private boolean fill(long timeoutNs) throws IOException {
        if (buffer == null) {
            buffer = new byte[BUFFER];
        }
        int n = isFromPeer() ? readLooking(timeoutNs) : readWaiting(timeoutNs);
        arrivedNotBefore = emptyAt;
        next = 0;
        end = Math.max(0, n);
        return n > 0;
    }

    /** Whether the peer has opened it: a client's, whose time runs from its sending on. */
    private boolean isFromPeer() { return budget == null; }

    /** Reads what comes next, waiting at most so long (0: for ever). */
    private int readWaiting(long timeoutNs) throws IOException {
        channel.socket().setSoTimeout((int) Math.min(Integer.MAX_VALUE, (timeoutNs + MS - 1) / MS));
        int n;
        do {
            n = channel.socket().getInputStream().read(buffer, 0, BUFFER);
        } while (n < END);
        return n;
    }

    /** The same, noting again and again that nothing has come yet. */
    private int readLooking(long timeoutNs) throws IOException {
        long until = System.nanoTime() + timeoutNs;
        long wait = FIRST_LOOK_NS;
        while (true) {
            long lookedAt = System.nanoTime();
            if (lookedAt - emptyAt > LOOK_SPARED_NS) {
                noteWhetherEmpty();
            }
            long left = timeoutNs == 0 ? wait : until - lookedAt;
            if (left <= 0) {
                throw new SocketTimeoutException("nothing came in time");
            }
            try {
                return readWaiting(Math.min(wait, left));
            } catch (SocketTimeoutException e) {
                emptyAt = lookedAt;
                wait = Math.min(2 * wait, LAST_LOOK_NS);
            }
        }
    }

    /**
     * A moment of {@link System#nanoTime} before which the oldest bytes in the buffer cannot have come: the last one at which the
     * connection was seen without a byte to read, or was not there yet.
     */
    public long arrivedNotBefore() { return arrivedNotBefore; }

    /** Looks whether the socket holds anything unread, and remembers the moment if it does not. Any thread may ask. */
    public void noteWhetherEmpty() {
        long lookedAt = System.nanoTime();
        if (!hasArrived()) {
            emptyAt = lookedAt;
        }
    }

    /** The socket held nothing unread at that moment. */
    void wasEmptyAt(long at) {
        if (at - emptyAt > 0) {
            emptyAt = at;
        }
    }

    /** From now on reads find the end, one that is waiting too. Any thread may say so. */
    public void endReading() {
        readingEnded = true;
        try {
            channel.shutdownInput();
        } catch (IOException e) {
            // it has ended otherwise
        }
    }

    /** Nothing more is written; what was written goes out first. */
    public void endWriting() {
        try {
            channel.shutdownOutput();
        } catch (IOException e) {
            // it has ended otherwise
        }
    }

    /** Looks, without waiting, whether the peer has closed or sent something; no one else may be reading. */
    public Look look() {
        if (next < end) {
            return Look.DATA;
        }
        if (readingEnded) {
            return Look.QUIET; // by ourselves: it says nothing of the peer
        }
        try {
            if (buffer == null) {
                buffer = new byte[BUFFER];
            }
            channel.configureBlocking(false);
            long lookedAt = System.nanoTime();
            int n = readNow(ByteBuffer.wrap(buffer));
            channel.configureBlocking(true);
            arrivedNotBefore = emptyAt;
            if (n == 0) {
                emptyAt = lookedAt;
            }
            next = 0;
            end = Math.max(0, n);
            return n < 0 ? Look.CLOSED : n == 0 ? Look.QUIET : Look.DATA;
        } catch (IOException e) {
            return Look.CLOSED;
        }
    }

    /**
     * Looks, without waiting, whether the peer has ended its sending or reset the connection, behind all that it sent
     * before; no one else may be reading. What it sent is kept as far as the buffer holds it; beyond that it is thrown
     * away, and the connection {@link #isSpoilt}. A half-close cannot be told from a close, and counts as one.
     */
    public boolean hasEnded() {
        if (isClosed()) {
            return true;
        }
        if (readingEnded) {
            return false; // by ourselves: it says nothing of the peer
        }
        if (buffer == null) {
            buffer = new byte[BUFFER];
        }
        System.arraycopy(buffer, next, buffer, 0, end - next);
        end -= next;
        next = 0;
        if (end == 0) {
            arrivedNotBefore = emptyAt;
        }
        try {
            channel.configureBlocking(false);
            long lookedAt = 0;
            int n = 1;
            while (n > 0 && end < BUFFER) {
                lookedAt = System.nanoTime();
                n = readNow(ByteBuffer.wrap(buffer, end, BUFFER - end));
                end += Math.max(0, n);
            }
            if (n == 0) {
                emptyAt = lookedAt;
            }
            if (n > 0) {
                n = discardArrived();
            }
            channel.configureBlocking(true);
            return n < 0;
        } catch (IOException e) {
            return true;
        }
    }

    /** Throws away what has come, up to a bound; negative where the peer's end stands behind it. */
    private int discardArrived() throws IOException {
        ByteBuffer scratch = ByteBuffer.allocate(BUFFER);
        int n = 1;
        for (int total = 0; n > 0 && total < DISCARDED_MOST; total += n) {
            scratch.clear();
            n = readNow(scratch);
            discarded |= n > 0;
        }
        return n;
    }

    /** Reads what is there, without waiting; {@link #END} at the peer's end. Only while the channel does not block. */
    private int readNow(ByteBuffer to) throws IOException {
        int n;
        do {
            n = channel.read(to);
        } while (n < END);
        return n;
    }

    /** Whether some of what the peer sent was thrown away: what comes next cannot be read as a request. */
    public boolean isSpoilt() { return discarded; }

    /** Lets a selector watch for what comes next; false where that is here already. Its owner must end the watch. */
    boolean watch(Selector selector, Object attachment) throws IOException {
        if (next < end) {
            return false;
        }
        buffer = null;
        channel.configureBlocking(false);
        channel.register(selector, SelectionKey.OP_READ, attachment);
        return true;
    }

    /** Writes the last word as far as the socket takes it at once, ends sending, and has what still comes watched. */
    boolean linger(byte[] lastWord, Selector selector, Object attachment) throws IOException {
        next = end; // what came is not wanted
        channel.configureBlocking(false);
        writeNow(ByteBuffer.wrap(lastWord));
        channel.shutdownOutput();
        return watch(selector, attachment);
    }

    /** Writes as much as the socket takes, without waiting, however few bytes it takes at a time. */
    private void writeNow(ByteBuffer from) throws IOException {
        int n = 1;
        while (from.hasRemaining() && n != 0) {
            n = channel.write(from); // negative where a signal has interrupted it: it is repeated
        }
    }

    SelectionKey keyFor(Selector selector) { return channel.keyFor(selector); }

    /** Reads and throws away, without waiting; how many bytes, or -1 at the end. Only while it is watched. */
    int discard(ByteBuffer scratch) {
        try {
            scratch.clear();
            return readNow(scratch);
        } catch (IOException e) {
            return END;
        }
    }

    /** Where the peer is; null where it has gone. */
    public InetAddress from() {
        try {
            return channel.getRemoteAddress() instanceof InetSocketAddress peer ? peer.getAddress() : null;
        } catch (IOException e) {
            return null;
        }
    }

    /**
     * Whether bytes were read from the socket that nobody has taken. Exact for the thread that reads; another sees what was
     * there when the connection was handed to that thread, or a later state.
     */
    public boolean holdsMore() { return next < end; }

    /** Whether bytes have come that nobody has read yet; unlike {@link #look} it may be asked while another reads. */
    public boolean hasArrived() {
        try {
            return channel.socket().getInputStream().available() > 0;
        } catch (IOException e) {
            return false;
        }
    }

    public void write(byte[] bytes, int at, int length) throws IOException {
        OutputStream out = channel.socket().getOutputStream();
        writingSince = System.nanoTime() | 1;
        try {
            // In pieces: each thread that writes keeps a buffer of the largest piece outside the heap.
            for (int done = 0; done < length; done += BUFFER) {
                out.write(bytes, at + done, Math.min(BUFFER, length - done));
            }
        } finally {
            writingSince = 0;
        }
    }

    /** Whether the peer has kept a write waiting for longer than that. */
    public boolean stalled(long longestNs) {
        long since = writingSince;
        return since != 0 && System.nanoTime() - since > longestNs;
    }

    public void write(byte[] bytes) throws IOException { write(bytes, 0, bytes.length); }

    public boolean isClosed() { return closed != 0; }

    /**
     * Closes the connection with a reset: what was written and is not sent yet is dropped. A close would go on sending it,
     * and the peer would begin what was called off.
     */
    public void abort() {
        try {
            channel.setOption(StandardSocketOptions.SO_LINGER, 0);
        } catch (IOException e) {
            // it has ended otherwise
        }
        close();
    }

    @Override public void close() {
        if (CLOSED.compareAndSet(this, 0, 1)) {
            try {
                channel.close();
            } catch (IOException e) {
                // nothing is left to be done for it
            }
            if (budget != null) {
                budget.giveBack(1);
            }
        }
    }
}
