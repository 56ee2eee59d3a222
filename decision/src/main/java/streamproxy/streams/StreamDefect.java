package streamproxy.streams;

/** Why an answer's stream is not complete. */
public enum StreamDefect {
    /** Its last chunk came before any event. */
    NO_EVENT,
    /** Its text ended without a reason to finish. */
    NO_FINISH,
    /** It ended without its usage. */
    NO_USAGE,
    /** Its last chunk came before {@code [DONE]}. */
    NO_DONE,
    /** Its last chunk came within an event, or an event holds an object that is not closed. */
    CUT_EVENT,
    /** An event told of a failure. */
    ERROR_EVENT,
    /** An event came behind {@code [DONE]}. */
    EVENT_BEHIND_DONE,
    /** Its bytes are no chunks or no events. */
    MALFORMED,
    /** Nothing came for too long. */
    SILENT,
    /** Its connection ended. */
    CONNECTION_ENDED,
    /** This router failed within it. */
    ROUTER_FAILED;

    /** Whether the event that shows it is passed on: it tells the client what went wrong. */
    public boolean isPassedOn() { return this == ERROR_EVENT; }
}
