package streamproxy.protocol;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Cuts the chunked body of an answer into its events, each with the empty line that ends it. */
public final class EventStream {
    private static final byte[] NONE = {};
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

    /** The next event, unchanged; null after the last chunk. What stands behind the last event is one, too. */
    public byte[] next(long silenceNs) throws IOException {
        byte[] before = NONE; // what came of it in earlier reads
        boolean lineEmpty = true;
        int from = next;
        while (true) {
            if (next == end) {
                before = joined(before, from);
                int n = source.chunk(buffer, 0, buffer.length, silenceNs);
                if (n < 0) {
                    return before.length > 0 ? before : null;
                }
                next = 0;
                from = 0;
                end = n;
            }
            byte b = buffer[next++];
            int size = before.length + next - from;
            if (b == '\n') {
                if (lineEmpty && size > 2) {
                    return joined(before, from);
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

    /** That and what the buffer has from there to where it is read. */
    private byte[] joined(byte[] before, int from) {
        byte[] all = Arrays.copyOf(before, before.length + next - from);
        System.arraycopy(buffer, from, all, before.length, next - from);
        return all;
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
