package streamproxy.protocol;

/** An event or a comment of an answer's stream, unchanged, with the empty line that ends it, and what it says. */
public record StreamPiece(byte[] bytes, EventContent content) {
    static StreamPiece of(byte[] event) { return new StreamPiece(event, EventContent.of(event)); }
}
