package streamproxy.lab.soak;

/** A rule that a run broke, and what shows it. */
record SoakBreak(Rule rule, String text) {
    /** What is judged. */
    enum Rule {
        /** A request was read and its connection closed with no answer, or none came in time. */
        UNANSWERED,
        /** An answer is not what the replica made for that request. */
        WRONG_ANSWER,
        /** The end of a stream that is not complete reached its client late. */
        ENDED_LATE,
        /** A replica was sent bytes that are no client's request in its form. */
        FOREIGN_BYTES,
        /** A request that a replica had got was sent again by another client, and served. */
        RAN_AGAIN,
        /** A request ran again where the class that it came with allows no repeat, or not any more. */
        REPEATED,
        /** A replica was told of more time than its client had left. */
        DEADLINE,
        /** An attempt began after its client had gone. */
        BEGUN_FOR_NOBODY,
        /** An attempt reached a replica long after the list had told that it drains or has gone. */
        DRAINED_REPLICA,
        /** Operators found a connection or a yes 4 s after quiesce, or no yes 2 s after resume. */
        DRAIN,
        /** An operator's call had no answer, or a wrong one. */
        OPERATOR_CALL,
        /** The process did not start, ended by itself, or failed. */
        PROCESS,
        /** The process did not end though nothing was under way any more. */
        HUNG,
        /** The process held more memory than its configuration states. */
        MEMORY,
        /** The process itself counted a rule that was broken. */
        COUNTED
    }

    @Override public String toString() { return rule + ": " + text; }
}
