package streamproxy.stories;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;
import static streamproxy.stories.Waiting.await;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.Test;
import streamproxy.protocol.OperatorFile;
import streamproxy.protocol.OperatorReader;

/**
 * A quiesced router is to hold no client's connection for long. Four seconds after the call operators find none that is idle,
 * and none with a request of the last two: whatever comes later than two seconds after the call must not be begun.
 */
public class QuiesceIntegrationTest extends RouterTestBase {
    private static final long EVENT_EVERY_MS = 50;
    private static final String END = "0\r\n\r\n";
    /** Requests that come so long after the call would still be under way when operators look. */
    private static final long TOO_LATE_NS = TimeUnit.MILLISECONDS.toNanos(2_050);

    /** The program itself over one replica, with an address for operators. */
    private final class RouterProgram implements AutoCloseable {
        private final Deployment deployment;
        private final InetSocketAddress clients = freeAddress();
        private final InetSocketAddress operators = freeAddress();
        private final Process process;

        RouterProgram(ScriptedPeer replica) throws Exception {
            deployment = keep(new Deployment("127.0.0.1:" + clients.getPort(), 1024, replica));
            deployment.configureOperator("127.0.0.1:" + operators.getPort());
            process = ProgramIntegrationTest.start(deployment.environment, List.of(), "serve");
            ProgramIntegrationTest.awaitReady(clients, process);
        }

        Caller client() throws IOException { return keep(new Caller(clients)); }

        /** Calls it as an operator; the moment at which the answer was there. */
        long call(String path) throws IOException { return QuiesceIntegrationTest.call(operators, path); }

