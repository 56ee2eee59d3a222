package streamproxy.streams;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import streamproxy.streams.StreamState.Phase;
import streamproxy.streams.StreamState.Step;

class StreamStateTest {
    private static final long MS = 1_000_000L;
    private static final long S = 1_000 * MS;
    private static final StreamLimits LIMITS = new StreamLimits(1_000, 5 * S, 10 * S, 200 * MS, 8);

    private final StreamState stream = new StreamState(LIMITS, 0);

    /** Events of 10 bytes, taken at once, a gap apart. */
    private long flow(long now, int events, long gap) {
        long at = now;
        for (int i = 0; i < events; i++) {
            at += gap;
            assertEquals(Step.NOTHING, stream.event(at, 10));
            assertEquals(Step.NOTHING, stream.written(at, 10));
        }
        return at;
    }

    @Test void aSteadyStreamThatFallsSilentStallsByItsOwnPaceAndNotByTheLongestGap() {
        assertEquals(10 * S, stream.nextAt(), "nothing is known yet");
        long now = flow(0, 50, 50 * MS);
        long stallsAt = stream.nextAt();
        assertTrue(stallsAt - now >= 8 * 50 * MS && stallsAt - now <= 8 * 72 * MS, "after " + (stallsAt - now) / MS + " ms");
        assertEquals(Step.NOTHING, stream.time(stallsAt - 1));
        assertEquals(Step.LEAVE_BOX, stream.time(stallsAt));
        assertEquals(Phase.STALLING, stream.phase());
    }

    @Test void aQuickStreamIsGivenTheLeastGapAndASlowOneNoMoreThanTheFirst() {
        long now = flow(0, 50, 2 * MS);
        assertEquals(now + 200 * MS, stream.nextAt());
        StreamState slow = new StreamState(LIMITS, 0);
        for (int i = 1; i <= 50; i++) {
            slow.event(i * 3 * S, 1);
        }
        assertEquals(150 * S + 10 * S, slow.nextAt());
        StreamState constant = new StreamState(new StreamLimits(1_000, S, 10 * S, MS, Double.POSITIVE_INFINITY), 0);
        for (int i = 1; i <= 50; i++) {
            constant.event(i * MS, 1);
        }
        assertEquals(50 * MS + 10 * S, constant.nextAt(), "where the installation wants the platform's one constant");
    }

    @Test void whileTheReaderLagsTheBoxIsNotReadAndItsSilenceIsNotCounted() {
        long now = flow(0, 20, 50 * MS);
        assertEquals(Step.NOTHING, stream.event(now, 999));
        assertEquals(Step.PAUSE, stream.event(now, 500));
        assertEquals(Phase.LAGGING, stream.phase());
        assertEquals(now + 5 * S, stream.nextAt(), "the reader's time, not the box's");
        assertThrows(IllegalStateException.class, () -> stream.event(5, 1), "nobody reads the box");
        assertEquals(Step.NOTHING, stream.written(now + 4 * S, 900));
        assertEquals(now + 9 * S, stream.nextAt(), "it reads, slowly");
        assertEquals(Step.RESUME, stream.written(now + 8 * S, 200));
        assertEquals(Phase.FLOWING, stream.phase());
        assertTrue(stream.nextAt() > now + 8 * S, "the box's silence counts from here");
    }

    @Test void aReaderThatTakesNothingIsEnded() {
        assertEquals(Step.PAUSE, stream.event(0, 1_000));
        assertEquals(Step.NOTHING, stream.time(5 * S - 1));
        assertEquals(Step.END_READER, stream.time(5 * S));
        assertEquals(Phase.ENDED, stream.phase());
        assertEquals(Long.MAX_VALUE, stream.nextAt());
    }

    @Test void aWholeStreamIsDoneOnceItsReaderHasAll() {
        stream.event(0, 10);
        assertEquals(Step.NOTHING, stream.whole(1));
        assertEquals(Long.MAX_VALUE, stream.nextAt(), "no silence is one any more");
        assertEquals(Step.DONE, stream.written(2, 10));
        StreamState other = new StreamState(LIMITS, 0);
        other.event(0, 1_000);
        assertEquals(Step.NOTHING, other.whole(1), "the last event was there before it was paused");
        assertEquals(Step.NOTHING, other.written(2, 600), "and there is nothing to resume");
        assertEquals(Step.DONE, other.written(3, 400));
    }

    @Test void aSavedStreamHasTheFirstGapAgainAndGoesOn() {
        long now = flow(0, 50, 50 * MS);
        stream.broke();
        assertEquals(Phase.BROKEN, stream.phase());
        assertEquals(Long.MAX_VALUE, stream.nextAt());
        stream.saved(now);
        assertEquals(now + 10 * S, stream.nextAt(), "another box reads the prompt first");
        assertEquals(Step.NOTHING, stream.event(now + 2 * S, 10));
        assertEquals(Phase.FLOWING, stream.phase());
        stream.givenUp();
        assertThrows(IllegalStateException.class, () -> stream.saved(now), "one that has ended stays so");
    }

