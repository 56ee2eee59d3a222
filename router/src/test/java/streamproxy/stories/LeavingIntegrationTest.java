package streamproxy.stories;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertTrue;
import static streamproxy.stories.Waiting.await;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.Test;

/** Clients that go, half or whole, with bytes on their way; and connections that the router ends while bytes come. */
public class LeavingIntegrationTest extends RouterTestBase {
    private static final String END = "0\r\n\r\n";

    private Socket client() throws IOException {
        Socket socket = keep(new Socket(router.address().getAddress(), router.address().getPort()));
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(15_000);
        return socket;
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Reads up to the router's close; a reset in its place is an exception. */
    private static String toTheEnd(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    /**
     * The heads of the prompts that have come, and that nobody has taken. What is no prompt is a call of service discovery, by a router
     * of an earlier test that still asks at a port which this replica has now.
     */
    private static List<String> prompts(ScriptedPeer replica) {
        return replica.attempts.stream().map(ScriptedPeer.Exchange::head).filter(head -> head.startsWith("POST ")).toList();
    }

    /**
     * A FIN ends a request whatever comes before it: nothing, the next request, or more than is kept for later. A half-close
     * cannot be told from a close, so it counts as one; and a reset says the same at once.
     */
    @Test public void howeverAClientEndsItsConnectionItsAttemptEnds() throws Exception {
        String next = Caller.prompt("b", "{}");
        for (String behind : new String[] {"", next, next + "x".repeat(20_000), "x".repeat(100_000), "x".repeat(1_000_000)}) {
            for (String way : new String[] {"close", "half-close", "reset"}) {
                CountDownLatch ended = new CountDownLatch(1);
                ScriptedPeer box = box(e -> {
                    e.awaitClose();
                    ended.countDown();
                });
                routerOver(box);
                Socket client = client();
                send(client, Caller.prompt("a", "{}"));
                assertNotNull(box.attempts.poll(10, TimeUnit.SECONDS));
                send(client, behind);
                if (way.equals("half-close")) {
                    client.shutdownOutput();
                } else {
                    client.setSoLinger(way.equals("reset"), 0);
                    client.close();
                }
                // Well before its deadline of 2.5 s, at which the attempt would end anyway.
                assertTrue(way + " behind " + behind.length() + " bytes", ended.await(1_500, TimeUnit.MILLISECONDS));
                assertEquals("what came behind is not sent on", List.of(), prompts(box));
                await("its place is free", () -> router.clients().held() == 0);
                router.close();
            }
        }
    }

    /** Requests sent ahead are served in their turn; one too large to be kept meanwhile is left for the client to repeat. */
    @Test public void whatCameBehindARequestIsServedOrLeftForTheClientToRepeat() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        ScriptedPeer box = box(e -> {
            assertTrue(go.await(10, TimeUnit.SECONDS));
            SERVES.play(e);
        });
        routerOver(box);
        Socket small = client();
        send(small, Caller.prompt("a1", "{}") + Caller.prompt("a2", "{}"));
        Socket large = client();
        send(large, Caller.prompt("b1", "{}") + Caller.prompt("b2", "{\"x\":\"" + "x".repeat(100_000) + "\"}"));
        await("both are out", () -> box.attempts.size() == 2);
        go.countDown();
        await("the small one is served twice", () -> box.attempts.stream().anyMatch(e -> e.head().contains("Req-Id: a2")));
        large.shutdownOutput(); // whatever was answered, the router ends it now
        String answer = toTheEnd(large);
        int sent = (int) box.attempts.stream().filter(e -> e.head().contains("Req-Id: b")).count();
        assertEquals("each that was sent on is answered whole: " + answer, sent, answer.split(END, -1).length - 1);
    }

    /** A close at once over bytes that nobody read resets the connection, and the client may lose the answer's end. */
    @Test public void anAnswerThatClosesReachesItsClientWholeWhateverComesMeanwhile() throws Exception {
        ScriptedPeer box = box(SERVES);
        routerOver(box);
        for (int i = 0; i < 10; i++) {
            Socket client = client();
            send(client, Caller.prompt("a" + i, "{}").replace("Host: app.svc", "Host: app.svc\r\nConnection: close")
                    + "x".repeat(60_000));
            String answer = toTheEnd(client);
            assertTrue(answer, answer.startsWith("HTTP/1.1 200 ") && answer.endsWith(END));
        }
        assertEquals(10, box.attempts.size());
    }

    /** A broken stream's events are its client's, who asks for the rest from there: they come whole before the end. */
    @Test public void theEventsOfABrokenStreamReachTheirClientBeforeTheEnd() throws Exception {
        routerOver(box(e -> {
            e.streamHead();
            e.chunk(ONE);
            e.socket().close();
        }));
        Socket client = client();
        send(client, Caller.prompt("a", "{}") + "x".repeat(60_000));
        String answer = toTheEnd(client);
        assertTrue(answer, answer.endsWith(ONE + "\r\n"));
    }

    /** A client that was not told of the close may be writing its next request as its stream ends: it is served, and told then. */
    @Test public void aRequestWrittenAsAStreamEndsIsServedThoughTheRouterBeganToLeaveMeanwhile() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        ScriptedPeer box = box(e -> {
            e.streamHead();
            e.chunk(ONE);
            assertTrue(go.await(10, TimeUnit.SECONDS));
            e.complete();
        });
        routerOver(box);
        Caller client = caller();
        String head = client.send(Caller.prompt("a", "{}")).readTo(ONE + "\r\n");
        assertFalse(head, head.contains("Connection: close"));
        router.lifecycle().quiesce(true); // answers that begin from now on close their connections, as after SIGTERM
        client.send(Caller.prompt("b", "{}"));
        go.countDown();
        client.readTo(END);
        String next = client.readAll();
        assertTrue("served and closed: " + next, next.startsWith("HTTP/1.1 200 ") && next.contains("Connection: close") && next.endsWith(END));
    }

