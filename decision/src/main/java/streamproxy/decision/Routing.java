package streamproxy.decision;

import java.util.List;
import java.util.Objects;

/**
 * The decision module's interface: settings, what a gateway is told (events), what it may do (actions).
 * Times are nanoseconds of the caller's clock; ids are opaque 64-bit numbers. Everything here is immutable.
 */
public final class Routing {
    private Routing() { }

    /** What a repeat of a request may do: nothing, nothing within a group and window, or harm. */
    public enum Effect { SAFE, KEYED, UNSAFE }

    /** Which replicas drop repeats of one keyed request. */
    public enum Group { ALL, ZONE, CELL }

    /** How load reports reach a gateway. */
    public enum Reports { PIGGYBACK, PULL, SILENT }

    /** What the weights of a replica list are. */
    public enum Weights {
        /** Always 1, or not told what. */
        SILENT(false),
        /** The registered size. */
        NOMINAL(true),
        /** About the size. */
        ROUGH(true),
        /** The size over the requests in hand, as of a while back: who was idle, not who can do much. */
        LIVE(false);

        private final boolean sizes;

        Weights(boolean sizes) { this.sizes = sizes; }

        /** Whether they tell what a replica can do, beside others. */
        public boolean areSizes() { return sizes; }
    }

    /** Health as the replica list gives it. */
    public enum Health { GONE, READY, DRAINING }

    /** Which kind of list event this is; FAILED carries no entries and leaves the list as it was. */
    public enum ListForm { DELTA, FULL, CACHED, FAILED }

    /** How an attempt or probe ended. */
    public enum Outcome {
        OK(false), ERROR(false), FULL(true), TIMEOUT(false), CONNECT_FAILED(true), RESET(false),
        CANCELLED(false), MOOT(true);

        private final boolean neverRan;

        Outcome(boolean neverRan) { this.neverRan = neverRan; }

        /** True where the outcome proves that the replica never ran the request. */
        public boolean neverRan() { return neverRan; }
    }

    /** Why a replica was chosen for an attempt, or a request turned away. */
    public enum Choice {
        /** Idle by its report, and it keeps the prompt's beginning. */
        KEEPER,
        /** Idle by its report, at the front of the list. */
        LIST,
        /** The best of some drawn at random. */
        DRAWN,
        /** A cold one's turn. */
        COLD_TURN,
        /** Turned away, as the fleet reports a backlog. */
        SHED,
        /** Out of attempts, of time, or of replicas where a repeat is harmless. */
        SPENT
    }

    /** One request class. Token figures are per prompt token; {@code lateWorth} is a share of the worth. */
    public record RequestClass(String name, Effect effect, Group group, long windowNs, long aimNs,
            double aimNsPerToken, long giveUpNs, double worth, double lateWorth, boolean stream) {
        public RequestClass {
            Objects.requireNonNull(effect, "effect");
            Objects.requireNonNull(group, "group");
            require(aimNs > 0, "aimNs");
            require(giveUpNs > 0, "giveUpNs");
        }
    }

    /** One tenant; the allowance is requests a second over all gateways, 0 where unknown. */
    public record Tenant(String name, double allowancePerS, double share) { }

    /** The figures behind the four rules. */
    public record Rules(long graceToAnswerNs, long stopSendingWithinNs, long askEveryNs, double startCapacity,
            long rampNs, double tipMultiple, long fallNs) { }

    /** What a gateway may do here. */
    public record Limits(int maxAttempts, boolean secondCopies, boolean cancel, boolean probes,
            boolean retryAfter, long maxRetryAfterNs) { }

    /** Prices, in shares of the whole result for each unit. */
    public record Prices(double waste, double probe, double crossZone, double handshake,
            double connection) { }

    /** All that a gateway is told at its start. */
    public record Settings(int me, int gateways, int zone, List<RequestClass> classes, List<Tenant> tenants,
            double overShareWorth, Reports reports, boolean listOnRequest, Rules rules, Limits limits,
            Prices prices, Weights weights) {
        public Settings {
            classes = List.copyOf(classes);
            tenants = List.copyOf(tenants);
            Objects.requireNonNull(reports, "reports");
            Objects.requireNonNull(rules, "rules");
            Objects.requireNonNull(limits, "limits");
            Objects.requireNonNull(prices, "prices");
            Objects.requireNonNull(weights, "weights");
            require(!classes.isEmpty(), "classes");
            require(gateways > 0 && me >= 0 && me < gateways, "me, gateways");
        }

        /** The same for a gateway that hears of the list only by asking for it. */
        public Settings askingForList() {
            return new Settings(me, gateways, zone, classes, tenants, overShareWorth, reports, true, rules, limits, prices,
                    weights);
        }
    }

    /** One line of the replica list; {@code bornNs} is 0 for a replica that has run for long. */
    public record Endpoint(long id, double weight, int zone, int cell, long bornNs, int kind, Health health) {
        public Endpoint { Objects.requireNonNull(health, "health"); }
    }

    /** A load report; a measure that was not reported is NaN. */
    public record LoadReport(double unreadTokens, double waiting, double inHand, double memoryShare,
            double busy, double latencyMs, double errorsPerS) { }

    /** Events, in the order in which they reach the gateway. */
    public sealed interface Event { }

    /** What discovery says. */
    public record ListChange(ListForm form, List<Endpoint> entries) implements Event {
        public ListChange {
            Objects.requireNonNull(form, "form");
            entries = List.copyOf(entries);
        }
    }

