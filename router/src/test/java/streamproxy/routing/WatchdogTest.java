package streamproxy.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import streamproxy.records.Event;

class WatchdogTest {
    /** Takes each message for as long as it is told to. */
    private static final class Slow extends Actor<CountDownLatch> {
        Slow() { super("slow", 4); }

        @Override void take(CountDownLatch until) { standHere(until); }

        private static void standHere(CountDownLatch until) {
            try {
                until.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        @Override void onTime() { }

        @Override long restNs() { return NEVER; }
    }

    @Test @Timeout(60) void anActorThatStandsStillIsToldOnceWithWhereAndThatItTurnsAgain() throws Exception {
        BlockingQueue<Event> told = new LinkedBlockingQueue<>();
        Watchdog watchdog = new Watchdog(new Records(told::add));
        Slow slow = new Slow();
        slow.start(watchdog);
        watchdog.start();
        CountDownLatch until = new CountDownLatch(1);
        slow.offer(until);
        Event.Standstill stands = next(told);
        assertEquals("slow", stands.who());
        assertTrue(stands.stands() && stands.forNs() >= 1_000_000_000L, stands.toString());
        assertTrue(stands.where().contains("Slow.standHere"), stands.where());
        until.countDown();
        Event.Standstill turns = next(told);
        assertEquals("slow", turns.who());
        assertTrue(!turns.stands(), turns.toString());
        CountDownLatch gone = new CountDownLatch(0);
        slow.stop();
        slow.offer(gone);
    }

    /** The process itself may be held up by others on a loaded machine; that is not what is asked here. */
    private static Event.Standstill next(BlockingQueue<Event> told) throws InterruptedException {
        Event.Standstill next;
        do {
            next = (Event.Standstill) told.take();
        } while (next.who().equals("process"));
        return next;
    }
}
