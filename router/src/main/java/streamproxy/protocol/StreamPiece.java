package streamproxy.protocol;

import java.util.Arrays;

/**
 * An event or a comment of an answer's stream, unchanged, with the empty line that ends it, or a part of one.
 *
 * @param content   what the event says that ends with this piece; nothing for another part
 * @param endsEvent whether an event or a comment ends with this piece
 */
public record StreamPiece(byte[] bytes, EventContent content, boolean endsEvent) {
    /** Some of an event that is still coming. */
    static StreamPiece part(byte[] bytes) { return new StreamPiece(bytes, EventContent.NOTHING, false); }

    /** Whether it is a comment that says nothing to its client. */
    public boolean isComment() { return endsEvent && content.isComment(); }

    /** The same with those bytes before it. */
    public StreamPiece behind(byte[] before) {
        if (before.length == 0) {
            return this;
        }
        byte[] together = Arrays.copyOf(before, before.length + bytes.length);
        System.arraycopy(bytes, 0, together, before.length, bytes.length);
        return new StreamPiece(together, content, endsEvent);
    }
}
