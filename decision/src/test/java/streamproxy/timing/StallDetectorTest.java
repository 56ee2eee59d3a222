package streamproxy.timing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import streamproxy.timing.StallDetector.Found;

class StallDetectorTest {
    private static final long LOOK = 250;
    private final StallDetector turning = new StallDetector(1_000, LOOK);
    private long now;

    private Found after(long ns, long turns, boolean due) { return turning.look(now += ns, turns, due); }

    @Test void whoStandsStillForTooLongIsToldOnceAndThatItTurnsAgainOnce() {
        assertEquals(Found.NOTHING, after(LOOK, 1, true));
        for (int i = 0; i < 3; i++) {
            assertEquals(Found.NOTHING, after(LOOK, 1, true));
        }
        assertEquals(Found.STANDS, after(LOOK, 1, true));
        assertEquals(1_000, turning.stoodNs());
        assertEquals(Found.NOTHING, after(LOOK, 1, true));
        assertEquals(Found.TURNS_AGAIN, after(LOOK, 2, true));
        assertEquals(Found.NOTHING, after(LOOK, 3, true));
    }

    @Test void whoHasNothingToDoMayRest() {
        for (int i = 0; i < 100; i++) {
            assertEquals(Found.NOTHING, after(LOOK, 1, false));
        }
        assertEquals(Found.NOTHING, after(LOOK, 1, true), "what was rest does not count");
    }

    @Test void whileNobodyCouldLookNobodyIsAtFault() {
        after(LOOK, 1, true);
        assertEquals(Found.NOTHING, after(60_000, 1, true), "the process was stopped for that long");
        assertEquals(Found.NOTHING, after(LOOK, 1, true));
        assertEquals(Found.STANDS, after(LOOK, 1, true));
    }

    @Test void itMustBeLookedAtOftenEnough() { assertThrows(IllegalArgumentException.class, () -> new StallDetector(100, 250)); }
}