    /**
     * How long what this gateway knows of endpoints binds; a host that never tells it has a list that is always confirmed.
     *
     * @param listUntil   attempts may begin on the list's word before then
     * @param provenSince what an endpoint itself has proved counts if it was asked then or later
     * @param provenForNs for so long after it was asked
     * @param cutoffs     what ends the word of proofs sooner, in the order of time
     */
    public record ListLease(long listUntil, long provenSince, long provenForNs, List<Cutoff> cutoffs) implements Event {
        /** One without cutoffs. */
        public ListLease(long listUntil, long provenSince, long provenForNs) { this(listUntil, provenSince, provenForNs, List.of()); }
    }

    /**
     * A client's request, with its class as the settings had it when the request came: whatever settings come later, it
     * keeps that. Zero in {@code session} or {@code prefix} and a negative cost mean absent.
     */
    public record Arrival(long request, RequestClass clazz, int tenant, long session, long prefix, double promptTokens,
            double prefixTokens, double maxOut, long budgetNs, double costNs, boolean clientRetry)
            implements Event {
        public Arrival { Objects.requireNonNull(clazz, "clazz"); }
    }

    /** The answer's stream has begun. */
    public record FirstByte(long request, int attempt, long replica, long afterNs) implements Event { }

    /** How an attempt ended; {@code report} is null where none came along. */
    public record Ended(long request, int attempt, long replica, Outcome outcome, boolean last, long afterNs,
            double keptTokens, LoadReport report) implements Event {
        public Ended { Objects.requireNonNull(outcome, "outcome"); }
    }

    /** The client left, or its time is over: nothing more is owed. */
    public record Dropped(long request) implements Event { }

    /** A timer asked for with {@link Actions#timer} is due. */
    public record TimerDue(int token) implements Event { }

    /** Which replicas the gateway owns, from now on. */
    public record Owned(Owners owners) implements Event {
        public Owned { Objects.requireNonNull(owners, "owners"); }
    }

    /** How replicas are divided among gateways: each has all of them in an order of its own. */
    public interface Owners {
        int gateways();

        /** How many gateways stand before this one in that replica's order; from 0. */
        int place(long replica);

        /** Whether this gateway may act as an owner now. */
        default boolean may(long now) { return true; }
    }

    /** A ring of gateways that know their number and nothing else of each other. */
    public record Ring(int me, int gateways) implements Owners {
        @Override public int place(long replica) { return Math.floorMod(me - (int) Long.remainderUnsigned(mix(replica), gateways), gateways); }
    }

    /** Spreads a number over all bits. */
    static long mix(long x) {
        x = (x ^ x >>> 30) * 0xbf58476d1ce4e5b9L;
        x = (x ^ x >>> 27) * 0x94d049bb133111ebL;
        return x ^ x >>> 31;
    }

    /** So many prompts a second may go from this gateway to a cold replica until then, in place of the gateway's own rule. */
    public record Granted(long replica, double perS, long until) implements Event { }

    /**
     * What a replica was sent by this gateway while it was cold, for logs alone.
     *
     * @param forNs     since its start
     * @param size      what it can do once it is warm, beside others
     * @param sent      own prompts that went there
     * @param begun     own prompts that began there
     * @param arrivals  own prompts that came meanwhile
     * @param begunWarm own prompts that began at warm replicas meanwhile
     */
    public record WarmUp(long replica, long forNs, double size, int sent, int begun, int arrivals, int begunWarm) { }

    /** What a probe found; {@code report} is null where none came along. */
    public record Probed(long replica, Outcome outcome, long afterNs, LoadReport report) implements Event {
        public Probed { Objects.requireNonNull(outcome, "outcome"); }
    }

    /** What the module asks its host to do, carried out in the order of the calls. */
    public interface Actions {
        /** Starts an attempt; attempts of a request are numbered from 0 in the order of these calls. */
        void send(long request, long replica, long timeoutNs);

        /**
         * The same, where what is known of the replica binds for a while only.
         *
         * @param beginWithinNs the attempt's first byte goes out within so long, or never
         */
        default void send(long request, long replica, long timeoutNs, long beginWithinNs) { send(request, replica, timeoutNs); }

        void cancel(long request, int attempt);

        /** Final answer: turned away, and trying again is harmless. A wait of 0 gives no advice. */
        void refuse(long request, long retryAfterNs);

        /** Final answer: failed, with no promise about its effect. */
        void fail(long request);

        void timer(long afterNs, int token);

        void probe(long replica);

        /** Subscribes to the replica list. */
        void watchList();

        /** Asks for the whole replica list once. */
        void fetchList();

        void log(String line);

        /**
         * Why the next {@link #send} or the next final answer of that request is as it is, and how old the report was
         * that it went by, negative where there was none; for records alone.
         */
        default void chosen(long request, Choice why, long reportAgeNs) { }

        /**
         * A replica is cold, and can take that share of the prompts that warm replicas begin of all gateways; of this one's
         * so many a second lately. Told again and again while it is cold, to whoever divides that among gateways.
         */
        default void cold(long replica, double share, double begunPerS) { }

        /** From now on attempts go only to replicas that have proved to be ready, as the list is unconfirmed; for logs alone. */
        default void listUnconfirmed() { }

        /** The list is confirmed again, after so long and so many attempts that went by such proofs; for logs alone. */
        default void listConfirmed(long afterNs, long sentOnProof) { }

        /** A replica is warm now; for logs alone. */
        default void warmedUp(WarmUp summary) { }

        /** A replica gets nothing for a while, or something again; for records alone. */
        default void leftOut(long replica, boolean out) { }
    }

    private static void require(boolean ok, String what) {
        if (!ok) {
            throw new IllegalArgumentException("bad value: " + what);
        }
    }
}
