package streamproxy.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static streamproxy.decision.Rig.MS;
import static streamproxy.decision.Rig.S;
import static streamproxy.decision.Rig.ready;
import static streamproxy.decision.Rig.safe;
import static streamproxy.decision.Rig.settings;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import streamproxy.decision.Routing.Health;
import streamproxy.decision.Routing.ListForm;
import streamproxy.decision.Routing.Reports;

/** Where prompts go whose shared beginning is long: to the same few replicas, whatever becomes of these. */
class PrefixesTest {
    private static final int REPLICAS = 20;
    private static final double PROMPT = 7_000;
    private static final double SHARED = 6_000;

    private int requests;

    private static Rig rig() {
        Routing.Endpoint[] all = new Routing.Endpoint[REPLICAS];
        for (int i = 0; i < REPLICAS; i++) {
            all[i] = ready(i + 1);
        }
        return new Rig(settings(0, 2, Reports.PULL, false, safe())).list(ListForm.FULL, all);
    }

    /** All replicas tell that nothing waits there, but those that are asked for more. */
    private static void report(Rig rig, Map<Long, Double> unread) {
        for (long id = 1; id <= REPLICAS; id++) {
            rig.report(id, unread.getOrDefault(id, 0.0));
        }
    }

    /** Where a prompt with that beginning goes, of a session of its own. */
    private long ask(Rig rig, long prefix, Map<Long, Double> unread) {
        int id = ++requests;
        report(rig, unread);
        rig.on(new Routing.Arrival(id, rig.classAt(0), 0, Routing.mix(id), prefix, PROMPT, SHARED, 100, 8 * S, -1, false));
        if (rig.actions.contains("refuse " + id)) { // shed, as some are while several replicas in a row tell a backlog
            return ask(rig, prefix, unread);
        }
        long to = rig.sentTo(id, 0);
        rig.serve(id).pass(20 * MS);
        rig.actions.clear();
        return to;
    }

    /** Where each of so many rare beginnings goes. */
    private Map<Long, Set<Long>> homes(Rig rig, int prefixes) {
        Map<Long, Set<Long>> homes = new HashMap<>();
        for (int round = 0; round < 4; round++) {
            for (long prefix = 1; prefix <= prefixes; prefix++) {
                homes.computeIfAbsent(prefix, p -> new HashSet<>()).add(ask(rig, prefix, Map.of()));
            }
        }
        return homes;
    }

    /** Each prompt keeps its replica behind for a while: a third of the traffic is more than two replicas can do. */
    @Test void aRareBeginningHasTwoHomesAndAHotOneMore() {
        Rig rig = rig();
        homes(rig, 100).values().forEach(homes -> assertTrue(homes.size() <= 2, "homes " + homes));
        Map<Long, Double> unread = new HashMap<>();
        Map<Long, Integer> hot = new HashMap<>();
        Set<Long> rare = new HashSet<>();
        for (int i = 0; i < 600; i++) {
            long prefix = i % 3 == 0 ? 9_999 : i % 30 == 1 ? 7_777 : 1 + i % 100;
            long to = ask(rig, prefix, unread);
            unread.replaceAll((id, tokens) -> Math.max(0, tokens - 400));
            unread.merge(to, 4_000.0, Double::sum);
            if (prefix == 9_999) {
                hot.merge(to, 1, Integer::sum);
            } else if (prefix == 7_777) {
                rare.add(to);
            }
        }
        long used = hot.values().stream().filter(times -> times >= 5).count();
        assertTrue(used >= 5, "a third of the traffic has " + hot);
        assertTrue(rare.size() <= 4, "a thirtieth of it has " + rare);
    }

    @Test void whereAHomeDrainsOnlyWhatItKeptMoves() {
        Rig rig = rig();
        Map<Long, Set<Long>> before = homes(rig, 100);
        rig.list(ListForm.DELTA, Rig.at(7, 0, 0, Health.DRAINING));
        Map<Long, Set<Long>> after = homes(rig, 100);
        int moved = 0;
        for (long prefix = 1; prefix <= 100; prefix++) {
            assertFalse(after.get(prefix).contains(7L), "a draining one gets nothing");
            Set<Long> strange = new HashSet<>(after.get(prefix));
            strange.removeAll(before.get(prefix));
            boolean wasThere = before.get(prefix).contains(7L);
            assertTrue(wasThere || strange.isEmpty() || before.get(prefix).size() < 2, "moved without need: " + prefix);
            moved += wasThere ? 1 : 0;
        }
        assertTrue(moved > 3 && moved < 20, "of 100 beginnings with two homes among 20: " + moved);
    }

    @Test void aHomeThatComesBackColdIsNotDrawnBeforeItIsWarm() {
        Rig rig = rig();
        homes(rig, 100); // else the one beginning would be all of the traffic
        long prefix = 42;
        long home = ask(rig, prefix, Map.of());
        rig.list(ListForm.DELTA, Rig.at(home, 0, rig.now, Health.READY));
        int there = 0;
        for (int i = 0; i < 100; i++) { // 2 s of a ramp of 20
            there += ask(rig, prefix, Map.of()) == home ? 1 : 0;
        }
        assertTrue(there <= 4, "a cold replica has its turns and no more: " + there + " of 100");
        rig.pass(20 * S);
        homes(rig, 100);
        Map<Long, Double> behind = new HashMap<>();
        long to = ask(rig, prefix, behind);
        while (to != home && behind.size() < 5) { // its homes, one after the other
            behind.put(to, 60_000.0);
            to = ask(rig, prefix, behind);
        }
        assertEquals(home, to, "warm again, it is a home again");
    }

    @Test void ofTwoHomesTheOneThatIsFarBehindIsPassedOver() {
        Rig rig = rig();
        homes(rig, 100);
        for (long prefix = 1; prefix <= 10; prefix++) {
            long first = ask(rig, prefix, Map.of());
            long second = ask(rig, prefix, Map.of(first, 60_000.0));
            assertTrue(first != second, "another home");
            for (int i = 0; i < 5; i++) {
                assertEquals(second, ask(rig, prefix, Map.of(first, 60_000.0)));
                assertEquals(first, ask(rig, prefix, Map.of(second, 60_000.0)));
            }
        }
    }

    /** Shedding goes by class: within one, a prompt five times as long is let through as often. */
    @Test void underABacklogTheLongestPromptsStillGetTheirShare() {
        Rig rig = rig();
        Map<Long, Double> allBehind = new HashMap<>();
        for (long id = 1; id <= REPLICAS; id++) {
            allBehind.put(id, 90_000.0);
        }
        for (int i = 0; i < 2; i++) {
            report(rig, allBehind);
        }
        int[] shed = new int[2];
        for (int i = 0; i < 1_000; i++) {
            int id = ++requests;
            rig.on(new Routing.Arrival(id, rig.classAt(0), 0, Routing.mix(id), 1 + i % 100, i % 2 == 0 ? 2_000 : 10_000, 1_500, 100, 8 * S, -1, false));
            shed[i % 2] += rig.actions.contains("refuse " + id) ? 1 : 0;
        }
        assertTrue(shed[0] > 100 && shed[1] > 100, "shed of 500 each: " + shed[0] + ", " + shed[1]);
        assertTrue(Math.abs(shed[0] - shed[1]) < 100, "shed of 500 each: " + shed[0] + ", " + shed[1]);
    }
}
