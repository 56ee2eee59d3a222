package streamproxy.streams;

/**
 * The proof that an answer's stream is complete, which {@link StreamProgress} alone gives: without it no client's answer is
 * ended with the last chunk.
 */
public final class CompleteStream {
    private final long bytes;

    CompleteStream(long bytes) { this.bytes = bytes; }

    /** The bytes of all its events and comments: its client must have got as many. */
    public long bytes() { return bytes; }
}
