package streamproxy.routing;

/** Who waits for the answer to one request; each protocol spoken with clients has its own. */
public interface Client {
    /** Final answer: turned away. Does not wait. */
    void refused(long retryAfterNs);

    /** Final answer: failed. Does not wait. */
    void failed();

    /** Passes an event on, waiting while the client is slow; false where it has left or does not read. */
    boolean event(byte[] event);

    /** The stream is whole. */
    void ended();

    /** The stream broke: the client must not take it for a whole one. */
    void broken();
}
