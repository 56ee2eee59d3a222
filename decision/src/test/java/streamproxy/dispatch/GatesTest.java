package streamproxy.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import streamproxy.dispatch.AttemptGate.Bounds;
import streamproxy.dispatch.AttemptGate.Verdict;
import streamproxy.streams.CompleteStream;
import streamproxy.streams.StreamDefect;
import streamproxy.streams.StreamEventKind;
import streamproxy.streams.StreamProgress;

/** Each fact that forbids something does so alone, and each break is counted. */
class GatesTest {
    private static final long MS = 1_000_000L;
    private static final long NOW = 1_000 * MS;
    private static final Bounds BOUNDS = new Bounds(new ClientDeadline(2_000 * MS), 1_500 * MS);

    private final List<String> told = new ArrayList<>();
    private final RuleMonitor monitor = new RuleMonitor((rule, id) -> told.add(rule.word() + " " + id));

    private record Found(boolean calledOff, boolean replicaReady, boolean answeredEarly, boolean clientWaits, long now) implements AttemptGate.Facts {
        Found(boolean calledOff, boolean replicaReady, boolean clientWaits, long now) { this(calledOff, replicaReady, false, clientWaits, now); }
    }

    private static Verdict begin(boolean calledOff, boolean ready, boolean waits, long now) {
        return AttemptGate.begin(BOUNDS, new Found(calledOff, ready, waits, now));
    }

    @Test void anAttemptBeginsWhereNothingForbidsIt() {
        assertEquals(Verdict.GO, begin(false, true, true, NOW));
        assertEquals(Verdict.CALLED_OFF, begin(true, true, true, NOW));
        assertEquals(Verdict.REPLICA_NOT_READY, begin(false, false, true, NOW));
        assertEquals(Verdict.TOO_LATE, begin(false, true, true, 1_500 * MS));
        assertEquals(Verdict.CLIENT_LEFT, begin(false, true, false, NOW));
        assertEquals(Verdict.OUT_OF_TIME, AttemptGate.begin(new Bounds(new ClientDeadline(NOW + 120 * MS), Long.MAX_VALUE), new Found(false, true, true, NOW)));
    }

    private static Verdict commit(boolean calledOff, boolean waits, long now, long toldNs) {
        return AttemptGate.commit(BOUNDS, new Found(calledOff, false, waits, now), toldNs, NOW);
    }

    @Test void theLastByteIsWrittenWhereAllThatAllowedTheAttemptStillHolds() {
        assertEquals(Verdict.GO, commit(false, true, NOW, 880 * MS));
        assertEquals(Verdict.GO, commit(false, true, NOW + 60 * MS, 880 * MS), "the margin covers a slow write");
        assertEquals(Verdict.OUT_OF_TIME, commit(false, true, NOW + 61 * MS, 880 * MS));
        assertEquals(Verdict.CALLED_OFF, commit(true, true, NOW, 880 * MS));
        assertEquals(Verdict.TOO_LATE, commit(false, true, 1_500 * MS, 400 * MS));
        assertEquals(Verdict.ANSWERED_EARLY, AttemptGate.commit(BOUNDS, new Found(false, true, true, true, NOW), 880 * MS, NOW));
        assertEquals(Verdict.CLIENT_LEFT, commit(false, false, NOW + 30 * MS, 880 * MS));
        assertEquals(Verdict.GO, commit(false, false, NOW + 10 * MS, 880 * MS), "looked at just before");
    }

    @Test void whatARuleForbidsAndHappenedAllTheSameIsNamed() {
        assertEquals(List.of(), AttemptGate.broken(BOUNDS, 880 * MS, NOW + 270 * MS));
        assertEquals(List.of(Rule.DEADLINE_TOLD), AttemptGate.broken(BOUNDS, 880 * MS, NOW + 271 * MS));
        assertEquals(List.of(Rule.SENT_TOO_LATE), AttemptGate.broken(BOUNDS, 100 * MS, 1_651 * MS));
    }

    @Test void aRequestHasOneAnswerInTimeAndNoSilentEnd() {
        AnswerGate once = new AnswerGate(monitor);
        once.owes("a", BOUNDS.deadline());
        assertTrue(once.answers(2_500 * MS));
        assertEquals("rules broken: none; attempts not sent: none; streams incomplete: none", monitor.toString());
        assertFalse(once.answers(2_500 * MS));
        once.ends(false);
        AnswerGate late = new AnswerGate(monitor);
        late.owes("b", BOUNDS.deadline());
        assertTrue(late.answers(2_501 * MS));
        AnswerGate silent = new AnswerGate(monitor);
        silent.owes("c", BOUNDS.deadline());
        silent.ends(false);
        AnswerGate left = new AnswerGate(monitor);
        left.owes("d", BOUNDS.deadline());
        left.ends(true);
        new AnswerGate(monitor).ends(false);
        assertEquals(List.of("answered_twice a", "answered_late b", "closed_unanswered c"), told);
        monitor.notSent(Verdict.CLIENT_LEFT);
        monitor.notSent(Verdict.CLIENT_LEFT);
        assertEquals("rules broken: answered_twice 1, closed_unanswered 1, answered_late 1; attempts not sent: client_left 2; streams incomplete: none",
                monitor.toString());
        assertEquals(1, monitor.brokenSoFar(Rule.ANSWERED_TWICE));
    }

    @Test void anAnswerWithoutAProofThatItIsCompleteIsNotEnded() {
        StreamProgress stream = new StreamProgress();
        stream.took(7);
        stream.event(Set.of(StreamEventKind.FINISH, StreamEventKind.USAGE));
        stream.event(Set.of(StreamEventKind.DONE));
        CompleteStream proof = stream.lastChunk(false);
        AnswerGate gate = new AnswerGate(monitor);
        gate.owes("a", BOUNDS.deadline());
        assertTrue(gate.ends(proof, 7));
        assertFalse(gate.ends(proof, 6), "some of it was lost on its way");
        assertFalse(gate.ends(null, 7));
        assertEquals(List.of("ended_incomplete a", "ended_incomplete a"), told);
    }

    @Test void incompleteStreamsAreCountedByTheirReason() {
        monitor.incomplete(StreamDefect.NO_DONE);
        assertEquals("rules broken: none; attempts not sent: none; streams incomplete: no_done 1", monitor.toString());
    }
}
