package streamproxy.protocol;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Arrays;

/** Cuts the chunked body of an answer into its events, each with the empty line that ends it. */
public final class EventStream {
    private static final int MOST_EVENT = 256 * 1024;

    private final HttpReader source;
    private final byte[] buffer = new byte[4096];
    private int next;
    private int end;
    private boolean lastChunkRead;
    private boolean endedWithinEvent;

    /** The answer's head has been read; its chunked body follows. */
    public EventStream(HttpReader from) {
        source = from;
        from.startChunks();
    }

    /**
     * The next event, unchanged; null after the last chunk. What stands behind the last event is one, too.
     *
     * @param silenceNs how long the whole event may take: a byte now and then is no event, and its client waits for one
     * @throws java.net.SocketTimeoutException where it is not whole by then
     */
    public StreamPiece next(long silenceNs) throws IOException {
        if (lastChunkRead) {
            return null; // what comes next on the connection is another answer's
        }
        long by = System.nanoTime() + silenceNs;
        // What came of it in earlier reads; it grows by doubling, since a box may send a long event byte by byte.
        ByteArrayOutputStream before = new ByteArrayOutputStream(0);
        boolean lineEmpty = true;
        int from = next;
        while (true) {
            if (next == end) {
                before.write(buffer, from, next - from);
                int n = source.chunk(buffer, 0, buffer.length, by);
                if (n < 0) {
                    lastChunkRead = true;
                    return rest(before.toByteArray());
                }
                next = 0;
                from = 0;
                end = n;
            }
            byte b = buffer[next++];
            int size = before.size() + next - from;
            if (b == '\n') {
                if (lineEmpty && size > 2) {
                    if (before.size() == 0) {
                        return StreamPiece.of(Arrays.copyOfRange(buffer, from, next));
                    }
                    before.write(buffer, from, next - from);
                    return StreamPiece.of(before.toByteArray());
                }
                lineEmpty = true;
            } else if (b != '\r') {
                lineEmpty = false;
            }
            if (size > MOST_EVENT) {
                throw new BadMessage(502, "event too large");
            }
        }
    }

    /** After the last chunk: whether that came behind a part of an event. Comments need no empty line behind them. */
    public boolean endedWithinEvent() { return endedWithinEvent; }

    /** What stood between the last event and the last chunk; null where nothing did. */
    private StreamPiece rest(byte[] rest) {
        if (rest.length == 0) {
            return null;
        }
        StreamPiece piece = StreamPiece.of(rest);
        endedWithinEvent = rest[rest.length - 1] != '\n' || !piece.content().says().isEmpty();
        return piece;
    }
}
