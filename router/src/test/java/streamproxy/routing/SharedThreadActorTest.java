package streamproxy.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Actors that share threads: each message is taken once, in order, and nobody is forgotten whatever another one does. */
@Timeout(60)
class SharedThreadActorTest {
    private static final int ACTORS = 3_200;
    private static final int WRITERS = 4;
    private static final int MESSAGES = 20;
    private static final int BOUND = 8;
    /** An id whose actor has the same thread as that of 0. */
    private static final long SAME_THREAD = 2;

    /** Notes what it takes; a negative message fails. */
    private static class Noting extends SharedThreadActor<Integer> {
        private final List<Integer> taken = new ArrayList<>(); // its thread alone touches it before the latch
        private final CountDownLatch left;
        private volatile Thread by;

        Noting(ActorThread thread, int bound, int messages) {
            super(thread, bound);
            left = new CountDownLatch(messages);
        }

        @Override void take(Integer message) {
            assertTrue(by == null || by == Thread.currentThread(), "one thread alone");
            by = Thread.currentThread();
            taken.add(message);
            left.countDown();
            if (message < 0) {
                throw new OutOfMemoryError("as the test wants it");
            }
        }

        @Override void onTime() { }

        @Override long restNs() { return NEVER; }

        void awaitAll() throws InterruptedException { assertTrue(left.await(30, TimeUnit.SECONDS), left.getCount() + " messages were not taken"); }
    }

    private final ActorThreads threads = new ActorThreads(new Watchdog(Records.NONE));

    private Noting noting(long id, int bound, int messages) { return new Noting(threads.of(id), bound, messages); }

    @Test void allMessagesOfThousandsAreTakenWhoeverLeavesThem() throws Exception {
        List<Noting> actors = new ArrayList<>();
        for (int i = 0; i < ACTORS; i++) {
            actors.add(noting(i, WRITERS * MESSAGES, WRITERS * MESSAGES));
        }
        threads.start();
        List<Thread> writers = new ArrayList<>();
        for (int w = 0; w < WRITERS; w++) {
            int from = w * MESSAGES;
            writers.add(new Thread(() -> {
                for (int m = 0; m < MESSAGES; m++) {
                    for (Noting actor : actors) {
                        actor.put(from + m);
                    }
                }
            }));
        }
        writers.forEach(Thread::start);
        for (Noting actor : actors) {
            actor.awaitAll();
        }
        for (Noting actor : actors) {
            for (int w = 0; w < WRITERS; w++) {
                int writer = w;
                List<Integer> ofOne = actor.taken.stream().filter(m -> m / MESSAGES == writer).toList();
                assertEquals(MESSAGES, ofOne.size());
                assertEquals(ofOne.stream().sorted().toList(), ofOne, "in the order in which one writer left them");
            }
        }
    }

    @Test void aMessageThatFailsCostsNeitherTheNextNorTheOtherActors() throws Exception {
        Noting fails = noting(0, BOUND, 3);
        Noting beside = noting(SAME_THREAD, BOUND, 1);
        fails.put(-1);
        fails.put(2);
        beside.put(1);
        threads.start();
        beside.awaitAll();
        fails.put(3);
        fails.awaitAll();
        assertEquals(List.of(-1, 2, 3), fails.taken);
    }

    @Test void aFullMailboxTurnsAwayAndCounts() throws Exception {
        Noting actor = noting(0, BOUND, BOUND);
        for (int i = 0; i < BOUND; i++) {
            assertTrue(actor.offer(i));
        }
        assertFalse(actor.offer(BOUND));
        assertEquals(1, actor.turnedAway());
        threads.start();
        actor.awaitAll();
    }

    @Test void anActorIsRunWhenItsTimeHasCome() throws Exception {
        CountDownLatch turns = new CountDownLatch(3);
        Noting actor = new Noting(threads.of(0), BOUND, 1) {
            @Override void onTime() { turns.countDown(); }

            @Override long restNs() { return TimeUnit.MILLISECONDS.toNanos(1); }
        };
        threads.start();
        actor.put(1);
        assertTrue(turns.await(30, TimeUnit.SECONDS));
        actor.stop();
    }

}