    /** Whatever comes in whatever order: what is held is what came less what was taken, and bounded. */
    @Property(seed = "21", tries = 500) void heldBytesAreBoundedAndNoneIsLost(@ForAll @Size(min = 1, max = 200) List<@IntRange(min = 1, max = 400) Integer> events,
            @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        StreamState any = new StreamState(LIMITS, 0);
        long sent = 0;
        long now = 0;
        for (int bytes : events) {
            now += random.nextLong(50 * MS);
            if (any.phase() == Phase.LAGGING) {
                int taken = 1 + random.nextInt((int) any.held());
                Step step = any.written(now, taken);
                assertEquals(any.held() <= 500 ? Step.RESUME : Step.NOTHING, step);
            } else {
                Step step = any.event(now, bytes);
                sent += bytes;
                assertEquals(any.held() >= 1_000, step == Step.PAUSE);
            }
            assertTrue(any.held() < 1_000 + 400, "held " + any.held());
            assertEquals(sent, any.held() + any.passed());
            assertFalse(any.phase() == Phase.ENDED);
        }
        any.whole(now);
        if (any.held() > 0) {
            assertEquals(Step.DONE, any.written(now, (int) any.held()));
        }
        assertEquals(sent, any.passed());
        assertEquals(Phase.ENDED, any.phase());
    }

    /** Against the sorted list: never under the true quantile, and no more than half an octave over. */
    @Property(seed = "22", tries = 500) void theSketchsQuantileIsNearTheTrueOne(
            @ForAll @Size(min = 1, max = 120) List<@LongRange(min = 2_000_000, max = 500_000_000_000L) Long> values, @ForAll @IntRange(min = 1, max = 100) int percent) {
        GapHistogram gaps = new GapHistogram();
        values.forEach(gaps::add);
        long[] sorted = values.stream().mapToLong(v -> v).sorted().toArray();
        long truth = sorted[Math.max(0, (int) Math.ceil(percent / 100.0 * sorted.length) - 1)];
        long told = gaps.quantile(percent / 100.0);
        assertTrue(told >= truth && told <= 1.4143 * truth + 2, told + " for " + truth + " of " + Arrays.toString(sorted));
    }

    @Test void whatWasLongAgoWeighsLess() {
        GapHistogram gaps = new GapHistogram();
        for (int i = 0; i < 1_000; i++) {
            gaps.add(10 * MS);
        }
        for (int i = 0; i < 400; i++) {
            gaps.add(100 * MS);
        }
        assertTrue(gaps.count() <= 300);
        assertTrue(gaps.quantile(0.5) >= 100 * MS, "the newer pace holds");
        assertEquals(0, new GapHistogram().quantile(0.5));
    }

    // ---- Budgets ---------------------------------------------------------------------------------------

    @Test void resendsAreAShareOfTheRequestsWhateverFails() {
        RetryBudget budget = new RetryBudget(0.2, 0, 10, 0);
        int resends = 0;
        for (int i = 0; i < 10_000; i++) {
            budget.request(i * MS);
            resends += budget.trySpend(i * MS) ? 1 : 0;
        }
        assertTrue(resends >= 2_000 && resends <= 2_011, "resends " + resends);
        assertEquals(resends, budget.spent());
        assertEquals(10_000 - resends, budget.denied());
    }

    @Test void aQuietHourPaysForNoStormAndAFewRequestsMayStillBeTriedAgain() {
        RetryBudget budget = new RetryBudget(0.1, 1, 5, 0);
        int atOnce = 0;
        while (budget.trySpend(3_600 * S)) {
            atOnce++;
        }
        assertEquals(5, atOnce);
        assertFalse(budget.trySpend(3_600 * S + 900 * MS));
        assertTrue(budget.trySpend(3_601 * S));
        assertFalse(budget.trySpend(3_600 * S), "a clock that goes back gives nothing");
    }

    /** A third of the boxes fails all that it gets, and each failure may be tried twice more. */
    @Property(seed = "23", tries = 50) void anOutageOfAThirdDoesNotDoubleTheLoadOfTheRest(@ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        RetryBudget budget = new RetryBudget(0.2, 0, 20, 0);
        int sends = 0;
        int requests = 20_000;
        for (int i = 0; i < requests; i++) {
            budget.request(i * MS);
            sends++;
            boolean failed = random.nextInt(3) == 0;
            for (int more = 0; failed && more < 2 && budget.trySpend(i * MS); more++) {
                sends++;
                failed = random.nextInt(3) == 0;
            }
        }
        assertTrue(sends <= 1.2 * requests + 20, "amplification " + sends / (double) requests);
        assertTrue(sends >= 1.19 * requests, "and what is granted is used: " + sends / (double) requests);
    }

    // ---- Boxes whose streams stall together --------------------------------------------------------------

    @Test void aBoxWhoseStreamsStallTogetherIsToldOfOnce() {
        StallCorrelator together = new StallCorrelator(2 * S, 0.5, 3);
        for (int i = 0; i < 10; i++) {
            together.began(1);
            together.began(2);
        }
        int told = 0;
        for (int i = 0; i < 10; i++) {
            told += together.stalled(1, i * 10 * MS) ? 1 : 0;
            together.ended(1);
        }
        assertEquals(1, told);
        assertFalse(together.stalled(2, S), "one stream alone is its own fault");
        together.ended(2);
        assertFalse(together.stalled(2, 4 * S), "and so are two at different times");
        assertFalse(together.stalled(3, S), "nothing is known of that box");
    }

    @Test void aBoxWithFewStreamsNeedsSoManyAtLeast() {
        StallCorrelator together = new StallCorrelator(2 * S, 0.5, 3);
        together.began(1);
        together.began(1);
        assertFalse(together.stalled(1, 0));
        together.ended(1);
        assertFalse(together.stalled(1, 0));
        together.ended(1);
        assertFalse(together.stalled(1, 0), "it has none any more");
    }
}
