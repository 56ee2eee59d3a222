package streamproxy.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import streamproxy.lab.RepeatRule;
import streamproxy.lab.StandIns;
import streamproxy.lab.soak.SoakBreak.Rule;

/** The judge finds each break that is planted, and excuses what the rules excuse. */
@Timeout(30)
class SoakAuditTest {
    private static final long DEADLINE_MS = 1_000;
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private final long terminatedAt = System.nanoTime();
    private SoakReplicas replicas;

    @BeforeEach void start() throws Exception { replicas = SoakReplicas.forOne(1); }

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
        try (LabClock lab = new LabClock(replicas.canaryWay())) {
            new AttemptAudit(List.of(request), replicas, lab, breaks).judge();
        }
        return breaks.stream().map(SoakBreak::rule).toList();
    }

    /** Sends those bytes to a replica, and reads until it answers or closes. */
    private void reachesAReplica(String bytes) throws Exception {
        try (Socket socket = new Socket("127.0.0.1", replicas.standIns().port(0))) {
            socket.getOutputStream().write(bytes.getBytes(StandardCharsets.UTF_8));
            socket.shutdownOutput(); // the end of what was not written whole
            while (replicas.attempts().isEmpty()) {
                Thread.onSpinWait();
            }
            socket.getInputStream().readAllBytes();
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

    /** A whole attempt of that request with another deadline or body. */
    private static String attempt(SoakRequest request, String deadline, String body) {
        return "POST " + request.target + " HTTP/1.1\r\nHost: x\r\nReq-Id: abc\r\nReq-Deadline: " + deadline + "\r\nContent-Length: "
                + body.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n" + body;
    }

    /** The request is sent anew at this moment, and those bytes reach a replica. */
    private void assertJudged(List<Rule> expected, SoakRequest request, String bytes) throws Exception {
        replicas.attempts().clear();
        request.sentAt = System.nanoTime();
        request.endedAt = request.sentAt + SECOND;
        reachesAReplica(bytes);
        assertEquals(expected, judged(request, 0), bytes);
    }

    @Test void bytesThatNoClientSentAreABreak() throws Exception {
        SoakRequest request = request(SoakRequest.End.REFUSED, 0, SECOND);
        assertJudged(List.of(), request, attempt(request, "0.100", request.body));
        assertJudged(List.of(Rule.FOREIGN_BYTES), request, attempt(request, "0.100", "{}"));
        assertJudged(List.of(Rule.FOREIGN_BYTES), request,
                "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nReq-Id: other\r\nContent-Length: 2\r\n\r\n{}");
    }

    /** A router may call off what it has begun to write, but whatever it wrote must be the beginning of a client's request. */
    @Test void theBeginningOfAnAttemptIsJudgedLikeAWholeOne() throws Exception {
        SoakRequest request = request(SoakRequest.End.LEFT, 0, SECOND);
        String whole = attempt(request, "0.100", request.body);
        assertJudged(List.of(), request, whole.substring(0, 12));
        assertJudged(List.of(), request, whole.substring(0, whole.indexOf("Req-Id")));
        assertJudged(List.of(), request, whole.substring(0, whole.indexOf("\r\n\r\n") + 10));
        assertJudged(List.of(Rule.FOREIGN_BYTES), request, "0\r\n\r\nPOST /v1");
        String otherBody = "x".repeat(request.body.length());
        assertJudged(List.of(Rule.FOREIGN_BYTES), request, attempt(request, "0.100", otherBody).substring(0, whole.indexOf("\r\n\r\n") + 10));
    }

    @Test void moreTimeThanItsClientHasLeftIsABreak() throws Exception {
        SoakRequest request = request(SoakRequest.End.REFUSED, 0, SECOND);
        assertJudged(List.of(), request, attempt(request, "0.100", request.body));
        assertJudged(List.of(Rule.DEADLINE), request, attempt(request, "1.400", request.body));
    }

    @Test void anAttemptAtAReplicaWhoseEndWasToldLongAgoIsABreak() {
        SoakRequest request = request(SoakRequest.End.REFUSED, 0, SECOND);
        assertEquals(List.of(), judgedAtEnded(request, 6_700));
        assertEquals(List.of(Rule.DRAINED_REPLICA), judgedAtEnded(request, 6_800));
    }

    /** A repeat that the class allows no more, or never allowed, is a break; one of a class that may bind as well is none. */
    @Test void aRepeatThatNoRuleThatMayBindAllowsIsABreak() {
        SoakRequest request = new SoakRequest("abc", 5 * DEADLINE_MS, new SplittableRandom(1)); // in time each time
        request.ends(SoakRequest.End.REFUSED, "");
        assertEquals(List.of(), judgedAgain(request, 1_100, RepeatRule.KEYED));
        assertEquals(List.of(Rule.REPEATED), judgedAgain(request, 1_300, RepeatRule.KEYED));
        assertEquals(List.of(Rule.REPEATED), judgedAgain(request, 10, RepeatRule.UNSAFE));
        assertEquals(List.of(), judgedAgain(request, 1_300, RepeatRule.SAFE));
        assertEquals(List.of(), judgedAgain(request, 1_300, RepeatRule.KEYED, RepeatRule.SAFE));
    }

    private List<Rule> judgedAgain(SoakRequest request, long afterMs, RepeatRule... rules) {
        request.sentAt = System.nanoTime();
        request.endedAt = request.sentAt + 2 * SECOND;
        request.rules = Set.of(rules);
        String whole = attempt(request, "0.000", request.body);
        StandIns.Message message = new StandIns.Message(whole.substring(0, whole.indexOf("\r\n\r\n") + 4), request.bodyBytes());
        replicas.attempts().clear();
        replicas.attempts().add(new SoakReplicas.Attempt(message, request.sentAt, 1, 0));
        replicas.attempts().add(new SoakReplicas.Attempt(message, request.sentAt + TimeUnit.MILLISECONDS.toNanos(afterMs), 2, 0));
        return judged(request, 0);
    }

    /** Until a reload binds either rule may; a request that began before it keeps its own. */
    @Test void rulesInForceAreThoseThatMayBind() {
        RulesInForce rules = new RulesInForce(RepeatRule.KEYED);
        long at = 100 * SECOND;
        rules.reloaded(RepeatRule.SAFE, at);
        assertEquals(Set.of(RepeatRule.KEYED), rules.between(at - SECOND, at - 1));
        assertEquals(Set.of(RepeatRule.KEYED, RepeatRule.SAFE), rules.between(at - SECOND, at));
        assertEquals(Set.of(RepeatRule.KEYED, RepeatRule.SAFE), rules.between(at + SECOND, at + SECOND));
        assertEquals(Set.of(RepeatRule.SAFE), rules.between(at + 2 * SECOND, at + 2 * SECOND));
        rules.spoilt(at + 2 * SECOND);
        assertEquals(Set.of(RepeatRule.SAFE), rules.between(at + 4 * SECOND, at + 4 * SECOND));
        rules.reloaded(RepeatRule.UNSAFE, at + 5 * SECOND);
        rules.spoilt(at + 5 * SECOND + 1);
        assertEquals(Set.of(RepeatRule.SAFE, RepeatRule.UNSAFE), rules.between(at + 9 * SECOND, at + 9 * SECOND));
    }

    /** What is judged of an attempt that reaches a replica so long after the list told that it has gone. */
    private List<Rule> judgedAtEnded(SoakRequest request, long endedForMs) {
        request.sentAt = System.nanoTime();
        request.endedAt = request.sentAt + SECOND;
        String whole = attempt(request, "0.100", request.body);
        int body = whole.indexOf("\r\n\r\n") + 4;
        StandIns.Message message = new StandIns.Message(whole.substring(0, body), request.bodyBytes());
        replicas.attempts().clear();
        replicas.attempts().add(new SoakReplicas.Attempt(message, request.sentAt, 1, TimeUnit.MILLISECONDS.toNanos(endedForMs)));
        return judged(request, 0);
    }
}
