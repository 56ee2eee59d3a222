package streamproxy.syslog;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.After;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;
import streamproxy.records.Event;
import streamproxy.syslog.reading.ParsedMessage;

/** What collectors do to the records, and that nothing of it reaches those who make them. */
public class SyslogIntegrationTest {
    private static final long MS = 1_000_000L;
    private static final String PASSWORD = "stand-in";

    @Rule public final TemporaryFolder folder = new TemporaryFolder();
    private final List<AutoCloseable> opened = new ArrayList<>();

    @After public void end() throws Exception {
        for (int i = opened.size() - 1; i >= 0; i--) {
            opened.get(i).close();
        }
    }

    private <T extends AutoCloseable> T keep(T it) {
        opened.add(it);
        return it;
    }

    private static void await(String what, BooleanSupplier condition) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (!condition.getAsBoolean()) {
            assertTrue("not in time: " + what, System.nanoTime() < until);
            Thread.sleep(2);
        }
    }

    private static Collector collector(String name, int port, Collector.Transport transport, Framing framing, Collector.Tls tls) {
        return new Collector(name, StandInCollector.HOST, port, transport, framing, 8_192, tls);
    }

    private static Collector tcp(int port) { return collector("main", port, Collector.Transport.TCP, Framing.OCTETS, null); }

    private Syslog syslog(List<Collector> collectors, boolean all, int queue, Path spool) throws IOException {
        return syslog(collectors, all, queue, spool, 200 * MS);
    }

    private Syslog syslog(List<Collector> collectors, boolean all, int queue, Path spool, long stalledNs) throws IOException {
        Message.Origin origin = new Message.Origin(16, "router-1", "streamproxy", 4711, "0.2.0", 32473, false, 0);
        Syslog syslog = keep(new Syslog(new Syslog.Wishes(origin, collectors, all, queue, 200 * MS, 2_000 * MS, 100_000 * MS, stalledNs, spool,
                1 << 20, 3)));
        syslog.start();
        return syslog;
    }

    private static Event event(int i) {
        return new Event.Answered(i, "a" + i, "chat", "", 0, Event.Final.REFUSED, "", "shed", List.of(), 1, 1, 1, 1, 1, 1, 1, 1, 1);
    }

    private static void make(Syslog syslog, int from, int to) {
        for (int i = from; i < to; i++) {
            syslog.accept(event(i));
        }
    }

    private static Set<String> ids(StandInCollector at) {
        Set<String> ids = new HashSet<>();
        at.found.forEach(found -> ids.add(found.value("request", "id")));
        ids.remove("");
        return ids;
    }

    private static void assertAll(Set<String> ids, int from, int to) {
        for (int i = from; i < to; i++) {
            assertTrue("a" + i + " is missing", ids.contains("a" + i));
        }
    }

    @Test public void eachTransportCarriesEachRecordOnce() throws Exception {
        StandInCollector udp = keep(new StandInCollector());
        StandInCollector octets = keep(new StandInCollector(0, null, false));
        StandInCollector newline = keep(new StandInCollector(0, null, false));
        Syslog syslog = syslog(List.of(collector("u", udp.port(), Collector.Transport.UDP, Framing.DATAGRAM, null),
                collector("o", octets.port(), Collector.Transport.TCP, Framing.OCTETS, null),
                collector("n", newline.port(), Collector.Transport.TCP, Framing.NEWLINE, null)), true, 1_000, null);
        make(syslog, 0, 50);
        for (StandInCollector at : List.of(udp, octets, newline)) {
            await("all are there", () -> at.found.size() == 50);
            assertAll(ids(at), 0, 50);
            assertEquals(List.of(), at.malformed);
            List<Integer> numbers = at.found.stream().map(f -> Integer.parseInt(f.value("meta", "sequenceId"))).toList();
            assertEquals("in their order", numbers.stream().sorted().toList(), numbers);
        }
        await("all are counted", () -> syslog.counts().sent() == 150);
        assertEquals(150, syslog.counts().made());
    }

    @Test public void aCollectorThatDiesAndComesBackGetsWhatWaitedMeanwhile() throws Exception {
        StandInCollector first = keep(new StandInCollector(0, null, false));
        Syslog syslog = syslog(List.of(tcp(first.port())), true, 1_000, null);
        make(syslog, 0, 10);
        await("it has the first", () -> first.found.size() == 10);
        first.close();
        make(syslog, 10, 50);
        StandInCollector second = keep(new StandInCollector(first.port(), null, false));
        make(syslog, 50, 60);
        await("the rest has come", () -> ids(second).contains("a59"));
        Set<String> ids = ids(first);
        ids.addAll(ids(second));
        // What was written to the connection that died and never read is lost without a trace on TCP: at most a batch.
        assertAll(ids, 50, 60);
        assertTrue("lost " + (60 - ids.size()), ids.size() >= 20);
        await("all are accounted for", () -> syslog.counts().made() == syslog.counts().sent() + syslog.counts().dropped());
        assertTrue(syslog.counts().connects() >= 2);
    }

    /** One that accepts and does not read must not keep those who make records, and what it costs is counted by kind. */
    @Test public void aCollectorThatHangsCostsRecordsAndNothingElse() throws Exception {
        StandInCollector hung = keep(new StandInCollector(0, null, false));
        hung.hang();
        Syslog syslog = syslog(List.of(tcp(hung.port())), true, 100, null);
        int made = 0;
        while (syslog.counts().dropped() < 1_000) {
            make(syslog, made, made + 1_000);
            made += 1_000;
        }
        Syslog.Counts counts = syslog.counts();
        assertEquals(made, counts.made());
        hung.goOn();
        int last = made;
        await("it takes records again", () -> {
            syslog.accept(event(last));
            return ids(hung).contains("a" + last);
        });
        await("and is told how many were dropped", () -> hung.found.stream().anyMatch(f -> f.messageId().equals("queue")
                && Long.parseLong(f.value("queue", "dropped_refusal")) >= 1_000));
        await("nothing waits", () -> syslog.counts().waiting() == 0);
        await("all are accounted for", () -> syslog.counts().made() == syslog.counts().sent() + syslog.counts().dropped());
    }

    /** One that reads a little at a time loses what does not fit, no more, and gets the rest whole and in order. */
    @Test public void aSlowCollectorGetsWhatItTakesInTimeAndTheRestIsCounted() throws Exception {
        StandInCollector slow = keep(new StandInCollector(0, null, false));
        slow.trickle();
        Syslog syslog = syslog(List.of(tcp(slow.port())), true, 200, null, 60_000 * MS);
        int made = 0;
        while (syslog.counts().dropped() < 100) {
            make(syslog, made, made + 100);
            made += 100;
            slow.allow(500);
        }
        long dropped = syslog.counts().dropped();
        await("what waited has gone out", () -> {
            slow.allow(100_000);
            return syslog.counts().waiting() == 0 && syslog.counts().made() == syslog.counts().sent() + syslog.counts().dropped();
        });
        int all = made;
        await("and has come", () -> {
            slow.allow(100_000);
            return ids(slow).size() == all - dropped;
        });
        assertEquals(1, slow.connections.get());
        assertEquals(List.of(), slow.malformed);
        List<Integer> numbers = slow.found.stream().filter(f -> f.element("request").isPresent())
                .map(f -> Integer.parseInt(f.value("meta", "sequenceId"))).toList();
        assertEquals("in their order", numbers.stream().sorted().toList(), numbers);
    }

    @Test public void aConnectionClosedWithinAFrameCostsNoLaterRecord() throws Exception {
        StandInCollector rude = keep(new StandInCollector(0, null, false));
        rude.closeAfter(700);
        Syslog syslog = syslog(List.of(tcp(rude.port())), true, 10_000, null);
        make(syslog, 0, 100);
        await("it was connected to again and again", () -> {
            syslog.accept(event(1));
            return rude.connections.get() >= 3;
        });
        rude.closeAfter(0);
        await("later ones arrive whole", () -> {
            syslog.accept(event(777));
            return ids(rude).contains("a777");
        });
        assertEquals(List.of(), rude.malformed);
    }

    @Test public void theFirstCollectorThatWorksGetsAllAndTheFirstOfAllIsComeBackTo() throws Exception {
        StandInCollector first = keep(new StandInCollector(0, null, false));
        StandInCollector second = keep(new StandInCollector(0, null, false));
        Syslog syslog = syslog(List.of(tcp(first.port()), collector("other", second.port(), Collector.Transport.TCP, Framing.OCTETS, null)),
                false, 1_000, null);
        make(syslog, 0, 10);
        await("the first has them", () -> first.found.size() == 10);
        assertEquals(0, second.connections.get());
        first.close();
        await("the second gets them", () -> {
            syslog.accept(event(11));
            return ids(second).contains("a11");
        });
        StandInCollector back = keep(new StandInCollector(first.port(), null, false));
        await("the first gets them again", () -> {
            syslog.accept(event(12));
            return ids(back).contains("a12");
        });
    }

    @Test public void whatWaitsAtTheEndIsSentWithinItsTime() throws Exception {
        StandInCollector at = keep(new StandInCollector(0, null, false));
        Syslog syslog = syslog(List.of(tcp(at.port())), true, 10_000, null);
        make(syslog, 0, 5_000);
        syslog.close();
        await("all have come", () -> at.found.size() == 5_000);
        assertEquals(5_000, syslog.counts().sent());
        StandInCollector hung = keep(new StandInCollector(0, null, false));
        hung.hang();
        Syslog kept = syslog(List.of(tcp(hung.port())), true, 100_000, null);
        make(kept, 0, 60_000);
        kept.close(); // comes back though the collector never reads
        await("what was given up is counted", () -> kept.counts().made() == kept.counts().sent() + kept.counts().dropped());
        assertTrue(kept.counts().dropped() > 0);
    }

    @Test public void whatTheSpoolHoldsIsSentAfterARestartWithItsOldNumbers() throws Exception {
        StandInCollector at = keep(new StandInCollector(0, null, false));
        Path spool = folder.newFolder().toPath();
        int port = at.port();
        at.close();
        Syslog before = syslog(List.of(tcp(port)), false, 1_000, spool);
        make(before, 0, 20);
        await("they are on disk", () -> messages(spool) == 20);
        before.close();
        StandInCollector back = keep(new StandInCollector(port, null, false));
        Syslog after = syslog(List.of(tcp(port)), false, 1_000, spool);
        make(after, 20, 30);
        await("all have come", () -> ids(back).size() == 30);
        Set<String> numbers = new HashSet<>();
        back.found.forEach(found -> numbers.add(found.value("meta", "sequenceId")));
        assertEquals("each has a number of its own", 30, numbers.size());
        assertEquals(List.of(), back.malformed);
    }

    private static int messages(Path spool) {
        try {
            return Spool.messages(spool).size();
        } catch (IOException e) {
            return -1;
        }
    }

    /** TCP tells nothing of what arrived: from the spool it comes again, and the numbers tell which do. */
    @Test public void afterABreakWhatMayBeLostComesAgainFromTheSpool() throws Exception {
        StandInCollector at = keep(new StandInCollector(0, null, false));
        at.hang();
        Syslog syslog = syslog(List.of(tcp(at.port())), false, 1_000, folder.newFolder().toPath());
        make(syslog, 0, 20);
        await("they were written", () -> syslog.counts().sent() == 20);
        at.dropAll(); // unread
        at.goOn();
        make(syslog, 20, 30);
        await("all have come", () -> ids(at).size() == 30);
        assertEquals(List.of(), at.malformed);
    }

    @Test public void recordsOfTwoRoutersDoNotMix() throws Exception {
        StandInCollector at = keep(new StandInCollector(0, null, false));
        Syslog one = syslog(List.of(tcp(at.port())), true, 10_000, null);
        Syslog other = syslog(List.of(tcp(at.port())), true, 10_000, null);
        for (int i = 0; i < 2_000; i += 2) {
            one.accept(event(i));
            other.accept(event(i + 1));
        }
        await("all have come", () -> at.found.size() == 2_000);
        assertAll(ids(at), 0, 2_000);
        assertEquals(List.of(), at.malformed);
        assertEquals(2, at.connections.get());
    }

    // ---- TLS ----------------------------------------------------------------------------------------

    /** A store with a key and its own certificate, made now by the JDK's keytool; and one that trusts it. */
    private final class Identity {
        final Path store;
        final Path trust;
        final Path password;

        Identity(String name, String alternative, String... more) throws Exception {
            Path at = folder.newFolder().toPath();
            store = at.resolve(name + ".p12");
            trust = at.resolve(name + "-trust.p12");
            password = at.resolve("password");
            Files.writeString(password, PASSWORD + "\n");
            List<String> words = new ArrayList<>(List.of("-genkeypair", "-alias", name, "-keyalg", "EC", "-dname", "CN=" + name, "-ext",
                    "san=" + alternative, "-storetype", "PKCS12", "-keystore", store.toString(), "-storepass", PASSWORD));
            words.addAll(List.of(more));
            keytool(words);
            Path certificate = at.resolve(name + ".cer");
            keytool(List.of("-exportcert", "-alias", name, "-keystore", store.toString(), "-storepass", PASSWORD, "-file", certificate.toString()));
            keytool(List.of("-importcert", "-noprompt", "-alias", name, "-file", certificate.toString(), "-storetype", "PKCS12", "-keystore",
                    trust.toString(), "-storepass", PASSWORD));
        }

        Collector.Tls trusted(Identity own) {
            return new Collector.Tls(trust, password, own == null ? null : own.store, own == null ? null : own.password, true);
        }

        javax.net.ssl.SSLContext asServer(Identity client) throws IOException {
            return Keys.context(new Collector.Tls(client == null ? trust : client.trust, password, store, password, true));
        }
    }

    private static void keytool(List<String> words) throws Exception {
        List<String> command = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "keytool").toString(), "-J-XX:TieredStopAtLevel=1"));
        command.addAll(words);
        Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
        String said = new String(process.getInputStream().readAllBytes());
        assertEquals(said, 0, process.waitFor());
    }

    private static Collector tls(int port, Collector.Tls tls) {
        return collector("secure", port, Collector.Transport.TLS, Framing.OCTETS, tls);
    }

    @Test public void overTlsBothSidesShowWhoTheyAre() throws Exception {
        Identity server = new Identity("collector", "ip:127.0.0.2");
        Identity client = new Identity("router", "dns:router-1");
        StandInCollector at = keep(new StandInCollector(0, server.asServer(client), true));
        Syslog syslog = syslog(List.of(tls(at.port(), server.trusted(client))), true, 1_000, null);
        make(syslog, 0, 100);
        await("all have come", () -> ids(at).size() == 100);
        assertEquals(List.of(), at.malformed);
    }

    @Test public void acollectorThatIsNotWhoItShouldBeGetsNothing() throws Exception {
        Identity server = new Identity("collector", "ip:127.0.0.2");
        Identity stranger = new Identity("stranger", "ip:127.0.0.2");
        Identity elsewhere = new Identity("elsewhere", "dns:logs.example.com");
        Identity old = new Identity("old", "ip:127.0.0.2", "-startdate", "2020/01/01", "-validity", "30"); // trusted itself, and over
        StandInCollector wrong = keep(new StandInCollector(0, stranger.asServer(null), false));
        StandInCollector misnamed = keep(new StandInCollector(0, elsewhere.asServer(null), false));
        StandInCollector expired = keep(new StandInCollector(0, old.asServer(null), false));
        Syslog syslog = syslog(List.of(tls(wrong.port(), server.trusted(null)), tls(misnamed.port(), elsewhere.trusted(null)),
                tls(expired.port(), old.trusted(null))), true, 1_000, null);
        make(syslog, 0, 10);
        for (StandInCollector at : List.of(wrong, misnamed, expired)) {
            await("it was tried more than once", () -> at.connections.get() >= 2);
            assertEquals(0, at.found.size());
        }
        assertEquals(0, syslog.counts().sent());
        assertEquals("they wait", 30, syslog.counts().waiting());
    }

    @Test public void keysAreExchangedUnderLoadAndNoRecordIsLost() throws Exception {
        Identity server = new Identity("collector", "ip:127.0.0.2");
        Identity before = new Identity("before", "dns:router-1");
        Identity after = new Identity("after", "dns:router-1");
        Path store = folder.newFile("own.p12").toPath();
        Files.copy(before.store, store, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        Path both = folder.newFolder().toPath().resolve("both.p12");
        Files.copy(before.trust, both);
        keytool(List.of("-importkeystore", "-noprompt", "-srckeystore", after.trust.toString(), "-srcstorepass", PASSWORD, "-destkeystore",
                both.toString(), "-deststorepass", PASSWORD));
        javax.net.ssl.SSLContext context = Keys.context(new Collector.Tls(both, server.password, server.store, server.password, true));
        StandInCollector at = keep(new StandInCollector(0, context, true));
        Collector.Tls own = new Collector.Tls(server.trust, server.password, store, server.password, true);
        Syslog syslog = syslog(List.of(tls(at.port(), own)), true, 100_000, null);
        make(syslog, 0, 1_000);
        await("it is connected", () -> at.connections.get() == 1);
        Files.copy(after.store, store, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        syslog.rereadKeys();
        make(syslog, 1_000, 3_000);
        await("all have come", () -> ids(at).size() == 3_000);
        await("over a second connection", () -> at.connections.get() == 2);
        assertEquals("each once", 3_000, at.found.stream().filter(f -> f.element("request").isPresent()).count());
        assertEquals(List.of(), at.malformed);
    }

    @Test public void aSummaryOfTheQueueSaysHowManyWereSent() throws Exception {
        StandInCollector at = keep(new StandInCollector(0, null, false));
        Message.Origin origin = new Message.Origin(16, "router-1", "streamproxy", 4711, "0.2.0", 32473, false, 0);
        Syslog syslog = keep(new Syslog(new Syslog.Wishes(origin, List.of(tcp(at.port())), true, 100, 200 * MS, 2_000 * MS, 100 * MS, 200 * MS, null,
                1 << 20, 3)));
        syslog.start();
        make(syslog, 0, 10);
        await("their number is told", () -> at.found.stream().filter(f -> f.messageId().equals("queue"))
                .mapToLong(f -> Long.parseLong(f.value("queue", "sent"))).sum() == 10);
        ParsedMessage first = at.found.stream().filter(f -> f.messageId().equals("queue")).findFirst().orElseThrow();
        assertEquals("main", first.value("queue", "collector"));
        assertEquals("0", first.value("queue", "dropped"));
    }
}
