package streamproxy.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.InputStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;
import streamproxy.protocol.NodeConfig.Unusable;
import streamproxy.protocol.OperatorReader;
import streamproxy.syslog.Collector;
import streamproxy.syslog.Framing;
import streamproxy.syslog.Syslog;

class SyslogSettingsTest {
    private static final String MAIN = "[syslog collector main]\naddress = logs.example.com:601\n";

    @TempDir private Path folder;

    private Syslog.Wishes read(String text) throws Exception {
        Path file = folder.resolve("f.ini");
        Files.writeString(file, text);
        return SyslogSettings.wishes(OperatorReader.read(file.toString()), 0).orElse(null);
    }

    private String refused(String text) {
        return assertThrows(Unusable.class, () -> read(text)).getMessage().replace(folder + "/", "");
    }

    @Test void whatIsSetIsTakenAndTheRestHasItsDefault() throws Exception {
        Syslog.Wishes wishes = read("[syslog]\nto = first\nfacility = 23\nqueue = 100\nspool = /tmp/x\nspool_mb = 3\n" + MAIN
                + "transport = tcp\nframing = newline\nmost_bytes = 480\n[syslog collector other]\naddress = 10.0.0.1:514\n");
        assertEquals(2, wishes.collectors().size());
        Collector main = wishes.collectors().get(0);
        assertEquals(new Collector("main", "logs.example.com", 601, Collector.Transport.TCP, Framing.NEWLINE, 480, null), main);
        assertEquals(1_180, wishes.collectors().get(1).mostBytes());
        assertEquals(Framing.DATAGRAM, wishes.collectors().get(1).framing());
        assertEquals(23, wishes.origin().facility());
        assertEquals(32_473, wishes.origin().enterprise());
        assertEquals(3 << 20, wishes.spoolBytes());
        assertTrue(!wishes.all());
        assertEquals(null, read("[syslog]\njson = yes\n"));
    }

    @Test void whatCannotBeIsRefusedWithItsPlace() {
        assertEquals("f.ini: line 1: [syslog]: no [syslog collector NAME] is set", refused("[syslog]\nqueue = 100\n"));
        assertEquals("f.ini: line 2: [syslog] facility: 24 is not within 0 to 23", refused("[syslog]\nfacility = 24\n" + MAIN));
        assertEquals("f.ini: line 2: [syslog] to: some is none of all, first", refused("[syslog]\nto = some\n" + MAIN));
        assertEquals("f.ini: line 2: [syslog] drain_s: not a number: -1", refused("[syslog]\ndrain_s = -1\n" + MAIN));
        assertEquals("f.ini: line 2: [syslog] facilty: no such key", refused("[syslog]\nfacilty = 1\n" + MAIN));
        assertEquals("f.ini: line 2: [syslog] spool_mb: without a spool there is nothing to bound", refused("[syslog]\nspool_mb = 1\n" + MAIN));
        assertEquals("f.ini: line 1: [syslog collector x]: address must be HOST:PORT", refused("[syslog collector x]\ntransport = tcp\n"));
        assertEquals("f.ini: line 2: [syslog collector x] address: address must be HOST:PORT", refused("[syslog collector x]\naddress = h:99999\n"));
        assertEquals("f.ini: line 3: [syslog collector main] framing: datagrams have none", refused(MAIN + "framing = octets\n"));
        assertEquals("f.ini: line 3: [syslog collector main] most_bytes: 479 is not within 480 to 65000", refused(MAIN + "most_bytes = 479\n"));
        assertEquals("f.ini: line 3: [syslog collector main] trust_store: only for transport = tls", refused(MAIN + "trust_store = /x\n"));
        assertEquals("f.ini: line 1: [syslog collector main]: transport = tls needs a trust_store", refused(MAIN + "transport = tls\n"));
        assertEquals("f.ini: line 4: [syslog collector main] trust_store: /nowhere cannot be read",
                refused(MAIN + "transport = tls\ntrust_store = /nowhere\n"));
        String noStore = refused(MAIN + "transport = tls\ntrust_store = " + folder.resolve("f.ini") + "\n");
        assertTrue(noStore.startsWith("f.ini: line 4: [syslog collector main] trust_store: "), noStore);
    }

