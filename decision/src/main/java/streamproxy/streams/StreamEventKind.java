package streamproxy.streams;

/** What one event of an answer's stream says, as the protocol page has it; an event may say several at once. */
public enum StreamEventKind {
    /** Some of the answer. */
    TEXT,
    /** Why the answer ends: a choice with a reason to finish. */
    FINISH,
    /** How many tokens the request took. */
    USAGE,
    /** No event follows: {@code [DONE]}. */
    DONE,
    /** The replica has failed within the answer. */
    ERROR,
    /** A JSON object that is not closed. */
    UNCLOSED
}
