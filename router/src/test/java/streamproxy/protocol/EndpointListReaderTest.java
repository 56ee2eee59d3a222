package streamproxy.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import streamproxy.protocol.EndpointEntry.News;

class EndpointListReaderTest {
    private static final int MANY = 3_200;
    private static final int LONG_UID = 1_000;

    private static String entry(int number, String uid) {
        return "{\"uid\":\"" + uid + "\",\"endpoint\":\"10.0." + number / 250 + "." + number % 250 + ":80\",\"az\":\"a\",\"model\":\"k\","
                + "\"pod_group\":1,\"state\":\"ready\",\"capacity_hint\":1.5,\"boot_ms\":7}";
    }

    private static String list(int revision, boolean all, String entries) {
        return "{\"rev\":" + revision + ",\"all\":" + all + ",\"targets\":[" + entries + "]}";
    }

    private static List<News> read(String text) {
        EndpointListReader reader = new EndpointListReader(false);
        List<News> lists = new ArrayList<>();
        for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
            if (reader.next(b) == EndpointListReader.Progress.LIST) {
                lists.add(reader.take());
            }
        }
        return lists;
    }

    @Property(tries = 200) void aListIsReadAsItsWholeTextIs(@ForAll @IntRange(max = 20) int entries, @ForAll boolean indented) {
        String text = list(4, true, IntStream.range(0, entries).mapToObj(i -> entry(i, "s-\\\"]{,}[" + i)).collect(Collectors.joining(",")));
        text = indented ? text.replace(",\"", ",\n  \"").replace("[{", "[\n {") : text;
        assertEquals(List.of(EndpointEntry.news(Json.parse(text))), read(text + "\n"));
    }

    @Test void thousandsOfEntriesWithLongIdsAndATenthSpoiltLeaveTheGoodOnes() {
        String name = "x".repeat(LONG_UID);
        String text = list(9, true, IntStream.range(0, MANY).mapToObj(i -> i % 10 == 0 ? "{\"uid\":\"" + i + "\",\"endpoint\":}" : entry(i, name + i))
                .collect(Collectors.joining(",\n")));
        News news = read(text).get(0);
        assertEquals(MANY * 9 / 10, news.boxes().size());
        assertFalse(news.full(), "what the spoilt ones stand for stays");
        assertEquals(List.of("an entry that is no JSON"), news.faults(), "said once");
    }

    @Test void entriesBeyondTheBoundAreLeftOutAndTheOthersStay() {
        String text = list(9, true, IntStream.range(0, EndpointList.MOST_ENTRIES + 5).mapToObj(i -> entry(i % 50_000, "s" + i)).collect(Collectors.joining(",")));
        News news = read(text).get(0);
        assertEquals(EndpointList.MOST_ENTRIES, news.boxes().size());
        assertFalse(news.full());
        assertEquals(1, news.faults().size());
    }

    @Test void anEntryThatIsTooLongCostsNoMoreThanItself() {
        News news = read(list(1, true, entry(1, "a") + "," + entry(2, "y".repeat(EndpointListReader.MOST_ENTRY_BYTES)) + "," + entry(3, "b"))).get(0);
        assertEquals(List.of("a", "b"), news.boxes().stream().map(EndpointEntry::uid).toList());
        assertFalse(news.full());
    }

    @Test void listsAndEmptyLinesFollowOneAnother() {
        EndpointListReader reader = new EndpointListReader(true);
        StringBuilder seen = new StringBuilder();
        for (byte b : ("\n" + list(2, false, entry(1, "a")) + "\n\r\n" + list(3, false, "") + "\n").getBytes(StandardCharsets.UTF_8)) {
            switch (reader.next(b)) {
                case EMPTY_LINE -> seen.append('-');
                case LIST -> seen.append(reader.take().version()).append(reader.text().length() > 30 ? "t" : "");
                default -> { }
            }
        }
        assertEquals("-2t-3t", seen.toString());
        assertFalse(reader.isWithinList());
    }

    @Test void whatIsNoListIsSaidAtOnce() {
        for (String text : List.of("[]", "true", "x", "{\"rev\":1]}", "{\"rev\":1,\"all\":true}", "{\"targets\":3}")) {
            assertThrows(IllegalArgumentException.class, () -> read(text), text);
        }
        assertThrows(Json.Malformed.class, () -> read(" ".repeat(EndpointListReader.MOST_OTHER_BYTES + 1)));
        assertThrows(Json.Malformed.class, () -> read("{\"x\":\"" + "y".repeat(EndpointListReader.MOST_OTHER_BYTES)));
        assertTrue(read("").isEmpty());
    }
}
