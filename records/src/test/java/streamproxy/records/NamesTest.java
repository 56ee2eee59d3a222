package streamproxy.records;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class NamesTest {
    private static final Event.Tried TRIED = new Event.Tried("s-1", "ok", "list", 2_000_000);

    /** An event of each kind, with all that it may tell. */
    static List<Event> all() {
        List<Long> dropped = new ArrayList<>();
        for (Event.Kind kind : Event.Kind.values()) {
            dropped.add(1L + kind.ordinal());
        }
        return List.of(new Event.Answered(1000, "a1", "chat", "north", 7, Event.Final.SERVED, "s-1", "list", List.of(TRIED), 3_000_000_000L,
                        1_500_000, 100_000, 9_000_000, 20_000_000, 5, 3, 400, 250_000_000),
                new Event.AttemptEnded(1000, "a1", 0, TRIED, 3_000_000), new Event.Probed(1000, "s-1", "ok", 2_000_000),
                new Event.BoxChanged(1000, "s-1", "127.0.0.1:80", "left_out", "failed"),
                new Event.ListChanged(1000, "full", 3, 3), new Event.Reloaded(1000, "line 3"), new Event.PhaseEntered(1000, "serving", "starting"),
                new Event.Standstill(1000, "module", true, 1_100_000_000, "a.b(C.java:1)"),
                new Event.RuleBroken(1000, "deadline_told", "a1"), new Event.DutyChanged(1000, "report", "holding", "asking", 7),
                new Event.QueueState(1000, "main", 5, dropped, 2, 1));
    }

    /** Whoever looks for a name must find it in the page, and nothing there that no record has. */
    @Test void thePageListsJustTheNamesThatThereAre() throws Exception {
        List<String> rows = Files.readAllLines(Path.of("../docs/syslog.md")).stream().filter(line -> line.startsWith("| `")
                && line.chars().filter(c -> c == '|').count() == 4 && line.matches("\\| `[a-z]+` \\| `[a-zA-Z_]+` \\| .*")).toList();
        assertEquals(Names.rows(), rows);
    }

    @Test void eachNameIsToldByAnEventAndNoOther() {
        Set<String> listed = new HashSet<>();
        for (Names name : Names.values()) {
            listed.add(name.element() + " " + name.word());
        }
        Set<String> told = new HashSet<>();
        for (Event event : all()) {
            for (EventText.Element element : EventFormatter.of(event).elements()) {
                assertTrue(element.own());
                element.params().forEach(p -> told.add(element.name() + " " + p.name().replaceFirst("^dropped_.*", "dropped_KIND")));
            }
        }
        assertEquals(listed, told);
    }

    @Test void whatIsNotKnownIsLeftOut() {
        EventText told = EventFormatter.of(new Event.Answered(0, "a", "chat", "", 0, Event.Final.REFUSED, "", "shed", List.of(), -1, -1, -1, -1, -1, -1,
                -1, -1, -1));
        assertEquals(List.of("id", "end", "class", "decision"), told.elements().get(0).params().stream().map(EventText.Param::name).toList());
        assertEquals(Event.Kind.REFUSAL, told.kind());
    }

    @Test void theSameEventIsOneLineOfJson() {
        String line = JsonLine.of(EventFormatter.of(new Event.Answered(0, "a\"\n\u2028\ud800", "chat", "Qu\u1eadn 1", 0, Event.Final.SERVED, "s-1", "list",
                List.of(TRIED), -1, -1, -1, -1, 1_000_000, -1, -1, -1, -1)));
        assertEquals("{\"time\":\"1970-01-01T00:00:00Z\",\"kind\":\"answer\",\"severity\":6,\"id\":\"a\\\"\\u000a\\u2028\\ud800\",\"end\":\"served\","
                + "\"class\":\"chat\",\"tenant\":\"Qu\u1eadn 1\",\"box\":\"s-1\",\"decision\":\"list\",\"whole_ms\":\"1.000\","
                + "\"tried\":[\"0 s-1 ok list 2.000\"],\"text\":\"chat served by s-1 after 1.000 ms\"}", line);
    }
}
