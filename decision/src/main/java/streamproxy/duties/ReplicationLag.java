package streamproxy.duties;

/**
 * How long a member's replica has been behind what the member was told by the others: a disk that is full, or a link on
 * which nothing of the log comes. It has no clock; one thread at a time may use it.
 */
public final class ReplicationLag {
    private static final long NONE = Long.MIN_VALUE;

    private long applied = -1;
    private long waitsFor;
    private long since = NONE;

    /** An answer told of that place of the log. */
    public void told(long now, long place) {
        if (since == NONE && place > applied) {
            since = now;
            waitsFor = place;
        }
    }

    /** The replica has applied what is at that place. */
    public void applied(long place) {
        applied = place;
        if (since != NONE && applied >= waitsFor) {
            since = NONE;
        }
    }

    /** For how long it has been behind; 0 where it is not. */
    public long behindNs(long now) { return since == NONE ? 0 : now - since; }
}
