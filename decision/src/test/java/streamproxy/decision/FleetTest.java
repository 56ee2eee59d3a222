package streamproxy.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static streamproxy.decision.Rig.MS;
import static streamproxy.decision.Rig.S;
import static streamproxy.decision.Rig.ready;
import static streamproxy.decision.Rig.safe;
import static streamproxy.decision.Rig.settings;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.LongStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import streamproxy.decision.Routing.Health;
import streamproxy.decision.Routing.ListForm;
import streamproxy.decision.Routing.Outcome;
import streamproxy.decision.Routing.Reports;

/** What many routers do together that share nothing. */
class FleetTest {
    /** What replicas of three kinds can do, beside each other. */
    private static final double[] KINDS = {0.6, 1, 1.8};

    /** Else a fleet of ten times the size costs a hundred times the probes. */
    @Test void probesAndListCallsGrowWithRequestsAndRoutersNotWithRoutersTimesBoxes() {
        for (int routers : new int[] {2, 14, 100}) {
            for (int boxes : new int[] {15, 60}) {
                Fleet fleet = Fleet.of(routers, boxes, 5);
                fleet.run(10 * S, 100);
                String what = routers + " routers, " + boxes + " boxes: " + fleet.probes.size();
                assertEquals(routers, fleet.calls.size(), "one watch each");
                assertTrue(fleet.probes.size() <= fleet.requests + 10 * routers, what);
                assertTrue(fleet.probes.size() >= boxes, what + ", each box is looked at");
            }
        }
    }

    /** What restarts in one moment would else reach the service and the boxes as one burst. */
    @Test void routersThatStartTogetherNeitherCallNorProbeAtOneInstant() {
        Fleet fleet = Fleet.of(100, 60, 11);
        fleet.run(5 * S + 150 * MS, 0);
        assertEquals(100, fleet.calls.size());
        assertTrue(Fleet.most(fleet.calls, 100 * MS) <= 15, "calls in 100 ms: " + Fleet.most(fleet.calls, 100 * MS));
        assertTrue(fleet.probes.size() <= 100 * 10, "probes " + fleet.probes.size());
        assertTrue(Fleet.most(fleet.probes, Fleet.STEP) <= 30, "probes in 10 ms: " + Fleet.most(fleet.probes, Fleet.STEP));
    }

    /**
     * What the list's service has to tell counts as told 6 s after it can be asked, so that two calls have to fit in that, the
     * first of which may hang (ServiceDiscoveryTest has the parts); nor may a hundred routers ask at one instant, or so often
     * that a service which is short of time never comes to one that still waits.
     */
    @Test void callsThatFailAreMadeAgainInTimeAndStaySpreadAndBounded() {
        Fleet fleet = Fleet.of(100, 60, 12);
        fleet.listAnswers = false;
        fleet.run(10 * S, 0);
        fleet.calls.clear();
        fleet.run(20 * S, 0);
        assertTrue(fleet.longestPause() <= 2_500 * MS + 150 * MS, "a pause of " + fleet.longestPause() / MS + " ms");
        assertTrue(fleet.calls.size() <= 100 * 20 / 1.875, "calls in 20 s: " + fleet.calls.size());
        assertTrue(Fleet.most(fleet.calls, S) <= 100 / 1.25, "calls in 1 s: " + Fleet.most(fleet.calls, S));
        assertTrue(Fleet.most(fleet.calls, 100 * MS) <= 20, "calls in 100 ms: " + Fleet.most(fleet.calls, 100 * MS));
        fleet.listAnswers = true;
        fleet.calls.clear();
        fleet.run(2_650 * MS, 0);
        assertEquals(100, fleet.calls.size(), "once it answers again each has asked it once more");
    }

    /**
     * With pauses of 1.5 s at most sixty-seven routers that started together kept the service's places taken for good: each
     * that was let in waited longer than the service bears, and none was told anything any more (herd+mass).
     */
    @Test void routersThatStartTogetherAreAllToldByAServiceThatIsShortOfTime() {
        for (double perS : new double[] {12, 14, 20}) {
            for (int seed = 0; seed < 5; seed++) {
                Fleet fleet = Fleet.of(67, 60, 100 + seed).withListService(perS, (int) (2.1 * perS));
                long began = fleet.now;
                fleet.run(14 * S, 0);
                String what = perS + " a second, seed " + (100 + seed) + ": ";
                assertEquals(67, fleet.toldAt.size(), what + "told at all");
                long late = fleet.toldAt.values().stream().filter(at -> at - began > 6 * S).count();
                assertEquals(0, late, what + "told after 6 s");
            }
        }
    }

