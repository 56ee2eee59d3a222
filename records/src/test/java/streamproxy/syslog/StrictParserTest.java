package streamproxy.syslog;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import streamproxy.syslog.reading.ParsedMessage;
import streamproxy.syslog.reading.Frames;
import streamproxy.syslog.reading.Malformed;
import streamproxy.syslog.reading.StrictParser;

/** The parser against the RFC's own words, not against our formatter: a fault of that must not be mirrored here. */
class StrictParserTest {
    private static ParsedMessage parse(String text) throws Malformed { return StrictParser.parse(text.getBytes(StandardCharsets.UTF_8)); }

    private static int columnOf(String text) { return assertThrows(Malformed.class, () -> parse(text)).column(); }

    private static String at(String time) { return "<0>1 " + time + " - - - - -"; }

    /** RFC 5424 6.5, examples 1 to 4. */
    @Test void theExamplesOfTheRfcAreRead() throws Malformed {
        ParsedMessage first = parse("<34>1 2003-10-11T22:14:15.003Z mymachine.example.com su - ID47 - \uFEFF'su root' failed for lonvick on /dev/pts/8");
        assertEquals(4, first.facility());
        assertEquals(2, first.severity());
        assertEquals(Instant.parse("2003-10-11T22:14:15.003Z"), first.time());
        assertEquals("mymachine.example.com", first.host());
        assertEquals("su", first.app());
        assertEquals("", first.processId());
        assertEquals("ID47", first.messageId());
        assertEquals(0, first.elements().size());
        assertEquals("'su root' failed for lonvick on /dev/pts/8", first.message());
        ParsedMessage second = parse("<165>1 2003-08-24T05:14:15.000003-07:00 192.0.2.1 myproc 8710 - - %% It's time to make the do-nuts.");
        assertEquals(Instant.parse("2003-08-24T12:14:15.000003Z"), second.time());
        assertEquals("8710", second.processId());
        ParsedMessage third = parse("<165>1 2003-10-11T22:14:15.003Z mymachine.example.com evntslog - ID47 [exampleSDID@32473 iut=\"3\" "
                + "eventSource=\"Application\" eventID=\"1011\"] \uFEFFAn application event log entry...");
        assertEquals("1011", third.value("exampleSDID", "eventID"));
        assertEquals("An application event log entry...", third.message());
        ParsedMessage fourth = parse("<165>1 2003-10-11T22:14:15.003Z mymachine.example.com evntslog - ID47 [exampleSDID@32473 iut=\"3\" "
                + "eventSource=\"Application\" eventID=\"1011\"][examplePriority@32473 class=\"high\"]");
        assertEquals(2, fourth.elements().size());
        assertEquals("high", fourth.value("examplePriority", "class"));
        assertEquals("", fourth.message());
    }

    /** RFC 5424 6.3.5: a blank between two elements ends them, one behind the bracket is none of theirs. */
    @Test void theRfcsOddExamplesAreReadAsItSays() throws Malformed {
        ParsedMessage blank = parse("<0>1 - - - - - [exampleSDID@32473 iut=\"3\"] [examplePriority@32473 class=\"high\"]");
        assertEquals(1, blank.elements().size());
        assertEquals("[examplePriority@32473 class=\"high\"]", blank.message());
        assertEquals(17, columnOf("<0>1 - - - - - [ exampleSDID@32473 iut=\"3\"]"));
        assertEquals("", parse("<0>1 - - - - - [sigSig]").message());
    }

    /** RFC 5424 6.2.3.1. */
    @Test void theRfcsTimesAreReadAndItsInvalidOneIsRefused() throws Malformed {
        assertEquals(Instant.parse("1985-04-12T23:20:50.52Z"), parse(at("1985-04-12T23:20:50.52Z")).time());
        assertEquals(Instant.parse("1985-04-12T23:20:50.52Z"), parse(at("1985-04-12T19:20:50.52-04:00")).time());
        assertNull(parse(at("-")).time());
        for (String wrong : new String[] {"2003-08-24T05:14:15.000000003-07:00", "2003-02-30T00:00:00Z", "2003-08-24T24:00:00Z",
                "2003-08-24T23:59:60Z", "2003-08-24 05:14:15Z", "2003-08-24T05:14:15", "2003-08-24T05:14:15+24:00", "03-08-24T05:14:15Z"}) {
            assertTrue(columnOf(at(wrong)) >= 6, wrong);
        }
    }

    @Test void whatTheGrammarDoesNotAllowIsRefusedWhereItStands() {
        assertEquals(1, columnOf(""));
        assertEquals(2, columnOf("<192>1 - - - - - -"));
        assertEquals(2, columnOf("<007>1 - - - - - -"));
        assertEquals(4, columnOf("<0>2 - - - - - -"));
        assertEquals(6, columnOf("<0>1  - - - - -"));
        assertEquals(16, columnOf("<0>1 - - - - - x"));
        assertEquals(17, columnOf("<0>1 - - - - - -x"));
        assertEquals(20, columnOf("<0>1 - - - - - [a][a]"));
        assertEquals(21, columnOf("<0>1 - - - - - [a b=c]"));
        assertEquals(23, columnOf("<0>1 - - - - - [a b=\"c]d\"]"));
        assertEquals(24, columnOf("<0>1 - - - - - [a b=\"cd"));
        assertEquals(49, columnOf("<0>1 - - - - - [" + "n".repeat(33) + "]"));
        assertEquals(263, columnOf("<0>1 - " + "h".repeat(256) + " - - - -"));
        byte[] notUtf8 = "<0>1 - - - - - [a b=\"c\"]".getBytes(StandardCharsets.UTF_8);
        notUtf8[21] = (byte) 0xC0;
        assertEquals(22, assertThrows(Malformed.class, () -> StrictParser.parse(notUtf8)).column());
    }

    @Test void escapesAreResolvedAndABackslashAloneStandsForItself() throws Malformed {
        assertEquals("a\"b]c\\d\\ne", parse("<0>1 - - - - - [x y=\"a\\\"b\\]c\\\\d\\ne\"]").value("x", "y"));
    }

    @Property(seed = "9", tries = 2000) void anyBytesAreReadOrRefusedAndNothingElse(@ForAll byte[] bytes) {
        try {
            StrictParser.parse(bytes);
        } catch (Malformed e) {
            assertTrue(e.column() >= 1 && e.column() <= bytes.length + 1, "column " + e.column());
        }
    }

    @Test void framesOfBothKindsAreTakenApartAndABadOneDoesNotTakeTheNextWithIt() throws Exception {
        Frames frames = new Frames(new ByteArrayInputStream("5 ab\ncd3 xyz<0>line\n\n<0>next\n0 bad\n4 four9 end".getBytes(StandardCharsets.US_ASCII)));
        assertEquals("ab\ncd", text(frames));
        assertEquals(1, frames.line());
        assertEquals("xyz", text(frames));
        assertEquals("<0>line", text(frames));
        assertEquals("<0>next", text(frames));
        assertEquals(4, frames.line());
        assertThrows(Malformed.class, frames::next);
        assertEquals("four", text(frames));
        assertEquals(6, frames.line());
        assertThrows(Malformed.class, frames::next);
        assertNull(frames.next());
    }

    private static String text(Frames frames) throws Exception { return new String(frames.next(), StandardCharsets.US_ASCII); }
}
