package streamproxy.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import streamproxy.lab.Setup;

/** Some lives of the soak, drawn from fixed seeds; many more are played by hand with {@code lab soak}. */
class SoakIntegrationTest {
    private static final Path JAR = Path.of("../router/target/streamproxy.jar");
    private static final long FIRST_SEED = 101;
    private static final int LIVES = 8;
    private static final int AT_ONCE = 2;

    @Test void noLifeBreaksARule() throws Exception {
        List<SoakRun.Outcome> outcomes = SoakCommand.play(JAR, Setup.FLAGS, FIRST_SEED, LIVES, AT_ONCE, Files.createTempDirectory("soak"));
        assertEquals(LIVES, outcomes.size());
        for (SoakRun.Outcome outcome : outcomes) {
            assertEquals(List.of(), outcome.breaks(), "seed " + outcome.seed());
            assertTrue(outcome.served() > 0, "seed " + outcome.seed() + " served something");
        }
    }

    @Test void theSameSeedDrawsTheSamePlan() {
        for (long seed = 1; seed <= 50; seed++) {
            assertEquals(SoakPlan.of(seed), SoakPlan.of(seed));
        }
        assertTrue(java.util.stream.LongStream.rangeClosed(1, 50).mapToObj(SoakPlan::of).anyMatch(plan -> plan.crowd() > 0), "some have a crowd");
    }
}
