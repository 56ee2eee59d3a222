package streamproxy.protocol;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import streamproxy.streams.EventAllowance;

/**
 * Cuts the chunked body of an answer into its events, each with the empty line that ends it. An event that takes long to come
 * is handed out in parts.
 */
public final class EventStream {
    private static final int MOST_EVENT = 256 * 1024;
    private static final int BUFFER = 4 * 1024;
    /** An event that has been coming for so long is handed out as far as it has come. */
    private static final long PART_AFTER_NS = TimeUnit.MILLISECONDS.toNanos(100);
    /** The same for the first event: up to then a spoilt answer leaves its request to another attempt. */
    private static final long FIRST_PART_AFTER_NS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final byte[] DATA = "data:".getBytes(StandardCharsets.US_ASCII);

    private final HttpReader source;
    private final byte[] buffer = new byte[BUFFER];
    private int next;
    private int end;
    /** The event that is coming, without what of it is still in the buffer. */
    private final ByteArrayOutputStream event = new ByteArrayOutputStream(0);
    private int handedOut; // bytes of that event
    private long beganAt; // when its first byte was there, or reading was resumed within it
    private boolean lineEmpty = true;
    private boolean begun;
    private boolean lastChunkRead;
    private boolean endedWithinEvent;

    /** The answer's head has been read; its chunked body follows. */
    public EventStream(HttpReader from) {
        source = from;
        from.startChunks();
    }

    /** It was not read for a while, for want of room at its client: the time of the event that is coming begins anew. */
    public void resumes() { beganAt = System.nanoTime(); }

    /** Its client has got the first event, or a part of it. */
    public void begins() { begun = true; }

    /**
     * The next event, or a part of one, unchanged; null after the last chunk. What stands behind the last event is one, too.
     *
     * @param silenceNs how long the next byte may take
     * @throws SocketTimeoutException where none has come by then, or where the event takes longer than any may
     */
    public StreamPiece next(long silenceNs) throws IOException {
        if (lastChunkRead) {
            return null; // what comes next on the connection is another answer's
        }
        if (event.size() == 0) {
            beganAt = System.nanoTime(); // unless nothing of it has come yet
        }
        int from = next;
        while (true) {
            if (next == end) {
                event.write(buffer, from, next - from);
                if (isDueInParts()) {
                    return StreamPiece.part(rest());
                }
                if (!fill(silenceNs)) {
                    return behindLastEvent();
                }
                from = 0;
            }
            byte b = buffer[next++];
            int size = event.size() + next - from;
            if (b == '\n') {
                if (lineEmpty && size > 2) {
                    event.write(buffer, from, next - from);
                    return whole();
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

    /** Reads what comes next into the empty buffer; false after the last chunk. */
    private boolean fill(long silenceNs) throws IOException {
        long waitNs = silenceNs;
        if (event.size() > 0) {
            waitNs = Math.min(waitNs, beganAt + allowanceNs() - System.nanoTime());
            if (waitNs <= 0) {
                throw new SocketTimeoutException("an event takes too long");
            }
        }
        int n = source.chunkWithin(buffer, waitNs);
        lastChunkRead = n < 0;
        next = 0;
        end = Math.max(0, n);
        if (event.size() == 0) {
            beganAt = System.nanoTime();
        }
        return n >= 0;
    }

    /** How long the event that is coming may take; what is no data need not be waited for while another attempt is free. */
    private long allowanceNs() { return begun || isData() ? EventAllowance.ns(event.size()) : FIRST_PART_AFTER_NS; }

    private boolean isDueInParts() {
        if (event.size() == handedOut) {
            return false;
        }
        long comingNs = System.nanoTime() - beganAt;
        return begun ? comingNs >= PART_AFTER_NS : comingNs >= FIRST_PART_AFTER_NS && isData();
    }

    /** Whether the event that is coming has data, as far as it has come. */
    private boolean isData() {
        byte[] all = event.toByteArray();
        return all.length > DATA.length && Arrays.equals(all, 0, DATA.length, DATA, 0, DATA.length);
    }

    /** What of the event that is coming has not been handed out. */
    private byte[] rest() {
        byte[] all = event.toByteArray();
        byte[] rest = handedOut == 0 ? all : Arrays.copyOfRange(all, handedOut, all.length);
        handedOut = all.length;
        return rest;
    }

    private StreamPiece whole() {
        EventContent content = EventContent.of(event.toByteArray());
        StreamPiece piece = new StreamPiece(rest(), content, true);
        event.reset();
        handedOut = 0;
        lineEmpty = true;
        return piece;
    }

    /** After the last chunk: whether that came behind a part of an event. Comments need no empty line behind them. */
    public boolean endedWithinEvent() { return endedWithinEvent; }

    /** What stood between the last event and the last chunk; null where nothing did. */
    private StreamPiece behindLastEvent() {
        if (event.size() == 0) {
            return null;
        }
        byte[] all = event.toByteArray();
        EventContent content = EventContent.of(all);
        endedWithinEvent = all[all.length - 1] != '\n' || !content.isComment();
        return endedWithinEvent ? null : new StreamPiece(rest(), content, true);
    }
}
