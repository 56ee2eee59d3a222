package streamproxy.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import streamproxy.lifecycle.DrainState.Refusal;
import streamproxy.lifecycle.DrainState.Stage;

class DrainStateTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    /** Any moment of a monotonic clock, which may be negative and may wrap. */
    private static final long NOW = Long.MAX_VALUE - SECOND;
    private static final long LOOK_NS = 4 * SECOND;
    private static final long RECENT_NS = 2 * SECOND;

    @Test void aServingProcessKeepsConnectionsAndServesWhatComes() {
        DrainState state = DrainState.SERVING;
        assertFalse(state.closesAfterAnswer() || state.endsIdle());
        assertNull(state.refusal(NOW));
        assertEquals(NOW + 3 * SECOND, state.idleUntilNs(true, NOW, 3 * SECOND));
        assertEquals(NOW + 2 * SECOND, state.idleUntilNs(false, NOW, 2 * SECOND));
        assertEquals(NOW + SECOND, state.readUntilNs(NOW + SECOND, NOW));
    }

    @Test void aQuiescedProcessServesRequestsOfTheFirstMomentsAlone() {
        DrainState state = DrainState.SERVING.quiescedAt(NOW);
        assertTrue(state.closesAfterAnswer() && state.endsIdle() && state.endsBehindAnswer());
        assertEquals(NOW, state.idleUntilNs(true, NOW, 3 * SECOND));
        assertNull(state.refusal(NOW + DrainState.REQUEST_GRACE_NS - 1));
        assertEquals(Refusal.QUIESCED, state.refusal(NOW + DrainState.REQUEST_GRACE_NS));
        assertTrue(DrainState.REQUEST_GRACE_NS < LOOK_NS - RECENT_NS, "none of the last two seconds when operators look");
    }

    /**
     * A request whose first byte comes when it would be refused is not waited for, or operators find it half written. One that was
     * begun before has until a second before they look, so that its client hears of the refusal behind its last byte.
     */
    @Test void aQuiescedProcessDoesNotWaitForRequestsThatItWouldRefuse() {
        DrainState state = DrainState.SERVING.quiescedAt(NOW);
        long usual = 5 * SECOND / 2;
        for (long after = 0; after <= 5 * SECOND; after += SECOND / 10) {
            long begun = NOW + after;
            long latest = after < DrainState.REQUEST_GRACE_NS ? LOOK_NS - SECOND : after;
            assertTrue(state.readUntilNs(begun + usual, begun) - NOW <= latest, "begun " + after + " ns after the call");
        }
    }

    @Test void theGraceOfAShutdownTakesRequestsAndKeepsConnectionsThatRest() {
        DrainState state = DrainState.SERVING.at(Stage.LEAVING, NOW);
        assertTrue(state.closesAfterAnswer());
        assertFalse(state.endsIdle());
        assertNull(state.refusal(NOW + DrainState.LEAVING_GRACE_NS - 1));
        assertEquals(Refusal.FINISHING, state.refusal(NOW + DrainState.LEAVING_GRACE_NS));
        long termGrace = TimeUnit.MILLISECONDS.toNanos(700);
        long heldUp = TimeUnit.MILLISECONDS.toNanos(150);
        assertTrue(DrainState.LEAVING_GRACE_NS + heldUp <= termGrace, "a router that is held up begins nothing after 0.7 s");
    }

    @Test void behindTheGraceNothingIsServedAndOnlyNewConnectionsAreWaitedFor() {
        DrainState state = DrainState.SERVING.at(Stage.FINISHING, NOW);
        assertEquals(Refusal.FINISHING, state.refusal(NOW));
        assertFalse(state.endsBehindAnswer());
        assertEquals(NOW, state.idleUntilNs(true, NOW, 3 * SECOND));
        assertEquals(NOW + DrainState.FIRST_REQUEST_NS, state.idleUntilNs(false, NOW, 2 * SECOND));
    }

    /** Signals and calls come in any order: what each one forbids stays forbidden. */
    @Test void aShutdownOfAQuiescedProcessAllowsNoMoreThanEither() {
        DrainState state = DrainState.SERVING.quiescedAt(NOW - 2 * SECOND).at(Stage.LEAVING, NOW);
        assertTrue(state.endsIdle());
        assertEquals(Refusal.QUIESCED, state.refusal(NOW));
        assertEquals(Refusal.FINISHING, state.at(Stage.FINISHING, NOW).refusal(NOW));
        assertEquals(DrainState.SERVING.at(Stage.LEAVING, NOW), state.resumed());
    }

    @Test void aRepeatedCallLengthensNothingAndAResumedProcessServesLikeANewOne() {
        DrainState state = DrainState.SERVING.quiescedAt(NOW);
        assertEquals(state, state.quiescedAt(NOW + SECOND));
        assertEquals(DrainState.SERVING, state.resumed());
        assertNull(state.resumed().quiescedAt(NOW + 9 * SECOND).refusal(NOW + 9 * SECOND));
    }

    /** Whatever patience the settings give, whenever a connection came or began to send: operators find nothing at 4 s. */
    @Property void whereverAConnectionStandsItIsOverWhenOperatorsLook(@ForAll @LongRange(min = -10_000, max = 3_400) long sinceMs,
            @ForAll @LongRange(min = 1, max = 600_000) long usualMs, @ForAll boolean served) {
        DrainState state = DrainState.SERVING.quiescedAt(NOW);
        long since = NOW + TimeUnit.MILLISECONDS.toNanos(sinceMs);
        long usual = TimeUnit.MILLISECONDS.toNanos(usualMs);
        long idleUntil = state.idleUntilNs(served, since, usual);
        assertTrue(idleUntil - NOW < LOOK_NS, "idle");
        assertTrue(idleUntil - since <= usual, "no longer than usual");
        long readUntil = state.readUntilNs(since + usual, since);
        assertTrue(readUntil - NOW < LOOK_NS || since - NOW >= LOOK_NS, "half a request");
        assertTrue(readUntil - since <= usual, "no longer than usual");
    }
}