        @Override public void close() { process.destroyForcibly(); }
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return (InetSocketAddress) socket.getLocalSocketAddress();
        }
    }

    private static long call(InetSocketAddress operators, String path) throws IOException {
        try (Caller caller = new Caller(operators)) {
            String answer = caller.send("POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n").readAll();
            assertTrue(answer, answer.startsWith("HTTP/1.1 200 "));
            return System.nanoTime();
        }
    }

    /** The rule is one of real time, so its time has to pass. */
    private static void awaitTooLate(long quiescedAt) throws Exception {
        await("two seconds have passed", () -> System.nanoTime() - quiescedAt > TOO_LATE_NS);
    }

    /** A replica that streams events until it is told to end; other requests are served at once. */
    private static ScriptedPeer.Script streamsUntil(CountDownLatch go) {
        return e -> {
            if (e.head().contains("Req-Id: begun")) {
                e.streamHead();
                do {
                    e.chunk(ONE);
                } while (!go.await(EVENT_EVERY_MS, TimeUnit.MILLISECONDS));
                e.complete();
            } else {
                SERVES.play(e);
            }
        };
    }

    /**
     * A stream that began before the call announces no close. The request that its client writes right behind it is read
     * late, and was served up to its own deadline.
     */
    @Test public void aRequestBehindAStreamBegunBeforeTheCallIsRefusedOnceItIsTooLate() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        ScriptedPeer replica = box(streamsUntil(go));
        RouterProgram router = keep(new RouterProgram(replica));
        Caller client = router.client();
        String head = client.send(Caller.prompt("begun", "{}")).readTo(ONE + "\r\n");
        assertFalse(head, head.contains("Connection: close"));
        awaitTooLate(router.call("/admin/quiesce"));
        client.send(Caller.prompt("behind", "{}"));
        go.countDown();
        client.readTo(END);
        String refused = client.readAll();
        assertTrue(refused, refused.startsWith("HTTP/1.1 503 ") && refused.contains("Connection: close"));
        assertEquals("nothing of it reaches a replica", 1, replica.attempts.size());
    }

    /** A request that is written slowly, begun before the call, is whole only when it is too late. */
    @Test public void aSlowRequestThatBecomesWholeTooLateIsRefused() throws Exception {
        ScriptedPeer replica = box(SERVES);
        RouterProgram router = keep(new RouterProgram(replica));
        String request = Caller.prompt("slow", "{}");
        Caller client = router.client().send(request.substring(0, request.length() - 1));
        awaitTooLate(router.call("/admin/quiesce"));
        String refused = client.send(request.substring(request.length() - 1)).readAll();
        assertTrue(refused, refused.startsWith("HTTP/1.1 503 ") && refused.contains("Connection: close"));
        assertEquals("nothing of it reaches a replica", 0, replica.attempts.size());
    }

    /** A connection that has never carried a request ends soon after the call, whatever patience the operator's file gives it. */
    @Test public void aConnectionThatHasNeverAskedIsNotHeldAfterTheCall() throws Exception {
        patientRouterOver(box(SERVES));
        Caller mute = caller();
        await("it is held", () -> router.clients().held() == 1);
        call(router.operatorAddress(), "/admin/quiesce");
        assertEquals("", mute.readAll()); // waits for 15 s at most
        await("nothing is held", () -> router.clients().held() == 0);
    }

    /** The end of a stream begun before the call is the end of its connection, whatever patience served ones have. */
    @Test public void aConnectionWhoseStreamWasBegunBeforeTheCallEndsBehindIt() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        patientRouterOver(box(streamsUntil(go)));
        Caller client = caller();
        client.send(Caller.prompt("begun", "{}")).readTo(ONE + "\r\n");
        call(router.operatorAddress(), "/admin/quiesce");
        go.countDown();
        client.readTo(END);
        assertEquals("the end, and nothing else", "", client.readAll());
        await("nothing is held", () -> router.clients().held() == 0);
    }

    /**
     * Behind the end of such a stream the connection does not rest: a request that is written once its exchange has ended finds
     * the end, as does one that crosses a close, and reaches no replica.
     */
    @Test public void aRequestWrittenOnceTheStreamHasEndedReachesNoReplica() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        ScriptedPeer replica = box(streamsUntil(go));
        patientRouterOver(replica);
        Caller client = caller();
        client.send(Caller.prompt("begun", "{}")).readTo(ONE + "\r\n");
        call(router.operatorAddress(), "/admin/quiesce");
        go.countDown();
        client.readTo(END);
        await("its exchange has ended", () -> router.clients().active() == 0);
        assertEquals("the end, and no answer", "", client.send(Caller.prompt("next", "{}")).readAll());
        assertEquals("nothing of it reaches a replica", 1, replica.attempts.size());
    }

    /** Calls in quick succession: the last one binds, and a router that was resumed serves like a new one. */
    @Test public void aResumedRouterKeepsConnectionsAndServesAgain() throws Exception {
        patientRouterOver(box(SERVES));
        for (int i = 0; i < 5; i++) {
            call(router.operatorAddress(), "/admin/quiesce");
            call(router.operatorAddress(), "/admin/quiesce");
            call(router.operatorAddress(), "/admin/resume");
            Caller client = caller();
            for (int j = 0; j < 3; j++) {
                String answer = client.send(Caller.prompt("r" + i + "-" + j, "{}")).readTo(END);
                assertTrue(answer, answer.startsWith("HTTP/1.1 200 ") && !answer.contains("Connection: close"));
            }
        }
    }

    /** A router in this process whose clients may rest for as long as they like, with an address for operators. */
    private void patientRouterOver(ScriptedPeer replica) throws Exception {
        Deployment deployment = keep(Deployment.of(replica));
        deployment.configureOperator("127.0.0.1:0");
        router = deployment.start(patientFile());
        await("it serves", () -> router.lifecycle().ready());
    }

    private static OperatorFile patientFile() throws Exception {
        Path file = Files.createTempFile("operator", ".ini");
        Files.writeString(file, "[connections]\nclient_idle_s = 600\nclient_mute_s = 600\n");
        OperatorFile read = OperatorReader.read(file.toString());
        Files.delete(file);
        return read;
    }
}
