package streamproxy.streams;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static streamproxy.streams.StreamEventKind.DONE;
import static streamproxy.streams.StreamEventKind.ERROR;
import static streamproxy.streams.StreamEventKind.FINISH;
import static streamproxy.streams.StreamEventKind.TEXT;
import static streamproxy.streams.StreamEventKind.UNCLOSED;
import static streamproxy.streams.StreamEventKind.USAGE;

import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import streamproxy.streams.StreamProgress.Phase;

class StreamProgressTest {
    private static final Set<StreamEventKind> COMMENT = Set.of();

    private final StreamProgress stream = new StreamProgress();

    private CompleteStream play(List<Set<StreamEventKind>> events) {
        events.forEach(event -> {
            stream.took(10);
            stream.event(event);
        });
        return stream.lastChunk(false);
    }

    @Test void aStreamIsCompleteBehindItsFinishUsageDoneAndLastChunk() {
        CompleteStream proof = play(List.of(COMMENT, Set.of(TEXT), Set.of(TEXT, FINISH), Set.of(USAGE), Set.of(DONE), COMMENT));
        assertEquals(60, proof.bytes());
        assertEquals(Phase.COMPLETE, stream.phase());
    }

    @Test void eachPhaseIsToldAndItsEndHasAReason() {
        List<Set<StreamEventKind>> whole = List.of(Set.of(TEXT), Set.of(FINISH), Set.of(USAGE), Set.of(DONE));
        List<Phase> phases = List.of(Phase.OPENING, Phase.TEXT, Phase.FINISHED, Phase.REPORTED, Phase.DONE);
        List<StreamDefect> defects = List.of(StreamDefect.NO_EVENT, StreamDefect.NO_FINISH, StreamDefect.NO_USAGE, StreamDefect.NO_DONE);
        for (int events = 0; events <= whole.size(); events++) {
            StreamProgress upTo = new StreamProgress();
            whole.subList(0, events).forEach(upTo::event);
            assertEquals(phases.get(events), upTo.phase());
            if (events < whole.size()) {
                assertNull(upTo.lastChunk(false));
                assertEquals(defects.get(events), upTo.defect());
                assertEquals(Phase.BROKEN, upTo.phase());
            } else {
                assertNotNull(upTo.lastChunk(false));
            }
        }
    }

    @Test void doneWithoutWhatItStandsBehindBreaksTheStreamAtOnce() {
        StreamProgress text = new StreamProgress();
        text.event(Set.of(TEXT));
        assertEquals(StreamDefect.NO_FINISH, text.event(Set.of(DONE)));
        assertEquals(StreamDefect.NO_USAGE, new StreamProgress().event(Set.of(DONE)));
        stream.event(Set.of(FINISH));
        assertEquals(StreamDefect.NO_USAGE, stream.event(Set.of(DONE)));
        assertEquals(StreamDefect.NO_USAGE, stream.event(Set.of(USAGE)), "nothing mends it");
    }

    @Test void whatBreaksAStreamFirstIsItsReason() {
        assertNull(stream.event(Set.of(TEXT)));
        assertEquals(StreamDefect.ERROR_EVENT, stream.event(Set.of(TEXT, ERROR)));
        assertEquals(StreamDefect.ERROR_EVENT, stream.breaks(StreamDefect.CONNECTION_ENDED));
        assertNull(stream.lastChunk(false));
    }

    @Test void aLastChunkWithinAnEventBreaksACompleteStream() {
        List.of(Set.of(TEXT, FINISH, USAGE), Set.of(DONE)).forEach(stream::event);
        assertNull(stream.lastChunk(true));
        assertEquals(StreamDefect.CUT_EVENT, stream.defect());
    }

    /** The rest of a stream that broke behind its last token has no text. */
    @Test void aStreamWithoutTextNeedsNoReasonToFinish() { assertEquals(20, play(List.of(Set.of(USAGE), Set.of(DONE))).bytes()); }

    /** Whatever comes in whatever order: by an oracle that reads the stream from its end. */
    @Property void noOtherStreamIsComplete(@ForAll @Size(max = 8) List<@Size(max = 2) Set<StreamEventKind>> events, @ForAll boolean withinEvent) {
        StreamProgress any = new StreamProgress();
        events.forEach(any::event);
        assertEquals(!withinEvent && isComplete(events), any.lastChunk(withinEvent) != null);
    }

    private static boolean isComplete(List<Set<StreamEventKind>> events) {
        List<Set<StreamEventKind>> told = events.stream().filter(event -> !event.isEmpty()).toList();
        boolean endsWithDone = !told.isEmpty() && told.get(told.size() - 1).contains(DONE);
        return endsWithDone && told.stream().filter(event -> event.contains(DONE)).count() == 1
                && (told.stream().noneMatch(event -> event.contains(TEXT)) || told.stream().anyMatch(event -> event.contains(FINISH)))
                && told.stream().anyMatch(event -> event.contains(USAGE))
                && told.stream().noneMatch(event -> event.contains(ERROR) || event.contains(UNCLOSED));
    }
}
