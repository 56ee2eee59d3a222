package streamproxy.stories;

import static org.junit.Assert.assertTrue;

import java.util.concurrent.TimeUnit;

/** Waits for what comes about on other threads. */
final class Waiting {
    /** What is to come about. */
    interface Condition {
        boolean holds() throws Exception;
    }

    private Waiting() { }

    static void await(String what, Condition condition) throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (!condition.holds()) {
            assertTrue("not in time: " + what, System.nanoTime() < until);
            Thread.sleep(5);
        }
    }
}
