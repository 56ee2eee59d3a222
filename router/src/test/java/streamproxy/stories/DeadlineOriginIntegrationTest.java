package streamproxy.stories;

import static org.junit.Assert.assertTrue;
import static streamproxy.stories.Waiting.await;

import java.util.Arrays;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.Test;

/** A client's time runs from the last byte of its request on, whatever the router did meanwhile. */
public class DeadlineOriginIntegrationTest extends RouterTestBase {
    private static final double DEADLINE_S = 3;
    /** A replica may be told so much more than the client has left (STANDING.md). */
    private static final double SLACK_S = 0.15;
    /** The settings' promise: a request that was just sent is given as much. */
    private static final double GIVEN_S = 2.5;
    /** So much of its time a client may lose by the router's not knowing when it sent its request. */
    private static final double LOST_MOST_S = 0.3;
    private static final long WAIT_MS = 700;

    private static void awaitElapsed(long since) throws Exception {
        await("some time has passed", () -> System.nanoTime() - since >= TimeUnit.MILLISECONDS.toNanos(WAIT_MS));
    }

    private static double told(ScriptedPeer box) throws InterruptedException {
        ScriptedPeer.Exchange attempt = box.attempts.poll(30, TimeUnit.SECONDS);
        assertTrue("an attempt has come", attempt != null);
        return Arrays.stream(attempt.head().split("\r\n")).filter(line -> line.startsWith("Req-Deadline: "))
                .mapToDouble(line -> Double.parseDouble(line.substring(14))).findFirst().orElseThrow();
    }

    /** Serves the first request once it may go on, the others at once. */
    private ScriptedPeer boxThatAwaits(CountDownLatch go) throws Exception {
        return box(e -> {
            e.streamHead();
            e.chunk(ONE);
            assertTrue(go.await(30, TimeUnit.SECONDS));
            e.complete();
        });
    }

    @Test public void aReplicaIsNotToldTheTimeForWhichARequestWaitedBehindAnAnswer() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        ScriptedPeer box = boxThatAwaits(go);
        routerOver(box);
        long sentAt = System.nanoTime();
        Caller caller = caller().send(Caller.prompt("a", "{}") + Caller.prompt("b", "{}"));
        told(box);
        awaitElapsed(sentAt);
        go.countDown();
        double told = told(box);
        double left = DEADLINE_S - (System.nanoTime() - sentAt) / 1e9;
        assertTrue("told " + told + " s with " + left + " s left", told <= left + SLACK_S);
        caller.readTo("0\r\n\r\n");
    }

    @Test public void aRequestThatFollowsALongAnswerHasItsWholeTime() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        ScriptedPeer box = boxThatAwaits(go);
        routerOver(box);
        long sentAt = System.nanoTime();
        Caller caller = caller().send(Caller.prompt("a", "{}"));
        told(box);
        awaitElapsed(sentAt);
        go.countDown();
        caller.readTo("0\r\n\r\n");
        caller.send(Caller.prompt("b", "{}")).readTo("0\r\n\r\n");
        double told = told(box);
        assertTrue("told " + told, told >= GIVEN_S - LOST_MOST_S);
    }

    @Test public void aRequestThatIsWrittenSlowlyHasItsTimeFromItsLastByteOn() throws Exception {
        ScriptedPeer box = box(SERVES);
        routerOver(box);
        String request = Caller.prompt("a", "{}");
        Caller caller = caller().send(request.substring(0, request.length() - 1));
        awaitElapsed(System.nanoTime());
        caller.send(request.substring(request.length() - 1)).readTo("0\r\n\r\n");
        double told = told(box);
        assertTrue("told " + told, told >= GIVEN_S - LOST_MOST_S);
    }
}
