package streamproxy.decision;

import static streamproxy.decision.Rig.MS;
import static streamproxy.decision.Rig.S;
import static streamproxy.decision.Rig.ready;
import static streamproxy.decision.Rig.safe;
import static streamproxy.decision.Rig.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTimeout;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import streamproxy.decision.Routing.Health;
import streamproxy.decision.Routing.ListForm;
import streamproxy.decision.Routing.Reports;
import org.junit.jupiter.api.Test;

/** Settings unlike the deployments that the module was scored on. */
class GeneralityTest {
    @Test void oneReplicaAndOneGatewayServe() {
        Rig rig = new Rig(settings(0, 1, Reports.SILENT, false, safe())).list(ListForm.FULL, ready(1));
        for (int i = 0; i < 10; i++) {
            rig.arrive(i, i, 1000, 900).serve(i).pass(50 * MS);
        }
        assertEquals(10, rig.count("send"));
    }

    @Test void whereGatewaysAreFarMoreThanReplicasEachStillEnlists() {
        for (int me = 0; me < 200; me += 37) {
            Rig rig = new Rig(settings(me, 200, Reports.PULL, false, safe()));
            rig.list(ListForm.FULL, ready(1), ready(2), ready(3), ready(4), ready(5)).report(4, 0);
            rig.arrive(10, 0, 1000, 0);
            assertEquals(4, rig.sentTo(10, 0), "gateway " + me);
        }
    }

    @Test void theOwnZoneGoesFirstAndTheOtherServesWhenItIsGone() {
        Routing.Endpoint[] fleet = new Routing.Endpoint[20];
        for (int i = 0; i < fleet.length; i++) {
            fleet[i] = new Routing.Endpoint(i + 1, 1, i % 2, 0, 0, 0, Health.READY);
        }
        Rig rig = new Rig(settings(0, 1, Reports.SILENT, false, safe())).list(ListForm.FULL, fleet);
        int near = 0;
        for (int i = 0; i < 100; i++) {
            rig.arrive(i, 0, 1000, 0);
            near += rig.sentTo(i, 0) % 2 == 1 ? 1 : 0; // odd ids are in zone 0
            rig.serve(i).pass(20 * MS);
        }
        assertTrue(near > 90, "near " + near);
        rig.list(ListForm.FULL, fleet[1], fleet[3]);
        rig.arrive(500, 0, 1000, 0);
        assertEquals(0, rig.sentTo(500, 0) % 2);
    }

    @Test void aLargeFleetCostsLittleForEachRequest() {
        Routing.Endpoint[] fleet = new Routing.Endpoint[3000];
        for (int i = 0; i < fleet.length; i++) {
            fleet[i] = ready(1 + 7L * i);
        }
        assertTimeout(Duration.ofSeconds(20), () -> {
            Rig rig = new Rig(settings(3, 40, Reports.SILENT, false, safe())).list(ListForm.FULL, fleet);
            for (int i = 0; i < 3000; i++) {
                rig.arrive(i, 1 + i % 50, 2000, 1500).serve(i);
                rig.now += 5 * MS;
                rig.actions.clear();
            }
        });
    }

    @Test void aFleetOfColdReplicasHoldsAndServesInItsTurns() {
        Rig rig = new Rig(settings(0, 1, Reports.SILENT, false, safe()));
        rig.list(ListForm.FULL, Rig.at(1, 0, rig.now, Health.READY), Rig.at(2, 0, rig.now, Health.READY));
        for (int i = 0; i < 100; i++) {
            rig.arrive(i, 0, 1000, 0).pass(100 * MS);
        }
        rig.pass(9 * S);
        assertTrue(rig.count("send") > 0 && rig.count("send") < 100, "sent " + rig.count("send"));
        for (int i = 0; i < 100; i++) {
            String id = " " + i;
            assertTrue(rig.actions.contains("refuse" + id) || rig.actions.contains("fail" + id), "answered" + id);
        }
    }
}