    /** Routers that share nothing and take no notice of each other: what they send adds up. */
    private static void assertWithinChance(Fleet fleet, int cold, long born, double warmPerS) {
        Routing.Rules rules = settings(0, 1, Reports.PULL, true, safe()).rules();
        for (long id = 1; id <= cold; id++) {
            List<Long> times = fleet.sent.getOrDefault(id, List.of());
            for (long at : times) {
                double budget = rules.tipMultiple() * warmPerS * fleet.size(id) * fleet.can(id, at) * rules.fallNs() / S;
                long got = times.stream().filter(t -> t >= at && t < at + rules.fallNs()).count();
                assertTrue(got <= budget + 2 * Math.sqrt(budget) + 2, got + " calls in the window at " + id + ", whose budget is "
                        + budget + " " + (at - born) / MS + " ms after its start");
            }
        }
    }

    /**
     * Beyond a cold replica's budget of N calls in the window only 2 x root of N + 2 are put down to chance, whatever the
     * number of routers: with traffic of all of which the warm ones can do half or three times as much as they can, unevenly
     * spread, while routers restart in the middle of the ramp and several replicas start at once, of one kind or of three that
     * can do more and less: each has the budget of what it can do itself.
     */
    @Property(seed = "30", tries = 80) void beyondItsBudgetAColdReplicaGetsNoMoreThanChanceOfAllRoutersTogether(@ForAll long seed,
            @ForAll @IntRange(min = 0, max = 3) int size, @ForAll @IntRange(min = 1, max = 12) int cold,
            @ForAll @IntRange(min = 1, max = 6) int halves, @ForAll boolean restarts, @ForAll boolean kinds) {
        int routers = new int[] {2, 14, 30, 100}[size];
        int count = 20;
        double warmPerS = 10;
        Fleet fleet = Fleet.of(routers, count, seed, kinds ? KINDS : new double[] {1}).withPace(warmPerS).unevenly();
        double perS = halves / 2.0 * warmPerS * LongStream.rangeClosed(cold + 1, count).mapToDouble(fleet::size).sum();
        fleet.run(4 * S, perS);
        long born = fleet.now;
        for (long id = 1; id <= cold; id++) {
            fleet.startAgain(id);
        }
        fleet.sent.clear();
        for (int i = 0; i < 10; i++) {
            for (int n = 0; restarts && n < routers * (i % 5 == 2 ? 0.7 : 0.1); n++) {
                fleet.restart(fleet.random.nextInt(routers), routers);
            }
            fleet.run(S, perS);
        }
        assertWithinChance(fleet, cold, born, warmPerS);
    }

    /** Held to so little that it is safe anyhow, a cold replica would be of no use while it warms up. */
    @Property(seed = "31", tries = 12) void whereThereIsMoreToDoThanTheWarmOnesCanAColdReplicaGetsMostOfWhatItCan(@ForAll long seed,
            @ForAll @IntRange(min = 0, max = 3) int size, @ForAll @IntRange(min = 1, max = 6) int cold) {
        int routers = new int[] {2, 14, 30, 100}[size];
        int count = 20;
        double warmPerS = 10;
        Fleet fleet = Fleet.of(routers, count, seed).withPace(warmPerS).unevenly();
        fleet.run(4 * S, warmPerS * count);
        long born = fleet.now;
        for (long id = 1; id <= cold; id++) {
            fleet.tell(Rig.at(id, 0, born, Health.READY));
        }
        fleet.sent.clear();
        fleet.run(20 * S, warmPerS * count);
        double could = 0;
        double got = 0;
        for (long id = 1; id <= cold; id++) {
            for (long at = born; at < fleet.now; at += Fleet.STEP) {
                could += warmPerS * fleet.can(id, at) * Fleet.STEP / S;
            }
            got += fleet.sent.getOrDefault(id, List.of()).size();
        }
        assertTrue(got > could / 2, "they got " + got + " and could do " + could);
    }

