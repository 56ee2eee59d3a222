package streamproxy.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import streamproxy.lab.Setup;

/** Small fleets under faults, drawn from fixed seeds; larger ones are played by hand with {@code lab soak --routers}. */
class FleetSoakIntegrationTest {
    private static final Path JAR = Path.of("../router/target/streamproxy.jar");
    private static final long[] SEEDS = {41, 42, 43};
    private static final int ROUTERS = 6;

    @Test @Timeout(300) void noRouterBreaksARuleWhileItsSystemCallsFail() throws Exception {
        for (long seed : SEEDS) {
            FleetSoak.Outcome outcome = new FleetSoak(seed, FleetSoak.draw(seed, ROUTERS), SoakCommand.command(JAR, Setup.FLAGS),
                    Files.createTempDirectory("fleet-soak")).play();
            assertEquals(List.of(), outcome.breaks(), "seed " + seed);
            assertTrue(outcome.served() > 0, "seed " + seed + " served something");
        }
    }

    @Test void aPlanThatIsWrittenDownIsReadAsItWas() throws Exception {
        for (long seed = 1; seed <= 50; seed++) {
            FaultPlan plan = FaultPlan.of(seed);
            assertEquals(plan, FaultPlan.of(seed), "the same seed draws the same");
            assertEquals(plan, FaultPlan.read(plan.events().stream().map(Object::toString).toList()));
            assertTrue(plan.callsFail());
        }
    }

    @Test void aLineThatIsNoFaultIsNamed() {
        for (String line : List.of("at=1 for=2 call=FORK errno=EIO most=0 delay=0 every=1", "at=1 for=2 call=READ errno=EWHAT most=0 delay=0 every=1",
                "at=1 for=2 call=READ errno=EIO most=0 delay=0 every=0", "for=2 stall", "at=x for=2 stall", "noise")) {
            FaultPlan.Malformed e = assertThrows(FaultPlan.Malformed.class, () -> FaultPlan.read(List.of(line)));
            assertTrue(e.getMessage().contains(line), e.getMessage());
        }
    }
}