    /** A request that crosses the router's closing word is left for its client to repeat: never sent on and lost. */
    @Test public void aRequestBehindAClosingAnswerIsNotSentOnAndTheClientSeesTheEnd() throws Exception {
        ScriptedPeer box = box(SERVES);
        routerOver(box);
        router.lifecycle().quiesce(true); // each answer closes its connection, as after SIGTERM
        for (int i = 0; i < 10; i++) {
            Socket client = client();
            send(client, Caller.prompt("a" + i, "{}"));
            StringBuilder answer = new StringBuilder();
            while (!answer.toString().endsWith(END)) {
                answer.append((char) client.getInputStream().read());
            }
            send(client, Caller.prompt("late" + i, "{}"));
            assertEquals("the end, and no reset", "", toTheEnd(client));
        }
        assertEquals(10, box.attempts.size());
    }

    /**
     * What comes over 0.7 s after SIGTERM is lost if it is under way at the kill. The signal reaches the program late, and its
     * reader may be held up: the last moments of these 0.7 s are no time to begin a stream.
     */
    @Test public void aRequestThatIsWholeInTheLastMomentsOfTheGraceIsRefused() throws Exception {
        ScriptedPeer box = box(SERVES);
        routerOver(box);
        String request = Caller.prompt("late", "{}");
        Caller slow = caller().send(request.substring(0, request.length() - 1));
        await("it is held", () -> router.clients().held() == 1);
        Thread leaves = leaves();
        await("the grace has begun", () -> !router.lifecycle().ready());
        long leavingAt = System.nanoTime();
        await("its last moments have come", () -> System.nanoTime() - leavingAt > TimeUnit.MILLISECONDS.toNanos(560));
        String refused = slow.send(request.substring(request.length() - 1)).readAll();
        assertTrue(refused, refused.startsWith("HTTP/1.1 503 "));
        assertEquals("nothing of it reaches a replica", 0, box.attempts.size());
        assertLeft(leaves);
    }

    /**
     * A request that is whole only after the grace of the shutdown, written slowly or behind a stream that began before it, is
     * refused at once: the process may be killed before a replica that hangs has answered.
     */
    @Test public void aRequestThatComesAfterTheGraceIsRefusedAtOnce() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        ScriptedPeer box = box(e -> {
            if (e.head().contains("Req-Id: begun")) {
                e.streamHead();
                e.chunk(ONE);
                assertTrue(go.await(30, TimeUnit.SECONDS));
                e.complete();
            }
            e.awaitClose(); // it hangs
        });
        routerOver(box);
        Caller begun = caller();
        begun.send(Caller.prompt("begun", "{}")).readTo(ONE + "\r\n");
        String late = Caller.prompt("late", "{}");
        Caller slow = caller().send(late.substring(0, late.length() - 1));
        await("both are held", () -> router.clients().held() == 2);
        Thread leaves = leaves();
        await("the grace is over", () -> router.lifecycle().finishing());
        long finishing = System.nanoTime();
        slow.send(late.substring(late.length() - 1));
        String refused = slow.readAll();
        assertTrue(refused, refused.startsWith("HTTP/1.1 503 "));
        begun.send(Caller.prompt("behind", "{}"));
        go.countDown();
        begun.readTo(END);
        String behind = begun.readAll();
        assertTrue(behind, behind.startsWith("HTTP/1.1 503 "));
        // Well before the deadline of 2.5 s, at which each would be answered anyway.
        assertTrue("at once", System.nanoTime() - finishing < TimeUnit.MILLISECONDS.toNanos(1_500));
        assertEquals("nothing of them reaches a replica", 1, box.attempts.size());
        assertLeft(leaves);
    }
}
