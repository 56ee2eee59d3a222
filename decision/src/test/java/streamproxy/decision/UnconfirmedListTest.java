package streamproxy.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static streamproxy.decision.Rig.MS;
import static streamproxy.decision.Rig.S;
import static streamproxy.decision.Rig.ready;
import static streamproxy.decision.Rig.safe;
import static streamproxy.decision.Rig.settings;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import streamproxy.decision.Routing.Health;
import streamproxy.decision.Routing.ListForm;
import streamproxy.decision.Routing.Outcome;
import streamproxy.decision.Routing.Reports;

/** What the module sends while its list is unconfirmed. */
class UnconfirmedListTest {
    private static final long PROOF = 6 * S;

    private static Rig three(Reports reports) {
        return new Rig(settings(0, 1, reports, true, safe())).list(ListForm.CACHED, ready(1), ready(2), ready(3));
    }

    private static Rig lapse(Rig rig) {
        rig.on(new Routing.ListLease(rig.now, rig.now, PROOF));
        return rig.pass(10 * MS);
    }

    @Test void onlyAReplicaThatAnswersAProbeWellGetsAnything() {
        Rig rig = lapse(three(Reports.PULL)).arrive(10, 0, 1000, 0);
        assertEquals(List.of(), rig.sends(10));
        assertTrue(rig.count("probe") > 1, "those drawn are asked");
        rig.on(new Routing.Probed(1, Outcome.ERROR, MS, null)).report(2, 0);
        assertEquals(List.of(2L), rig.sends(10));
    }

    @Test void anAnswerToAProbeThatWasAskedBeforeTheWatchEndedProvesNothing() {
        Rig rig = three(Reports.PULL);
        rig.on(new Routing.ListLease(rig.now, rig.now, PROOF)).report(2, 0).arrive(10, 0, 1000, 0); // asked 1 ms before
        assertEquals(List.of(), rig.sends(10));
    }

    @Test void aProofLapses() {
        Rig rig = lapse(three(Reports.PULL)).report(2, 0).pass(PROOF - 2 * MS).arrive(10, 0, 1000, 0).pass(8 * S);
        assertEquals(List.of(), rig.sends(10), "nobody answered a probe since");
        assertEquals(1, rig.count("refuse 10"), "and it is refused as its time ends");
    }

    @Test void aReplicaThatTurnsAProbeDownHasProvedNothingAnyMore() {
        Rig rig = lapse(three(Reports.PULL)).report(2, 0).on(new Routing.Probed(2, Outcome.ERROR, MS, null)).arrive(10, 0, 1000, 0);
        assertEquals(List.of(), rig.sends(10));
    }

    @Test void aReplicaThatStartedAnewHasProvedNothing() {
        Rig rig = lapse(three(Reports.PULL)).report(2, 0).list(ListForm.DELTA, Rig.at(2, 0, 900 * S, Health.READY));
        rig.arrive(10, 0, 1000, 0);
        assertEquals(List.of(), rig.sends(10));
    }

    @Test void withoutLoadReportsReplicasAreAskedAllTheSame() {
        Rig rig = new Rig(settings(0, 1, Reports.PIGGYBACK, true, safe())).list(ListForm.CACHED, ready(1));
        lapse(rig).arrive(10, 0, 1000, 0);
        assertEquals(1, rig.count("probe 1"));
        rig.on(new Routing.Probed(1, Outcome.OK, MS, null)).pass(100 * MS);
        assertEquals(List.of(1L), rig.sends(10));
    }

    @Test void whatWaitsIsSentOnceTheListIsConfirmed() {
        Rig rig = lapse(three(Reports.SILENT)).arrive(10, 0, 1000, 0);
        assertEquals(List.of(), rig.sends(10), "no probes are allowed here");
        rig.on(new Routing.ListLease(rig.now + PROOF, rig.now, PROOF));
        assertEquals(1, rig.sends(10).size());
    }

    @Test void anAttemptMayBeginOnlyAsLongAsWhatIsKnownBinds() {
        Rig rig = three(Reports.PULL).report(2, 0).report(1, 9_000).report(3, 9_000);
        rig.on(new Routing.ListLease(rig.now + 200 * MS, rig.now, PROOF)).arrive(10, 0, 1000, 0);
        assertEquals(200 * MS, rig.beginWithin);
        lapse(rig).report(3, 0).arrive(11, 0, 1000, 0);
        assertEquals(PROOF - MS, rig.beginWithin);
    }

    @Test void thatAndHowLongTheListWasUnconfirmedIsTold() {
        Rig rig = lapse(three(Reports.PULL)).report(2, 0).arrive(10, 0, 1000, 0).pass(S);
        rig.on(new Routing.ListLease(rig.now + PROOF, rig.now, PROOF)).pass(S);
        assertEquals(List.of("unconfirmed", "confirmed 1010 1"),
                rig.actions.stream().filter(a -> a.contains("confirmed")).toList());
    }

    /** Whatever comes in whatever order: no attempt without the list's word or a proof that binds. */
    @Property(seed = "38", tries = 200) void noAttemptBeginsWithoutAConfirmedListOrAProof(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Rig rig = new Rig(settings(0, 4, Reports.PULL, true, safe()), seed);
        rig.list(ListForm.CACHED, ready(1), ready(2), Rig.at(3, 0, rig.now, Health.READY), ready(4));
        Routing.ListLease lease = new Routing.ListLease(rig.now, rig.now, PROOF);
        rig.on(lease);
        Map<Long, Long> proven = new HashMap<>();
        for (int i = 0; i < 300; i++) {
            rig.pass(random.nextInt(400) * MS);
            assertVouchedFor(rig, lease, proven);
            long replica = 1 + random.nextInt(4);
            switch (random.nextInt(6)) {
                case 0 -> {
                    lease = new Routing.ListLease(rig.now + (random.nextInt(4) - 2) * S, rig.now - random.nextInt(3) * S, PROOF);
                    rig.on(lease);
                }
                case 1, 2 -> {
                    proven.put(replica, rig.now - MS);
                    rig.report(replica, random.nextInt(3) * 1_000);
                }
                case 3 -> {
                    proven.remove(replica);
                    rig.on(new Routing.Probed(replica, Outcome.ERROR, MS, null));
                }
                default -> rig.arrive(1_000 + i, random.nextInt(2), 1000, random.nextInt(2) * 500);
            }
            assertVouchedFor(rig, lease, proven);
        }
    }

    /** Looks at all attempts since the last look. */
    private static void assertVouchedFor(Rig rig, Routing.ListLease lease, Map<Long, Long> proven) {
        for (Rig.Send send : rig.sent) {
            Long at = proven.get(send.replica());
            boolean byProof = at != null && at >= lease.provenSince() && send.at() < at + PROOF;
            assertTrue(send.at() < lease.listUntil() || byProof, send + ", the list until " + lease.listUntil());
        }
        rig.sent.clear();
    }
}
