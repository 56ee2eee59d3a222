package streamproxy.routing;

/** Why a client's connection ended, for logs and counters. */
enum CloseReason {
    /** The client closed or reset it, or left in the middle of an exchange. */
    CLIENT_LEFT,
    /** It waited for a request for as long as it may, or its client closed it while it waited. */
    IDLE_ENDED,
    /** The answer that it carried announced the close, or a stream on it broke. */
    ANSWERED,
    /** Clients are being sent away, or the process is shutting down. */
    DRAINED,
    /** Its place was given to another connection. */
    EVICTED,
    /** There was no room for its request. */
    NO_ROOM,
    /** Its request could not be read, or not in time. */
    BAD_REQUEST,
    /** An exchange on it ended with an exception. */
    FAILED
}
