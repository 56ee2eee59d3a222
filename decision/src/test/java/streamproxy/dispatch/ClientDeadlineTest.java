package streamproxy.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

class ClientDeadlineTest {
    private static final long MS = 1_000_000L;
    private static final long SLACK = 150 * MS;

    /** Whenever it was sent between the last look and the reading, and however late it is told: never over by more than the slack. */
    @Property(seed = "47") void whatIsToldIsNeverOverWhatIsLeftByMoreThanTheSlack(@ForAll @LongRange(min = 0, max = 5_000) long lookedMs,
            @ForAll @LongRange(min = 0, max = 5_000) long sentAfterMs, @ForAll @LongRange(min = 0, max = 5_000) long readAfterMs,
            @ForAll @LongRange(min = 1, max = 10_000) long budgetMs, @ForAll @LongRange(min = 0, max = 12_000) long toldAfterMs,
            @ForAll @LongRange(min = 0, max = 200) long writtenMs, @ForAll @LongRange(min = 0, max = 150) long heldUpMs) {
        long sent = (lookedMs + sentAfterMs) * MS;
        long read = sent + readAfterMs * MS;
        ClientDeadline deadline = ClientDeadline.of(read, lookedMs * MS, budgetMs * MS);
        long now = read + toldAfterMs * MS;
        long told = deadline.toldNs(Long.MAX_VALUE, now);
        long committedAt = now + writtenMs * MS;
        if (deadline.allowsAttempt(now) && deadline.covers(told, committedAt)) {
            long left = sent + budgetMs * MS - (committedAt + heldUpMs * MS);
            assertTrue(told <= left + SLACK, () -> told + " told, " + left + " left");
        }
    }

    @Test void aRequestReadAtOnceHasItsWholeTime() {
        assertEquals(5_000 * MS, ClientDeadline.of(2_000 * MS, 1_950 * MS, 3_000 * MS).endsAtNs());
        assertEquals(3_560 * MS, ClientDeadline.of(2_000 * MS, 500 * MS, 3_000 * MS).endsAtNs(), "it may have been sent at 0.5 s");
    }

    @Test void aReplicaIsToldWholeMillisecondsRoundedDownAndNoMoreThanItsOwnTime() {
        ClientDeadline deadline = new ClientDeadline(1_000 * MS);
        assertEquals(879 * MS, deadline.toldNs(1_000 * MS, 1));
        assertEquals(399 * MS, deadline.toldNs(400 * MS, 1));
        assertEquals(MS, deadline.toldNs(1_000 * MS, 879 * MS));
        assertTrue(deadline.allowsAttempt(879 * MS));
        assertFalse(deadline.allowsAttempt(880 * MS), "hardly anything is left");
    }

    @Test void aDeadlineIsOverAtItsMoment() {
        assertFalse(new ClientDeadline(10).isOver(9));
        assertTrue(new ClientDeadline(10).isOver(10));
    }
}
