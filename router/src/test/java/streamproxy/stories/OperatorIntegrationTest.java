package streamproxy.stories;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;
import static streamproxy.stories.Waiting.await;

import java.io.IOException;
import java.net.InetSocketAddress;
import org.junit.Test;

/** What operators call where they are listened to, and what that does to clients. */
public class OperatorIntegrationTest extends RouterTestBase {
    private Deployment withOperator(ScriptedPeer... boxes) throws Exception {
        Deployment deployment = keep(Deployment.of(boxes));
        deployment.configureOperator("127.0.0.1:0");
        return routerIn(deployment);
    }

    private InetSocketAddress operator() throws IOException { return router.operatorAddress(); }

    /** The whole answer to one call; the router closes after it. */
    private String call(String method, String path) throws IOException {
        try (Caller caller = new Caller(operator())) {
            return caller.send(method + " " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n").readAll();
        }
    }

    @Test public void healthSaysYesOnceTheProcessServesAndOtherCallsAreNo() throws Exception {
        withOperator(box(SERVES));
        String health = call("GET", "/admin/health");
        assertTrue(health, health.startsWith("HTTP/1.1 200 ") && health.contains("rules broken: none"));
        assertTrue(call("GET", "/admin/nothing").startsWith("HTTP/1.1 404 "));
        assertTrue(call("GET", "/admin/quiesce").startsWith("HTTP/1.1 405 "));
        assertTrue("clients are not answered there", call("GET", "/ready").startsWith("HTTP/1.1 404 "));
    }

    @Test public void withoutAnAddressNobodyIsListenedTo() throws Exception {
        routerOver(box(SERVES));
        assertEquals(null, router.operatorAddress());
    }

    /** A drained router that still said yes, or kept a client's idle connection, lost requests when it was cut off. */
    @Test public void quiescedItIsNotReadyClosesWhatRestsAndAnswersWhatComesThenResumes() throws Exception {
        withOperator(box(SERVES));
        Caller resting = caller();
        String first = resting.send(Caller.prompt("a1", "{}")).readTo("0\r\n\r\n");
        assertTrue(first, !first.contains("Connection: close"));
        Caller underWay = caller();
        assertTrue(call("POST", "/admin/quiesce").startsWith("HTTP/1.1 200 "));
        assertTrue(ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").startsWith("HTTP/1.1 503 "));
        assertTrue("a connection that rested is closed", resting.readAll().isEmpty());
        String late = underWay.send(Caller.prompt("a2", "{}")).readAll(); // comes back with the close
        assertTrue(late, late.startsWith("HTTP/1.1 200 ") && late.contains("Connection: close"));
        assertTrue("the process still serves", call("GET", "/admin/health").startsWith("HTTP/1.1 200 "));
        assertTrue(call("POST", "/admin/resume").startsWith("HTTP/1.1 200 "));
        assertTrue(ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").startsWith("HTTP/1.1 200 "));
        Caller again = caller();
        String kept = again.send(Caller.prompt("a3", "{}")).readTo("0\r\n\r\n");
        assertTrue(kept, !kept.contains("Connection: close"));
    }

    /** Callers that said nothing, or half a call, once kept others from being answered. */
    @Test public void silentAndHalfCallsHoldNoPlaceForLong() throws Exception {
        withOperator(box(SERVES));
        Caller[] silent = new Caller[8];
        for (int i = 0; i < silent.length; i++) {
            silent[i] = keep(new Caller(operator()));
        }
        Caller half = keep(new Caller(operator())).send("POST /admin/quies");
        String told = half.readAll();
        assertTrue(told, told.startsWith("HTTP/1.1 408 "));
        await("a call is answered beside them", () -> call("GET", "/admin/health").startsWith("HTTP/1.1 200 "));
        for (Caller caller : silent) {
            assertTrue(caller.readAll().startsWith("HTTP/1.1 408 "));
        }
    }
}
