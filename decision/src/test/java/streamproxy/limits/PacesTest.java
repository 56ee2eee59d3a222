package streamproxy.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** How fast connections are taken and opened, and when those turned away come back. */
class PacesTest {
    private static final long MS = 1_000_000L;
    private static final long S = 1_000 * MS;

    @Test void aPaceIsKeptEvenlyHoweverManyWait() {
        TokenBucket pace = new TokenBucket(100, 0);
        int taken = 0;
        for (long now = 0; now <= 2 * S; now += MS) {
            while (pace.take(now) == 0) {
                taken++;
            }
            assertTrue(taken <= 10 + now / (double) S * 100 + 1, "taken " + taken + " by " + now);
        }
        assertTrue(taken >= 200, "taken " + taken);
        TokenBucket fresh = new TokenBucket(100, 0);
        for (int i = 0; i < 10; i++) {
            assertEquals(0, fresh.take(0), "a tenth of a second's worth at once");
        }
        assertEquals(10 * MS, fresh.take(0), "and then one each hundredth");
    }

    @Test void withoutALimitNobodyWaitsAndALowerOneHoldsAtOnce() {
        TokenBucket pace = new TokenBucket(Double.POSITIVE_INFINITY, 0);
        for (int i = 0; i < 1000; i++) {
            assertEquals(0, pace.take(0));
        }
        pace.change(10);
        assertTrue(pace.take(0) > 0, "nothing was saved up");
        assertThrows(IllegalArgumentException.class, () -> pace.change(0));
    }

    /** Told one time, a thousand clients would be back in one moment. */
    @Test void thoseTurnedAwayTogetherComeBackApart() {
        RetryAfterSchedule comeBack = new RetryAfterSchedule(7);
        int[] each = new int[20];
        for (int i = 0; i < 1000; i++) {
            long after = comeBack.after(0, 200, 5 * S);
            assertTrue(after >= 250 * MS && after <= 5 * S, "after " + after);
            each[(int) (after / (S / 4))]++;
        }
        int most = 0;
        for (int i = 0; i < each.length; i++) {
            most = Math.max(most, each[i]);
        }
        assertTrue(most < 250, "in one quarter of a second: " + most);
        assertEquals(0, comeBack.after(0, 200, 0), "where clients are told nothing");
        assertTrue(comeBack.after(0, 200, 100 * MS) <= 100 * MS, "no longer than they heed");
    }

    @Test void noMoreIsOpenedAtOnceThanTheBoxIsAskedToBear() {
        PoolLimits limits = new PoolLimits(Integer.MAX_VALUE, 2);
        assertTrue(limits.tryOpen(0));
        assertTrue(limits.tryOpen(0));
        assertFalse(limits.tryOpen(0));
        limits.opened();
        assertTrue(limits.tryOpen(0));
        limits.notOpened(true, 0);
        assertEquals(2, limits.open());
        assertEquals(Integer.MAX_VALUE, limits.learned(), "so few: the box is down, not full");
    }

    /** A box tells nowhere how many connections it accepts. */
    @Test void whatABoxAcceptsIsLearnedFromItsRefusalsAndTriedAgainLater() {
        PoolLimits limits = new PoolLimits(Integer.MAX_VALUE, Integer.MAX_VALUE);
        for (int i = 0; i < 100; i++) {
            assertTrue(limits.tryOpen(0));
            limits.opened();
        }
        assertTrue(limits.tryOpen(0));
        limits.notOpened(true, 0);
        assertEquals(90, limits.learned());
        assertFalse(limits.tryOpen(1 * S));
        for (int i = 0; i < 11; i++) {
            limits.closed();
        }
        assertTrue(limits.tryOpen(1 * S), "below it there is room");
        limits.opened();
        assertFalse(limits.tryOpen(2 * S));
        assertEquals(5 * S + 1, limits.nextTrialAt(), "whoever waits need not look before");
        assertTrue(limits.tryOpen(6 * S), "the limit is tried again after a while");
        limits.notOpened(false, 6 * S);
        assertEquals(99, limits.learned(), "our own want of descriptors teaches nothing of the box");
        limits.change(Integer.MAX_VALUE, 0);
        assertFalse(limits.tryOpen(12 * S), "enough are being opened");
        assertTrue(limits.nextTrialAt() > 12 * S, "else whoever waits would look without a pause");
    }

    @Test void whatTheOperatorGrantsABoxHoldsBesideWhatWasLearned() {
        PoolLimits limits = new PoolLimits(2, Integer.MAX_VALUE);
        assertEquals(Long.MAX_VALUE, limits.nextTrialAt(), "nothing was learned");
        assertTrue(limits.tryOpen(0));
        assertTrue(limits.tryOpen(0));
        limits.opened();
        assertFalse(limits.tryOpen(100 * S), "no time makes it more");
        limits.change(3, Integer.MAX_VALUE);
        assertTrue(limits.tryOpen(100 * S));
        limits.change(1, Integer.MAX_VALUE);
        limits.closed();
        assertFalse(limits.tryOpen(100 * S), "two are still open");
    }
}
