package streamproxy.protocol;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Cuts the chunked body of an answer into its events, each with the empty line that ends it. */
public final class EventStream {
    private static final int MOST_EVENT = 256 * 1024;

    private final HttpReader source;
    private final byte[] buffer = new byte[4096];
    private int next;
    private int end;

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
    public byte[] next(long silenceNs) throws IOException {
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
                    return before.size() > 0 ? before.toByteArray() : null;
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
                        return Arrays.copyOfRange(buffer, from, next);
                    }
                    before.write(buffer, from, next - from);
                    return before.toByteArray();
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

    /** Whether an event has text of the answer: it is data, and not the word that ends the stream. */
    public static boolean isText(byte[] event) {
        return event.length > 6 && event[0] == 'd' && event[4] == ':' && event[5 + (event[5] == ' ' ? 1 : 0)] != '[';
    }

    /** The prompt tokens that the model box found kept, where this event tells them; else -1. */
    public static double keptTokens(byte[] event) {
        String text = new String(event, StandardCharsets.UTF_8);
        if (!text.contains("\"usage\"") || !text.startsWith("data:")) {
            return -1;
        }
        try {
            Object usage = Json.object(Json.parse(text.substring(5).strip())).get("usage");
            Object details = Json.object(usage).get("prompt_tokens_details");
            return Json.number(Json.object(details).get("cached_tokens"), -1);
        } catch (Json.Malformed e) {
            return -1; // the text of an answer may hold the word
        }
    }
}
