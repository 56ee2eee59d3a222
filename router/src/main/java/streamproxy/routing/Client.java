package streamproxy.routing;

import streamproxy.protocol.StreamPiece;
import streamproxy.streams.CompleteStream;

/** Who waits for the answer to one request; each protocol spoken with clients has its own. */
public interface Client {
    /** What an event has found. */
    enum Room {
        /** It was taken, and there is room for more. */
        MORE,
        /** It was taken, and no more may come until there is room again. */
        FULL,
        /** The client has left or does not read. */
        GONE
    }

    /**
     * Whether the client still waits for its answer to begin, as its connection shows at this moment; any thread may ask,
     * and need not wait. Asked last thing before an attempt's first byte: for who has left nothing is sent.
     */
    default boolean isWaiting() { return true; }

    /** Final answer: turned away. Does not wait. */
    void refused(long retryAfterNs);

    /** Final answer: failed. Does not wait. */
    void failed();

    /**
     * Passes a piece of the stream on, without waiting. Where that leaves no room, {@code whenRoom} is run once: when there is room
     * again, or when the client has gone; on a thread that must not be kept.
     */
    Room event(StreamPiece piece, Runnable whenRoom);

    /** How long the next event may take before the stream counts as silent, in nanoseconds. */
    long silenceNs();

    /** The stream has come to its end, as its proof says. */
    void ended(CompleteStream proof);

    /** The stream broke: the client must not take it for a whole one. */
    void broken();
}