    // ---- The command that reads them again -------------------------------------------------------------

    private static final String RECORDS = "<134>1 2026-12-01T08:00:00.000Z r1 streamproxy 1 answer [request@32473 id=\"a1\" end=\"served\" class=\"chat\" "
            + "box=\"s-1\" budget_ms=\"3000.000\" wait_ms=\"1700.000\" connect_ms=\"1.000\" first_ms=\"1800.000\" whole_ms=\"1900.000\" "
            + "tried=\"0 s-1 ok drawn 200.000\"] \uFEFFchat served\n"
            + "<133>1 2026-12-01T08:00:01.000Z r1 streamproxy 1 refusal [request@32473 id=\"a2\" end=\"refused\" class=\"chat\" decision=\"shed\"]\n"
            + "<133>1 2026-12-01T08:00:02.000Z r1 streamproxy 1 [oops\n"
            + "<134>1 2026-12-01T09:00:00.000Z r1 streamproxy 1 attempt [attempt@32473 id=\"a3\" box=\"s-2\" outcome=\"timeout\"]\n";

    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private int log(String... words) {
        InputStream before = System.in;
        System.setIn(new ByteArrayInputStream(RECORDS.getBytes(StandardCharsets.UTF_8)));
        try {
            return new CommandLine(new LogCommand()).setOut(new PrintWriter(out)).setErr(new PrintWriter(err)).execute(words);
        } finally {
            System.setIn(before);
        }
    }

    @Test void recordsAreFoundByWhatIsAskedForAndWhatCannotBeReadIsToldWithItsPlace() {
        assertEquals(1, log("--json", "--request", "a1"));
        assertEquals("{\"time\":\"2026-12-01T08:00:00Z\",\"severity\":6,\"host\":\"r1\",\"kind\":\"answer\",\"request\":{\"id\":\"a1\",\"end\":\"served\","
                + "\"class\":\"chat\",\"box\":\"s-1\",\"budget_ms\":\"3000.000\",\"wait_ms\":\"1700.000\",\"connect_ms\":\"1.000\","
                + "\"first_ms\":\"1800.000\",\"whole_ms\":\"1900.000\",\"tried\":\"0 s-1 ok drawn 200.000\"},\"text\":\"chat served\"}\n", out.toString());
        assertEquals("standard input: line 3, column 55: a blank wanted\n", err.toString());
    }

    @Test void theyAreFoundByBoxOutcomeKindAndTime() {
        log("--box", "s-2");
        assertEquals(2, out.toString().lines().count(), out.toString());
        out.getBuffer().setLength(0);
        log("--outcome", "refused", "--class", "chat");
        assertTrue(out.toString().lines().skip(1).allMatch(line -> line.contains(" a2 ")), out.toString());
        out.getBuffer().setLength(0);
        log("--from", "2026-12-01T08:00:01Z", "--to", "2026-12-01T09:00:00Z", "--kind", "refusal", "--json");
        assertEquals(1, out.toString().lines().count());
        assertEquals(2, log("--from", "today"));
    }

    @Test void theSumSaysHowTheyEndedAndWhyAnswersWereLate() {
        log("--sum");
        String sum = out.toString();
        assertTrue(sum.contains("late: 1 waited in the module\n"), sum);
        assertTrue(sum.lines().anyMatch(line -> line.matches("chat +1 +0 +1 +0 +0 +1\\d{3}\\.\\d.*")), sum);
        out.getBuffer().setLength(0);
        log("--sum", "--json");
        assertTrue(out.toString().startsWith("{\"class\":\"chat\",\"served\":1,\"broken\":0,\"refused\":1,"), out.toString());
    }
}
