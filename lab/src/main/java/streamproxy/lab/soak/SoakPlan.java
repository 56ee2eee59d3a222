package streamproxy.lab.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import streamproxy.lab.RepeatRule;

/**
 * One short life of a router, drawn from a seed: what operators and signals do to it and when, how long clients wait, and
 * who else holds connections. The same seed gives the same plan; how the events cross on real sockets differs each time.
 *
 * @param seed        what it was drawn from
 * @param deadlineMs  the class's deadline, the longest that a client states
 * @param clients     clients that ask and use their connections again
 * @param crowd       clients that connect and say nothing
 * @param events      what happens before the shutdown, in order
 * @param replaced    whether a second process is started beside the first before that is told to end
 * @param afterTerm   what comes after SIGTERM, in order
 * @param flood       what one client sends meanwhile as fast as it can
 * @param repeats     the rules for repeats of its class: that of the start, and that of each good reload before the shutdown
 */
record SoakPlan(long seed, long deadlineMs, int clients, int crowd, List<Event> events, boolean replaced, List<Event> afterTerm,
        SoakFlood.Kind flood, List<RepeatRule> repeats) {
    /** What is done to the process. */
    enum Kind {
        /** SIGHUP behind a new configuration that can be used. */
        RELOAD,
        /** SIGHUP behind a configuration that cannot. */
        BROKEN_RELOAD,
        /** An operator sends clients away. */
        QUIESCE,
        /** An operator takes them back. */
        RESUME,
        /** A whole drain: quiesce, look after 4 s as operators do, resume, look after 2 s. */
        DRAIN,
        /** An operator's call that is never whole. */
        HALF_CALL,
        /** SIGTERM. */
        TERMINATE
    }

    /** One event, so long after the one before. */
    record Event(Kind kind, long afterMs) { }

    private static final int CLIENTS = 24;
    private static final List<Integer> CROWDS = List.of(0, 0, 0, 200, 400);
    private static final long[] DEADLINES_MS = {800, 1_500, 2_200, 3_000};
    private static final int FLOOD_IN = 3; // one in so many lives
    private static final int LARGE_IN = 4; // one in so many of the others
    private static final List<SoakFlood.Kind> SMALL_FLOODS = List.of(SoakFlood.Kind.READY, SoakFlood.Kind.NO_TIME, SoakFlood.Kind.NEW_CLASSES,
            SoakFlood.Kind.ONE_ID, SoakFlood.Kind.NOISE);
    private static final int EVENTS_MOST = 5;
    private static final int PAUSE_MOST_MS = 1_200;
    private static final double DRAINED_SHARE = 0.6;
    private static final double REPLACED_SHARE = 0.25;
    private static final List<Kind> BEFORE = List.of(Kind.RELOAD, Kind.RELOAD, Kind.BROKEN_RELOAD, Kind.QUIESCE, Kind.RESUME, Kind.HALF_CALL);
    private static final List<Kind> AFTER = List.of(Kind.RELOAD, Kind.QUIESCE, Kind.RESUME, Kind.TERMINATE, Kind.HALF_CALL);

    SoakPlan {
        events = List.copyOf(events);
        afterTerm = List.copyOf(afterTerm);
        repeats = List.copyOf(repeats);
    }

    /** The same life with so many clients, a crowd in proportion, and no flood. */
    SoakPlan withClients(int fewer) {
        return new SoakPlan(seed, deadlineMs, fewer, crowd * fewer / CLIENTS, events, replaced, afterTerm, SoakFlood.Kind.NONE, repeats);
    }

    static SoakPlan of(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        long deadline = DEADLINES_MS[random.nextInt(DEADLINES_MS.length)];
        int crowd = CROWDS.get(random.nextInt(CROWDS.size()));
        List<Event> events = draw(random, BEFORE, random.nextInt(EVENTS_MOST + 1), PAUSE_MOST_MS);
        if (random.nextDouble() < DRAINED_SHARE) {
            events.add(random.nextInt(events.size() + 1), new Event(Kind.DRAIN, random.nextInt(PAUSE_MOST_MS)));
        }
        boolean replaced = random.nextDouble() < REPLACED_SHARE;
        List<Event> after = draw(random, AFTER, random.nextInt(3), PAUSE_MOST_MS / 2);
        return new SoakPlan(seed, deadline, CLIENTS, crowd, events, replaced, after, flood(new SplittableRandom(seed ^ 0xF100DL)),
                repeats(new SplittableRandom(seed ^ 0x4E9EA7L)));
    }

    private static List<RepeatRule> repeats(SplittableRandom random) {
        List<RepeatRule> rules = new ArrayList<>();
        for (int i = 0; i <= EVENTS_MOST; i++) {
            rules.add(RepeatRule.values()[random.nextInt(RepeatRule.values().length)]);
        }
        return rules;
    }

    private static SoakFlood.Kind flood(SplittableRandom random) {
        if (random.nextInt(FLOOD_IN) == 0) {
            return SMALL_FLOODS.get(random.nextInt(SMALL_FLOODS.size()));
        }
        return random.nextInt(LARGE_IN) == 0 ? SoakFlood.Kind.LARGE : SoakFlood.Kind.NONE;
    }

    private static List<Event> draw(SplittableRandom random, List<Kind> kinds, int count, int pauseMost) {
        List<Event> events = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            events.add(new Event(kinds.get(random.nextInt(kinds.size())), random.nextInt(pauseMost)));
        }
        return events;
    }
}
