package streamproxy.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class RecoveringLimitTest {
    private static final long STEP = RecoveringLimit.RISES_EVERY_NS;

    @Property(seed = "47") void aLoweredLimitIsBackAtWhatWasConfiguredInOneStepMoreThanItsSteps(@ForAll @IntRange(min = 1, max = 100_000) int configured,
            @ForAll @IntRange(min = 0, max = 100_000) int lowered) {
        RecoveringLimit limit = new RecoveringLimit(configured);
        limit.lower(lowered, 0);
        int before = limit.get();
        assertTrue(before >= 1 && before <= configured);
        for (long at = STEP / 2; limit.isLowered(); at += STEP / 2) {
            limit.rise(at);
            assertTrue(limit.get() >= before, "it never falls by itself");
            before = limit.get();
            assertTrue(at <= (RecoveringLimit.STEPS * 2L + 1) * STEP, "it rises within twice its steps");
        }
        assertEquals(configured, limit.get());
    }

    @Test void itRisesByTheStepsThatAreDueAndSaysOnceThatItIsBack() {
        RecoveringLimit limit = new RecoveringLimit(64);
        limit.lower(60, 0);
        assertFalse(limit.rise(STEP - 1));
        assertEquals(60, limit.get());
        assertFalse(limit.rise(STEP));
        assertEquals(62, limit.get());
        assertTrue(limit.rise(5 * STEP));
        assertEquals(64, limit.get());
        assertFalse(limit.rise(6 * STEP));
    }

    @Test void anotherConfigurationIsInForceAtOnce() {
        RecoveringLimit limit = new RecoveringLimit(64);
        limit.lower(10, 0);
        limit.configure(50);
        assertEquals(50, limit.get());
        assertFalse(limit.rise(100 * STEP));
    }
}