    /**
     * The sixth part to six tenths of the boxes fall silent and come back cold, and most routers restart at one moment. The rule's
     * words: work sent within its window stays under the multiple of what the cold box can do, with a little for chance; by each
     * router's own rule, by shares of stewards, and by both while stewards have restarted.
     */
    @Property(seed = "16", tries = 100) void coldBoxesGetWhatTheyCanBearOfAllRoutersTogether(@ForAll long seed,
            @ForAll @IntRange(min = 1, max = 3) int size, @ForAll @IntRange(min = 3, max = 12) int cold, @ForAll boolean stewards) {
        int routers = size == 1 ? 2 : size == 2 ? 14 : 40;
        int count = 20;
        double perS = 100;
        Fleet fleet = Fleet.of(routers, count, seed);
        fleet.run(8 * S, perS);
        long born = fleet.now;
        for (long id = 1; id <= cold; id++) {
            fleet.tell(Rig.at(id, 0, born, Health.READY));
        }
        fleet = stewards ? fleet.withStewards() : fleet;
        fleet.sent.clear();
        int wave = fleet.random.nextInt(10);
        for (int i = 0; i < 10; i++) {
            for (int n = i == wave ? 0 : routers; n < routers * 10 / 14; n++) { // as a release that goes wrong
                fleet.restart(fleet.random.nextInt(routers), routers);
            }
            fleet.run(S, perS);
        }
        assertEquals(stewards, fleet.granted > 0);
        Routing.Rules rules = settings(0, 1, Reports.PULL, true, safe()).rules();
        double canWarm = perS / (count / 2.0); // half of them would just bear it all
        for (long id = 1; id <= cold; id++) {
            List<Long> times = fleet.sent.getOrDefault(id, List.of());
            assertTrue(times.size() > 1, "box " + id + " of " + cold + " stood idle");
            for (long at : times) {
                double can = canWarm * (rules.startCapacity() + (1 - rules.startCapacity()) * (at + rules.fallNs() - born) / rules.rampNs());
                long got = times.stream().filter(t -> t >= at && t < at + rules.fallNs()).count();
                assertTrue(got <= rules.tipMultiple() * can * rules.fallNs() / S + 2,
                        got + " within 1 s at box " + id + ", which could do " + can + ", " + (at - born) / MS + " ms after its start");
            }
        }
    }

    /**
     * Five zones each had replicas of their own for a beginning of thousands of tokens: five times as many beginnings to keep
     * as there is memory for, and each was read anew where another zone had it.
     */
    @Test void routersOfAllZonesFindTheSameHomesForABeginningWithoutTalking() {
        Routing.Endpoint[] boxes = new Routing.Endpoint[20];
        for (int i = 0; i < boxes.length; i++) {
            boxes[i] = new Routing.Endpoint(i + 1, 1, i % 5, 0, 0, 0, Health.READY);
        }
        Set<Long> homes = new HashSet<>();
        for (int zone = 0; zone < 5; zone++) {
            Routing.Settings s = settings(zone, 5, Reports.PULL, false, safe());
            Rig rig = new Rig(new Routing.Settings(zone, 5, zone, s.classes(), s.tenants(), s.overShareWorth(), s.reports(), s.listOnRequest(),
                    s.rules(), s.limits(), s.prices(), s.weights()), 70 + zone);
            rig.list(ListForm.FULL, boxes);
            for (int i = 0; i < 200; i++) {
                for (Routing.Endpoint box : boxes) {
                    rig.report(box.id(), 0);
                }
                rig.arrive(i, i % 50 == 49 ? 7 : 1_000 + i, 7_000, 6_000);
                if (i % 50 == 49) {
                    homes.add(rig.sentTo(i, 0));
                }
                rig.serve(i).pass(20 * MS);
            }
        }
        assertTrue(homes.size() <= 2, "homes of one beginning: " + homes);
    }

    /** What is known of one that is gone, and what still comes of it, is not held against the one at its place. */
    @Test void reportsAndFailuresOfOneThatIsGoneAreNotTakenForTheOnesThatCome() {
        Rig rig = new Rig(settings(0, 1, Reports.PULL, false, safe()));
        rig.list(ListForm.FULL, ready(1), ready(2)).report(1, 0).report(2, 90_000).arrive(10, 0, 1000, 0);
        assertEquals(1, rig.sentTo(10, 0));
        rig.list(ListForm.DELTA, Rig.at(1, 0, 0, Health.GONE), ready(3)).report(3, 0);
        rig.ended(10, 0, Outcome.ERROR, true).on(new Routing.Probed(1, Outcome.TIMEOUT, MS, null)).report(1, 0);
        for (int i = 20; i < 24; i++) {
            rig.report(1, 0).report(2, 90_000).report(3, 0).arrive(i, 0, 1000, 0);
            assertEquals(List.of(3L), rig.sends(i), "the new one serves, the old one is on no list");
            rig.serve(i);
        }
    }
}
