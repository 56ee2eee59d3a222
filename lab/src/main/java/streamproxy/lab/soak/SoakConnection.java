package streamproxy.lab.soak;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** A client's connection to the router: writes requests in any pieces and reads their answers. One thread uses it. */
final class SoakConnection implements AutoCloseable {
    /** An answer as far as it came. */
    record Answer(SoakRequest.End end, String events, boolean closes, String note) { }

    private static final int CONNECT_MS = 1_000;
    /** A stream that is silent for so long has stopped. */
    private static final int SILENCE_MS = 6_000;
    /** How long after a request's time its answer still counts as one. */
    private static final long GRACE_MS = 500;

    /** Connections over IPv4 stand in either, by the JVM's choice. */
    private static final List<Path> TCP_TABLES = List.of(Path.of("/proc/self/net/tcp"), Path.of("/proc/self/net/tcp6"));
    private static final int LOCAL = 1; // columns of the table
    private static final int STATE = 3;
    private static final String CLOSE_WAIT = "08";

    private final Socket socket = new Socket();
    final long openedAt;
    volatile long closedAt; // when its end was seen here; 0: not yet

    SoakConnection(InetSocketAddress router) throws IOException {
        try {
            socket.setTcpNoDelay(true);
            socket.connect(router, CONNECT_MS);
        } catch (IOException e) {
            socket.close();
            throw e;
        }
        openedAt = System.nanoTime();
    }

    void write(byte[] bytes, int from, int to) throws IOException {
        socket.getOutputStream().write(bytes, from, to - from);
    }

    /**
     * Whether the router has ended the connection while its client is still writing and does not look: by the kernel's table, in
     * which the client's side then waits for its own close.
     */
    boolean isEndedByRouter() {
        String port = String.format(":%04X ", socket.getLocalPort());
        try {
            for (Path table : TCP_TABLES) {
                boolean ended = Files.readAllLines(table).stream().map(line -> line.strip().split("\\s+"))
                        .anyMatch(row -> row.length > STATE && (row[LOCAL] + " ").endsWith(port) && row[STATE].equals(CLOSE_WAIT));
                if (ended) {
                    return true;
                }
            }
        } catch (IOException e) {
            // no such table: nothing is known
        }
        return false;
    }

    /** Waits so long without a request; true where the connection is still open then. */
    boolean rest(long ms) {
        try {
            socket.setSoTimeout((int) Math.max(1, ms));
            socket.getInputStream().read();
        } catch (SocketTimeoutException e) {
            return true;
        } catch (IOException e) {
            // a reset is an end, too
        }
        close();
        return false;
    }

    /** Reads the answer to a request, whose time is up at {@code by}. */
    Answer answer(long byNs) throws IOException {
        InputStream in = socket.getInputStream();
        String head;
        try {
            head = head(in, byNs + GRACE_MS * 1_000_000);
        } catch (SocketTimeoutException e) {
            return new Answer(SoakRequest.End.SILENT, "", true, "no answer in time");
        } catch (IOException e) {
            return new Answer(SoakRequest.End.CLOSED, "", true, String.valueOf(e.getMessage()));
        }
        if (head == null) {
            return new Answer(SoakRequest.End.CLOSED, "", true, "end");
        }
        if (!head.matches("(?s)HTTP/1\\.1 \\d{3} .*")) {
            return new Answer(SoakRequest.End.GARBLED, "", true, head);
        }
        int status = Integer.parseInt(head.substring(9, 12));
        boolean closes = "close".equalsIgnoreCase(SoakReplicas.field(head, "Connection"));
        if (status == 200) {
            return events(in, closes);
        }
        in.readNBytes(Integer.parseInt(String.valueOf(SoakReplicas.field(head, "Content-Length"))));
        return new Answer(status == 429 || status == 503 ? SoakRequest.End.REFUSED : SoakRequest.End.FAILED, "", closes, String.valueOf(status));
    }

    /** A head up to its empty line; null at the end of the connection. */
    private String head(InputStream in, long byNs) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
            socket.setSoTimeout((int) Math.max(1, (byNs - System.nanoTime()) / 1_000_000));
            int c = in.read();
            if (c < 0) {
                return null;
            }
            head.append((char) c);
        }
        return head.toString();
    }

    private Answer events(InputStream in, boolean closes) throws IOException {
        StringBuilder events = new StringBuilder();
        socket.setSoTimeout(SILENCE_MS);
        try {
            while (true) {
                int size = Integer.parseInt(line(in), 16);
                events.append(new String(in.readNBytes(size), StandardCharsets.US_ASCII));
                line(in);
                if (size == 0) {
                    return new Answer(SoakRequest.End.SERVED, events.toString(), closes, "");
                }
            }
        } catch (SocketTimeoutException e) {
            return new Answer(SoakRequest.End.SILENT, events.toString(), true, "a stream went silent");
        } catch (IOException | NumberFormatException e) {
            return new Answer(SoakRequest.End.CUT, events.toString(), true, String.valueOf(e.getMessage()));
        }
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new IOException("closed within a stream");
            }
            if (c != '\r') {
                line.append((char) c);
            }
        }
        return line.toString();
    }

    @Override public void close() {
        if (closedAt == 0) {
            closedAt = System.nanoTime();
        }
        try {
            socket.close();
        } catch (IOException e) {
            // it has ended
        }
    }
}
