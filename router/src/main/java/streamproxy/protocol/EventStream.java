package streamproxy.protocol;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** Cuts the chunked body of an answer into its events, each with the empty line that ends it. */
public final class EventStream {
    private static final int MOST_EVENT = 256 * 1024;

    private final HttpReader from;
    private final byte[] buffer = new byte[4096];
    private int next;
    private int end;

    /** The answer's head has been read; its chunked body follows. */
    public EventStream(HttpReader from) {
        this.from = from;
        from.startChunks();
    }

    /** The next event, unchanged; null after the last chunk. What stands behind the last event is one, too. */
    public byte[] next(long silenceNs) throws IOException {
        ByteArrayOutputStream event = new ByteArrayOutputStream(256);
        boolean lineEmpty = true;
        while (true) {
            if (next == end) {
                int n = from.chunk(buffer, 0, buffer.length, silenceNs);
                if (n < 0) {
                    return event.size() > 0 ? event.toByteArray() : null;
                }
                next = 0;
                end = n;
            }
            byte b = buffer[next++];
            event.write(b);
            if (b == '\n') {
                if (lineEmpty && event.size() > 2) {
                    return event.toByteArray();
                }
                lineEmpty = true;
            } else if (b != '\r') {
                lineEmpty = false;
            }
            if (event.size() > MOST_EVENT) {
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
