package streamproxy.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import streamproxy.lab.Setup;

/** A few routers over many replicas, from fixed seeds; dozens over thousands are played by hand with {@code lab soak --replicas}. */
class LargeFleetSoakIntegrationTest {
    private static final Path JAR = Path.of("../router/target/streamproxy.jar");
    private static final long[] SEEDS = {71, 72};
    private static final int ROUTERS = 6;
    private static final int REPLICAS = 1_600;

    @Test @Timeout(300) void noRouterBreaksARuleWhileThreadsRunShortAndTheListTurnsOver() throws Exception {
        for (long seed : SEEDS) {
            FleetSoak.Outcome outcome = new LargeFleetSoak(seed, ROUTERS, REPLICAS, SoakCommand.command(JAR, Setup.FLAGS),
                    Files.createTempDirectory("large-fleet-soak")).play();
            assertEquals(List.of(), outcome.breaks(), "seed " + seed);
            assertTrue(outcome.served() > 0, "seed " + seed + " served something");
        }
    }

    @Test void aSeedDrawsTheSameBirthsAndShortages() {
        for (long seed = 1; seed <= 50; seed++) {
            assertEquals(Birth.of(seed), Birth.of(seed));
            assertEquals(FaultPlan.withThreadShortage(seed), FaultPlan.withThreadShortage(seed));
        }
    }
}
