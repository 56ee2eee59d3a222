package streamproxy.timing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import streamproxy.timing.StallDetector.ParsedMessage;

class StallDetectorTest {
    private static final long LOOK = 250;
    private final StallDetector turning = new StallDetector(1_000, LOOK);
    private long now;

    private ParsedMessage after(long ns, long turns, boolean due) { return turning.look(now += ns, turns, due); }

    @Test void whoStandsStillForTooLongIsToldOnceAndThatItTurnsAgainOnce() {
        assertEquals(ParsedMessage.NOTHING, after(LOOK, 1, true));
        for (int i = 0; i < 3; i++) {
            assertEquals(ParsedMessage.NOTHING, after(LOOK, 1, true));
        }
        assertEquals(ParsedMessage.STANDS, after(LOOK, 1, true));
        assertEquals(1_000, turning.stoodNs());
        assertEquals(ParsedMessage.NOTHING, after(LOOK, 1, true));
        assertEquals(ParsedMessage.TURNS_AGAIN, after(LOOK, 2, true));
        assertEquals(ParsedMessage.NOTHING, after(LOOK, 3, true));
    }

    @Test void whoHasNothingToDoMayRest() {
        for (int i = 0; i < 100; i++) {
            assertEquals(ParsedMessage.NOTHING, after(LOOK, 1, false));
        }
        assertEquals(ParsedMessage.NOTHING, after(LOOK, 1, true), "what was rest does not count");
    }

    @Test void whileNobodyCouldLookNobodyIsAtFault() {
        after(LOOK, 1, true);
        assertEquals(ParsedMessage.NOTHING, after(60_000, 1, true), "the process was stopped for that long");
        assertEquals(ParsedMessage.NOTHING, after(LOOK, 1, true));
        assertEquals(ParsedMessage.STANDS, after(LOOK, 1, true));
    }

    @Test void itMustBeLookedAtOftenEnough() { assertThrows(IllegalArgumentException.class, () -> new StallDetector(100, 250)); }
}
