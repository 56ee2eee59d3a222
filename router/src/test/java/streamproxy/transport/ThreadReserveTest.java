package streamproxy.transport;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class ThreadReserveTest {
    private static final int WORKERS = 4;

    private final ThreadReserve reserve = new ThreadReserve();

    /** Hands over work once a thread waits for it. */
    private void run(Runnable work) throws InterruptedException {
        for (long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30); !reserve.run("test", work);) {
            assertTrue(System.nanoTime() < until, "no thread waits");
            TimeUnit.MILLISECONDS.sleep(1);
        }
    }

    @Test void whileAllThreadsAreAtWorkMoreIsTurnedDownAndLaterTaken() throws Exception {
        assertFalse(reserve.run("test", () -> { }), "none was started");
        reserve.startAll();
        CountDownLatch atWork = new CountDownLatch(WORKERS);
        CountDownLatch end = new CountDownLatch(1);
        for (int i = 0; i < WORKERS; i++) {
            run(() -> {
                atWork.countDown();
                awaitQuietly(end);
            });
        }
        assertTrue(atWork.await(30, TimeUnit.SECONDS), "each has work of its own");
        assertFalse(reserve.run("test", () -> { }));
        end.countDown();
        CountDownLatch next = new CountDownLatch(1);
        run(next::countDown);
        assertTrue(next.await(30, TimeUnit.SECONDS));
    }

    @Test void workThatFailsCostsNoThread() throws Exception {
        reserve.startAll();
        for (int i = 0; i < 2 * WORKERS; i++) {
            run(() -> {
                throw new OutOfMemoryError("as the test wants it");
            });
        }
        CountDownLatch next = new CountDownLatch(1);
        run(next::countDown);
        assertTrue(next.await(30, TimeUnit.SECONDS));
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
