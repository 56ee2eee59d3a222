package streamproxy.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import streamproxy.streams.StreamEventKind;

class EventContentTest {
    private static EventContent of(String event) { return EventContent.of(event.getBytes(StandardCharsets.UTF_8)); }

    private static void assertSays(String event, StreamEventKind... kinds) { assertEquals(Set.of(kinds), of(event).says(), event); }

    @Test void anEventSaysWhatTheProtocolPageHasItSay() {
        assertSays("data: {\"choices\":[{\"delta\":{\"content\":\"a\"},\"finish_reason\":null}]}\n\n", StreamEventKind.TEXT);
        assertSays("data: {\"choices\":[{\"delta\":{\"content\":\"a\"},\"finish_reason\":\"stop\"}]}\n\n", StreamEventKind.TEXT, StreamEventKind.FINISH);
        assertSays("data:{ \"choices\" : [ {\"finish_reason\" : null}, {\"finish_reason\" : \"length\"} ] }\r\n\r\n", StreamEventKind.TEXT, StreamEventKind.FINISH);
        assertSays("data: {\"choices\":[],\"usage\":{\"prompt_tokens\":9}}\n\n", StreamEventKind.USAGE);
        assertSays("data: {\"choices\":[{\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":9}}\n\n", StreamEventKind.TEXT,
                StreamEventKind.FINISH, StreamEventKind.USAGE);
        assertSays("data: {\"choices\":[],\"usage\":null}\n\n", StreamEventKind.TEXT);
        assertSays("data: [DONE]\n\n", StreamEventKind.DONE);
        assertSays("data:[DONE]\r\n\r\n", StreamEventKind.DONE);
        assertSays("data: hello\n\n", StreamEventKind.TEXT);
    }

    @Test void wordsInTheTextOfAnAnswerSayNothing() {
        assertSays("data: {\"choices\":[{\"delta\":{\"content\":\"usage\"},\"finish_reason\":null}]}\n\n", StreamEventKind.TEXT);
        assertSays("data: {\"choices\":[{\"delta\":{\"content\":\"\\\"finish_reason\\\":\\\"stop\\\"\"}}]}\n\n", StreamEventKind.TEXT);
        assertSays("data: {\"choices\":[{\"delta\":{\"content\":\"error\"}}]}\n\n", StreamEventKind.TEXT);
        assertSays("data: {\"choices\":[{\"delta\":{\"content\":\"[DONE]\"}}]}\n\n", StreamEventKind.TEXT);
    }

    @Test void aFailureIsToldByAnErrorOrByTheEventsName() {
        assertTrue(of("data: {\"error\":{\"message\":\"out of memory\"}}\n\n").says().contains(StreamEventKind.ERROR));
        assertTrue(of("data: {\"object\":\"error\",\"message\":\"x\"}\n\n").says().contains(StreamEventKind.ERROR));
        assertSays("event: error\ndata: x\n\n", StreamEventKind.ERROR);
        assertSays("data: {\"error\":null,\"choices\":[]}\n\n", StreamEventKind.TEXT);
    }

    @Test void anObjectThatIsNotClosedIsSeen() { assertSays("data: {\"choices\":[{\"index\":0,\"de\n\n", StreamEventKind.UNCLOSED); }

    @Test void commentsSayNothingAndMayHoldALoadReport() {
        assertSays(": waiting\n\n");
        assertEquals(" {\"q\":2}", of(": Srv-Load: {\"q\":2}\n\n").loadReport());
        EventContent both = of(": Srv-Load: {\"q\":2}\ndata: [DONE]\n\n");
        assertEquals(Set.of(StreamEventKind.DONE), both.says());
        assertEquals(" {\"q\":2}", both.loadReport());
        assertNull(of("data: {\"a\":\": Srv-Load: {}\"}\n\n").loadReport());
    }

    @Test void keptTokensAreReadWhereAnEventTellsThem() {
        assertEquals(4096, of("data: {\"choices\":[],\"usage\":{\"prompt_tokens_details\":{\"cached_tokens\":4096}}}\n\n").keptTokens());
        assertEquals(-1, of("data: {\"choices\":[],\"usage\":{\"prompt_tokens\":9}}\n\n").keptTokens());
    }

    @Property void anyBytesAreRead(@ForAll byte[] event) { EventContent.of(event); }
}
