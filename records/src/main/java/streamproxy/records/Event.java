package streamproxy.records;

import java.util.List;

/**
 * Something that happened, as plain data: made where it happened, put into words by {@link EventFormatter} elsewhere. Times of
 * day are milliseconds since 1970 (UTC), durations nanoseconds; a duration or count that is not known is negative.
 */
public sealed interface Event {
    /** How much an event is worth keeping where not all can be: the first goes first. */
    enum Rank { ATTEMPTS, ANSWERS, REFUSALS, STATE }

    /** The kinds of records; their words are syslog's MSGIDs. */
    enum Kind {
        ATTEMPT(Rank.ATTEMPTS), ANSWER(Rank.ANSWERS), REFUSAL(Rank.REFUSALS), FAILURE(Rank.REFUSALS), BOX(Rank.STATE),
        LIST(Rank.STATE), RELOAD(Rank.STATE), PHASE(Rank.STATE), QUEUE(Rank.STATE), PROBE(Rank.ATTEMPTS),
        STANDSTILL(Rank.STATE), DUTY(Rank.STATE), RULE(Rank.STATE);

        private final Rank rank;

        Kind(Rank rank) { this.rank = rank; }

        public Rank rank() { return rank; }

        /** As it is written. */
        public String word() { return name().toLowerCase(java.util.Locale.ROOT); }
    }

    /** When it happened. */
    long atMs();

    Kind kind();

    /** How a request ended for its client. */
    enum Final {
        /** With a whole stream. */
        SERVED(Kind.ANSWER),
        /** With a stream that broke off. */
        BROKEN(Kind.FAILURE),
        /** Turned away: trying again is harmless. */
        REFUSED(Kind.REFUSAL),
        /** With an error that promises nothing about its effect. */
        FAILED(Kind.FAILURE),
        /** Its client had gone before. */
        LEFT(Kind.FAILURE);

        private final Kind kind;

        Final(Kind kind) { this.kind = kind; }

        public String word() { return name().toLowerCase(java.util.Locale.ROOT); }
    }

    /** One attempt of a request: the box, how it ended, why that box was chosen, and the time that it took. */
    record Tried(String box, String outcome, String decision, long tookNs) { }

    /**
     * What became of a request.
     *
     * @param id         the client's own name for it
     * @param key        what it shares with others of its session; 0 where it has none
     * @param box        the box whose stream it got; empty where there was none
     * @param decision   why that box was chosen, or why the request was turned away
     * @param budgetNs   how long the client would wait
     * @param waitNs     from its last byte until it was sent to the box that served
     * @param connectNs  from then until its bytes were written there
     * @param firstNs    from its last byte until the first event of its answer
     * @param wholeNs    from its last byte until its end
     * @param tokens     tokens that its answer told
     * @param keptTokens tokens of its beginning that the box still had
     * @param bytes      bytes of the answer's events
     * @param retryNs    what a client that was turned away was told to wait
     */
    record Answered(long atMs, String id, String clazz, String tenant, long key, Final how, String box, String decision,
            List<Tried> attempts, long budgetNs, long waitNs, long connectNs, long firstNs, long wholeNs, long tokens,
            long keptTokens, long bytes, long retryNs) implements Event {
        public Answered { attempts = List.copyOf(attempts); }

        @Override public Kind kind() { return how.kind; }
    }

    /** An attempt has ended, its request may go on; {@code reportNs} is the age of the report that its box was chosen by. */
    record AttemptEnded(long atMs, String id, int number, Tried tried, long reportNs) implements Event {
        @Override public Kind kind() { return Kind.ATTEMPT; }
    }

    /** A box was asked how it fares; the outcome is an attempt's. */
    record Probed(long atMs, String box, String outcome, long tookNs) implements Event {
        @Override public Kind kind() { return Kind.PROBE; }
    }

    /** A box came, drains, is gone, was left out or taken back; {@code state} has the word. */
    record BoxChanged(long atMs, String box, String endpoint, String state, String why) implements Event {
        @Override public Kind kind() { return Kind.BOX; }
    }

    /** The box list has said something: its form, how many entries it named, how many boxes are known now. */
    record ListChanged(long atMs, String form, int named, int known) implements Event {
        @Override public Kind kind() { return Kind.LIST; }
    }

    /** The configuration was read anew; {@code why} says what was wrong with it, and is empty where nothing was. */
    record Reloaded(long atMs, String why) implements Event {
        @Override public Kind kind() { return Kind.RELOAD; }
    }

    /** The program has entered a phase of its life. */
    record PhaseEntered(long atMs, String phase, String after) implements Event {
        @Override public Kind kind() { return Kind.PHASE; }
    }

    /**
     * An actor, or the whole process, has not turned for so long, or turns again after so long; {@code where} is the top
     * of its thread's stack, empty where that is not known.
     */
    record Standstill(long atMs, String who, boolean stands, long forNs, String where) implements Event {
        @Override public Kind kind() { return Kind.STANDSTILL; }
    }

    /** A duty that this router seeks among its fleet stands otherwise than before; {@code fence} is what its acts bear. */
    record DutyChanged(long atMs, String duty, String state, String before, long fence) implements Event {
        @Override public Kind kind() { return Kind.DUTY; }
    }

    /** A rule was broken for that request. */
    record RuleBroken(long atMs, String rule, String id) implements Event {
        @Override public Kind kind() { return Kind.RULE; }
    }

    /**
     * What became of records on their way to a collector since its last such record.
     *
     * @param sent     handed to the transport
     * @param dropped  given up for want of room or time, by {@link Kind#ordinal}
     * @param waiting  in the queue now
     * @param connects connections made
     */
    record QueueState(long atMs, String collector, long sent, List<Long> dropped, int waiting, long connects) implements Event {
        public QueueState { dropped = List.copyOf(dropped); }

        @Override public Kind kind() { return Kind.QUEUE; }
    }
}
