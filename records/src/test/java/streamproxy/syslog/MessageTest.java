package streamproxy.syslog;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;
import streamproxy.records.Event;
import streamproxy.records.EventFormatter;
import streamproxy.records.EventText;
import streamproxy.syslog.reading.ParsedMessage;
import streamproxy.syslog.reading.Malformed;
import streamproxy.syslog.reading.StrictParser;

class MessageTest {
    private static final Message.Origin ORIGIN = new Message.Origin(16, "router-1", "streamproxy", 4711, "0.2.0", 32473, true, 500);
    private final Message message = new Message(ORIGIN);

    private static Event.Answered answered(String id, String clazz, String tenant, int attempts) {
        List<Event.Tried> tried = new ArrayList<>();
        for (int i = 0; i < attempts; i++) {
            tried.add(new Event.Tried("s-" + i, "timeout", "drawn", 1_000_000L * i));
        }
        return new Event.Answered(1_500, id, clazz, tenant, 0xabcL, Event.Final.SERVED, "s-1", "list", tried, 3_000_000_000L, 1_500_000, 100_000,
                9_000_000, 20_000_000, 5, 3, 400, -1);
    }

    private static String utf8(byte[] bytes) { return new String(bytes, StandardCharsets.UTF_8); }

    @Test void arecordHasTheRfcsForm() {
        byte[] bytes = message.of(EventFormatter.of(new Event.PhaseEntered(1_500, "serving", "starting")), 7, 8_192);
        assertEquals("<133>1 1970-01-01T00:00:01.500Z router-1 streamproxy 4711 phase [phase@32473 name=\"serving\" after=\"starting\"]"
                + "[meta sequenceId=\"7\" sysUpTime=\"100\"][origin software=\"streamproxy\" swVersion=\"0.2.0\"]"
                + "[timeQuality tzKnown=\"1\" isSynced=\"1\"] \uFEFFserving after starting", utf8(bytes));
    }

    @Test void oddTextsBreakNeitherTheElementNorTheLine() throws Malformed {
        String odd = "\"]\\ \n\r\0\u0085\u2028\u2029\ud800x\udc00 Qu\u1eadn B\u00ecnh Th\u1ea1nh \ud83c\udfe0 [x y=\"z\"]";
        byte[] bytes = message.of(EventFormatter.of(answered("id\n1", odd, odd, 1)), 1, 8_192);
        ParsedMessage found = StrictParser.parse(bytes);
        assertEquals("\"]\\ \uFFFD\uFFFD\uFFFD\uFFFD\uFFFD\uFFFD\uFFFDx\uFFFD Qu\u1eadn B\u00ecnh Th\u1ea1nh \ud83c\udfe0 [x y=\"z\"]",
                found.value("request", "tenant"));
        assertEquals("id\uFFFD1", found.value("request", "id"));
        assertFalse(utf8(bytes).contains("\n"));
        Message unusual = new Message(new Message.Origin(0, "h\u00f4 st", "", 1, "]\"", 1, false, 0));
        ParsedMessage header = StrictParser.parse(unusual.of(EventFormatter.of(new Event.ListChanged(0, "full", 1, 1)), 1, 480));
        assertEquals("h??st", header.host());
        assertEquals("", header.app());
        assertEquals("]\"", header.value("origin", "swVersion"));
    }

    /** MSG first, then what is worth least as a whole; the id to the last, and what was done is said. */
    @Test void whatIsTooLongIsCutByRank() throws Malformed {
        EventText told = EventFormatter.of(answered("a1", "chat", "north", 10));
        int whole = message.of(told, 1, 8_192).length;
        ParsedMessage all = StrictParser.parse(message.of(told, 1, whole));
        assertEquals(10, all.values("request", "tried").size());
        assertEquals("", all.value("request", "truncated"));
        ParsedMessage shorter = StrictParser.parse(message.of(told, 1, whole - 1));
        assertEquals("msg", shorter.value("request", "truncated"));
        assertTrue(told.sentence().startsWith(shorter.message()) && shorter.message().length() < told.sentence().length());
        ParsedMessage least = StrictParser.parse(message.of(told, 1, 480));
        assertTrue(least.value("request", "truncated").matches("msg \\d+"), least.value("request", "truncated"));
        assertEquals("", least.message());
        assertEquals("a1", least.value("request", "id"));
        assertEquals("served", least.value("request", "end"));
        assertTrue(least.values("request", "tried").size() < 10);
        assertFalse(least.element("timeQuality").isPresent(), "worth least of all");
    }

    @Property(seed = "10", tries = 500) void atEachLimitAMessageIsWholeUtf8AndNoLonger(@ForAll @StringLength(max = 300) String id,
            @ForAll @StringLength(max = 300) String clazz, @ForAll @IntRange(min = 480, max = 1500) int most,
            @ForAll @IntRange(max = 12) int attempts) throws Malformed {
        byte[] bytes = message.of(EventFormatter.of(answered("i" + id, clazz, "north", attempts)), Integer.MAX_VALUE, most);
        assertTrue(bytes.length <= most, bytes.length + " of " + most);
        ParsedMessage found = StrictParser.parse(bytes);
        String given = found.value("request", "id");
        assertTrue(("i" + SyslogText.text(id)).startsWith(given) && !given.isEmpty());
        if (found.value("request", "truncated").isEmpty()) {
            assertEquals("i" + SyslogText.text(id), given);
            assertEquals(SyslogText.text(clazz), found.value("request", "class"));
            assertEquals(attempts, found.values("request", "tried").size());
        }
    }

    @Property(seed = "11", tries = 500) void whatIsWrittenIsReadAgain(@ForAll @Size(max = 8) List<String> values) throws Malformed {
        List<EventText.Param> params = new ArrayList<>();
        for (int i = 0; i < values.size(); i++) {
            params.add(new EventText.Param("p" + i, values.get(i), 1));
        }
        EventText told = new EventText(0, Event.Kind.BOX, 5, List.of(new EventText.Element("box", true, params)), String.join("", values));
        ParsedMessage found = StrictParser.parse(message.of(told, 1, 65_000));
        for (int i = 0; i < values.size(); i++) {
            assertEquals(SyslogText.text(values.get(i)), found.value("box", "p" + i));
        }
        assertEquals(SyslogText.text(told.sentence()), found.message());
    }

    @Test void aLongHostLeavesRoomForTheIdAtTheLeastLimit() throws Malformed {
        Message longest = new Message(new Message.Origin(23, "h".repeat(300), "a".repeat(60), 4_194_304, "9.9.9", Integer.MAX_VALUE, false, 0));
        ParsedMessage found = StrictParser.parse(longest.of(EventFormatter.of(answered("7f3a9c21e0b4d655", "chat", "north", 3)), Integer.MAX_VALUE, 480));
        assertEquals("7f3a9c21e0b4d655", found.value("request", "id"));
    }
}
