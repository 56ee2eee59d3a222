package streamproxy.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import streamproxy.lab.soak.SoakBreak.Rule;

/** The judge finds each break that is planted, and excuses what the rules excuse. */
class SoakAuditTest {
    private static final long DEADLINE_MS = 1_000;
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private final long terminatedAt = System.nanoTime();
    private SoakReplicas replicas;

    @BeforeEach void start() throws Exception { replicas = new SoakReplicas(1); }

    @AfterEach void end() throws Exception { replicas.close(); }

    private SoakRequest request(SoakRequest.End end, long sentAfterNs, long endedAfterNs) {
        SoakRequest request = new SoakRequest("abc", DEADLINE_MS, new SplittableRandom(1));
        request.sentAt = terminatedAt + sentAfterNs;
        request.ends(end, "");
        request.endedAt = terminatedAt + endedAfterNs;
        return request;
    }

    private List<Rule> judged(SoakRequest request, long killedAfterNs) {
        List<SoakBreak> breaks = new ArrayList<>();
        new SoakAudit(List.of(request), replicas, terminatedAt, killedAfterNs == 0 ? 0 : terminatedAt + killedAfterNs, breaks).judge();
        return breaks.stream().map(SoakBreak::rule).toList();
    }

    /** Sends those bytes to a replica, and reads until it answers or closes. */
    private void reachesAReplica(String bytes) throws Exception {
        String known = replicas.standIns().configuration(10, 10);
        int at = known.indexOf("127.0.0.1:") + "127.0.0.1:".length();
        try (Socket socket = new Socket("127.0.0.1", Integer.parseInt(known.substring(at, known.indexOf('"', at))))) {
            socket.getOutputStream().write(bytes.getBytes(StandardCharsets.UTF_8));
            while (replicas.attempts().isEmpty()) {
                Thread.onSpinWait();
            }
            InputStream in = socket.getInputStream();
            socket.shutdownOutput();
            in.readAllBytes();
        }
    }

    @Test void aRequestThatIsReadAndClosedIsABreakAndOneThatTheCloseCrossedIsNot() {
        assertEquals(List.of(Rule.UNANSWERED), judged(request(SoakRequest.End.CLOSED, -2 * SECOND, -SECOND), 0));
        assertEquals(List.of(), judged(request(SoakRequest.End.CLOSED, -SECOND, -SECOND + 1_000_000), 0));
        assertEquals(List.of(Rule.UNANSWERED), judged(request(SoakRequest.End.SILENT, -3 * SECOND, -SECOND), 0));
    }

    @Test void theKillExcusesOnlyWhatCameWithinTheGrace() {
        assertEquals(List.of(), judged(request(SoakRequest.End.CUT, SECOND / 2, 2 * SECOND), 2 * SECOND));
        assertEquals(List.of(Rule.UNANSWERED), judged(request(SoakRequest.End.CUT, SECOND, 2 * SECOND), 2 * SECOND));
        assertEquals(List.of(Rule.UNANSWERED), judged(request(SoakRequest.End.CLOSED, 2 * SECOND - 1_000_000, 2 * SECOND), 2 * SECOND));
    }

    @Test void aStreamThatIsCutOrMadeUpIsABreak() {
        assertEquals(List.of(Rule.UNANSWERED), judged(request(SoakRequest.End.CUT, -2 * SECOND, -SECOND), 0));
        SoakRequest request = request(SoakRequest.End.SERVED, -2 * SECOND, -SECOND);
        request.events = "data: made up\n\ndata: [DONE]\n\n";
        assertEquals(List.of(Rule.WRONG_ANSWER), judged(request, 0));
    }

    @Test void bytesThatNoClientSentAreABreak() throws Exception {
        SoakRequest request = request(SoakRequest.End.REFUSED, -2 * SECOND, -SECOND);
        String body = request.body;
        reachesAReplica("POST " + request.target + " HTTP/1.1\r\nHost: x\r\nReq-Id: abc\r\nReq-Deadline: 1.000\r\nContent-Length: "
                + body.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n" + body);
        assertEquals(List.of(), judged(request, 0), "as its client sent it");
        replicas.attempts().clear();
        reachesAReplica("POST " + request.target + " HTTP/1.1\r\nHost: x\r\nReq-Id: abc\r\nContent-Length: 2\r\n\r\n{}");
        assertEquals(List.of(Rule.FOREIGN_BYTES), judged(request, 0), "another body");
        replicas.attempts().clear();
        reachesAReplica("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nReq-Id: other\r\nContent-Length: 2\r\n\r\n{}");
        assertEquals(List.of(Rule.FOREIGN_BYTES), judged(request, 0), "an id that no client sent");
    }
}
