package streamproxy.syslog;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import streamproxy.records.Event;

/** What is decided without sockets: who is dropped, when a collector is tried again, which one is used. */
class DecisionsTest {
    private static final long MS = 1_000_000L;
    private static final Event ATTEMPT = new Event.AttemptEnded(0, "a", 0, new Event.Tried("s", "ok", "list", 1), -1);
    private static final Event ANSWER = new Event.Answered(0, "a", "chat", "", 0, Event.Final.SERVED, "", "", List.of(), 0, 0, 0, 0, 0, 0, 0, 0, 0);
    private static final Event REFUSAL = new Event.Answered(0, "a", "chat", "", 0, Event.Final.REFUSED, "", "", List.of(), 0, 0, 0, 0, 0, 0, 0, 0, 0);
    private static final Event DRAIN = new Event.BoxChanged(0, "s", "", "draining", "");

    @Test void attemptsAreDroppedBeforeAnswersAndAnswersBeforeRefusalsAndDrains() {
        RecordQueue queue = new RecordQueue(80);
        for (Event event : List.of(ATTEMPT, ANSWER, REFUSAL, DRAIN)) {
            for (int i = 0; i < 100; i++) {
                queue.offer(event);
            }
        }
        int[] taken = new int[4];
        for (Event event = queue.poll(); event != null; event = queue.poll()) {
            taken[event.kind().rank().ordinal()]++;
        }
        assertEquals(List.of(40, 20, 10, 10), List.of(taken[0], taken[1], taken[2], taken[3]));
        assertEquals(400, queue.made());
        assertEquals(320, queue.dropped());
        List<Long> dropped = queue.takeDropped();
        assertEquals(60, dropped.get(Event.Kind.ATTEMPT.ordinal()));
        assertEquals(90, dropped.get(Event.Kind.BOX.ordinal()));
        assertTrue(queue.takeDropped().stream().allMatch(n -> n == 0), "told once");
        queue.putBack(dropped);
        assertEquals(dropped, queue.takeDropped());
    }

    @Test void theWaitGrowsIsSpreadAndStartsAnewOnceItWorks() {
        Backoff backoff = new Backoff(100 * MS, 1_000 * MS, 5);
        long most = 100 * MS;
        for (int i = 0; i < 10; i++) {
            long wait = backoff.failed();
            assertTrue(wait >= most / 2 && wait <= most, wait + " of " + most);
            most = Math.min(1_000 * MS, 2 * most);
        }
        backoff.worked();
        assertTrue(backoff.failed() <= 100 * MS);
        assertTrue(new Backoff(100 * MS, 1_000 * MS, 6).failed() != new Backoff(100 * MS, 1_000 * MS, 7).failed(), "not together");
    }

    @Test void theFirstCollectorThatWorksIsUsedAndTheOneBeforeTriedAgainLater() {
        FailOver over = new FailOver(3, 1_000 * MS, new Backoff(100 * MS, 1_000 * MS, 5));
        assertEquals(0, over.collector());
        over.failed(0);
        assertEquals(1, over.collector());
        assertEquals(0, over.waitNs(0), "the next is tried at once");
        over.connected(0);
        over.worked();
        assertFalse(over.failsBack(999 * MS));
        assertTrue(over.failsBack(1_000 * MS));
        over.failBack();
        assertEquals(0, over.collector());
        over.connected(1_000 * MS);
        over.worked();
        assertFalse(over.failsBack(100_000 * MS), "the first is the one to be used");
    }

    @Test void afterARoundInWhichNoneWorkedThereIsAWait() {
        FailOver over = new FailOver(2, 1_000 * MS, new Backoff(100 * MS, 1_000 * MS, 5));
        over.failed(0);
        over.failed(0);
        assertEquals(0, over.collector());
        assertTrue(over.waitNs(0) >= 50 * MS);
        assertEquals(0, over.waitNs(100 * MS));
        over.failed(100 * MS);
        assertEquals(1, over.collector());
        over.failed(100 * MS);
        assertTrue(over.waitNs(100 * MS) >= 100 * MS, "and the next is longer");
    }
}
