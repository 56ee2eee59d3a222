package streamproxy.protocol;

import java.util.Arrays;

/** An event or a comment of an answer's stream, unchanged, with the empty line that ends it, and what it says. */
public record StreamPiece(byte[] bytes, EventContent content) {
    static StreamPiece of(byte[] event) { return new StreamPiece(event, EventContent.of(event)); }

    /** The same with those bytes before it. */
    public StreamPiece behind(byte[] before) {
        if (before.length == 0) {
            return this;
        }
        byte[] together = Arrays.copyOf(before, before.length + bytes.length);
        System.arraycopy(bytes, 0, together, before.length, bytes.length);
        return new StreamPiece(together, content);
    }
}
