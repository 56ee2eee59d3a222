package streamproxy.dispatch;

import java.util.Locale;

/** A rule on requests whose breaks are counted at run time. */
public enum Rule {
    /** A replica was told more time than the client had left when it had the request whole. */
    DEADLINE_TOLD,
    /** An attempt was whole at its replica after a repeat was harmless, or after its replica was known to be ready. */
    SENT_TOO_LATE,
    /** A request was about to get a second answer. */
    ANSWERED_TWICE,
    /** A request was read, and its connection ended without an answer though its client had not left. */
    CLOSED_UNANSWERED,
    /** The first answer came long after the client's time. */
    ANSWERED_LATE,
    /** A stream was about to be ended that is not complete, or not all of which its client was written. */
    ENDED_INCOMPLETE;

    /** As the log and records have it. */
    public String word() { return name().toLowerCase(Locale.ROOT); }
}
