package streamproxy.stories;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertTrue;
import static streamproxy.stories.Waiting.await;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Predicate;
import org.junit.After;
import org.junit.Test;
import streamproxy.program.Router;
import streamproxy.protocol.NodeConfig;
import streamproxy.protocol.OperatorFile;
import streamproxy.protocol.OperatorReader;
import streamproxy.syslog.reading.ParsedMessage;
import streamproxy.syslog.reading.Frames;
import streamproxy.syslog.reading.Malformed;
import streamproxy.syslog.reading.StrictParser;

/** Every answer, refusal and drain of a router is one record at its collector. */
public class RecordsIntegrationTest {
    private static final String END = "0\r\n\r\n";
    private static final ScriptedPeer.Script SERVES = e -> e.stream(ScriptedPeer.FINISH, ScriptedPeer.USAGE, ScriptedPeer.DONE);

    private final List<AutoCloseable> opened = new ArrayList<>();
    private final List<ParsedMessage> found = new CopyOnWriteArrayList<>();
    private final List<String> malformed = new CopyOnWriteArrayList<>();
    private Deployment deployment;
    private Router router;

    @After public void end() throws Exception {
        for (int i = opened.size() - 1; i >= 0; i--) {
            opened.get(i).close();
        }
        if (router != null) {
            router.close();
        }
    }

    private <T extends AutoCloseable> T keep(T it) {
        opened.add(it);
        return it;
    }

    /** A strict collector on TCP; its port. */
    private int collector() throws IOException {
        ServerSocket server = keep(new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1")));
        Thread accepts = new Thread(() -> {
            try {
                while (true) {
                    Socket socket = server.accept();
                    Thread reads = new Thread(() -> read(socket), "collector's connection");
                    reads.setDaemon(true);
                    reads.start();
                }
            } catch (IOException e) {
                // the story is over
            }
        }, "collector");
        accepts.setDaemon(true);
        accepts.start();
        return server.getLocalPort();
    }

    private void read(Socket socket) {
        try (socket) {
            Frames frames = new Frames(socket.getInputStream());
            for (byte[] message = frames.next(); message != null; message = frames.next()) {
                found.add(StrictParser.parse(message));
            }
        } catch (Malformed e) {
            malformed.add(e.getMessage());
        } catch (IOException e) {
            // the router has gone
        }
    }

    static OperatorFile operator(String text) throws Exception {
        Path file = Files.createTempFile("operator", ".ini");
        Files.writeString(file, text);
        OperatorFile read = OperatorReader.read(file.toString());
        Files.delete(file);
        return read;
    }

    private void routerWith(String more, ScriptedPeer... boxes) throws Exception {
        deployment = keep(new Deployment("127.0.0.1:0", 1024, boxes));
        router = deployment.start(operator("[connections]\nactive_most = 50\n[syslog]\nhost = router-1\n" + more
                + "[syslog collector main]\naddress = 127.0.0.1:" + collector() + "\ntransport = tcp\n"));
        await("ready", () -> !of("phase", f -> f.value("phase", "name").equals("serving")).isEmpty());
    }

    private List<ParsedMessage> of(String element, Predicate<ParsedMessage> which) {
        return found.stream().filter(f -> f.element(element).isPresent() && which.test(f)).toList();
    }

    private ParsedMessage request(String id) throws Exception {
        await("the record of " + id, () -> !of("request", f -> f.value("request", "id").equals(id)).isEmpty());
        List<ParsedMessage> records = of("request", f -> f.value("request", "id").equals(id));
        assertEquals(id, 1, records.size());
        return records.get(0);
    }

    @Test public void everyRequestOfALoadHasJustOneRecord() throws Exception {
        ScriptedPeer box = keep(new ScriptedPeer(SERVES));
        routerWith("", box);
        List<Thread> clients = new ArrayList<>();
        Map<String, String> told = new java.util.concurrent.ConcurrentHashMap<>();
        for (int c = 0; c < 10; c++) {
            int number = c;
            Thread client = new Thread(() -> {
                try (Caller caller = new Caller(router.address())) {
                    for (int i = 0; i < 50; i++) {
                        String id = "c" + number + "-" + i;
                        told.put(id, caller.send(Caller.prompt(id, "{}")).readTo(END).substring(9, 12));
                    }
                } catch (IOException e) {
                    throw new IllegalStateException(e);
                }
            });
            client.start();
            clients.add(client);
        }
        for (Thread client : clients) {
            client.join();
        }
        assertEquals(500, told.size());
        await("all have come", () -> of("request", f -> true).size() >= 500);
        Map<String, Integer> records = new TreeMap<>();
        of("request", f -> true).forEach(f -> records.merge(f.value("request", "id"), 1, Integer::sum));
        assertEquals(told.keySet(), records.keySet());
        assertTrue("one each", records.values().stream().allMatch(n -> n == 1));
        assertEquals(List.of(), malformed);
        assertFalse("probes are told", of("probe", f -> f.value("probe", "outcome").equals("ok")).isEmpty());
        assertFalse("and how old the report was that a choice went by", of("attempt", f -> !f.value("attempt", "report_ms").isEmpty()).isEmpty());
        ParsedMessage one = request("c3-7");
        assertEquals("served", one.value("request", "end"));
        assertEquals("chat", one.value("request", "class"));
        assertEquals("7f3a9c21e0b4d655", one.value("request", "key"));
        assertEquals("s-0", one.value("request", "box"));
        assertEquals("2", one.value("request", "tokens"));
        assertEquals("router-1", one.host());
        assertTrue(one.value("request", "tried"), one.value("request", "tried").matches("0 s-0 ok (list|drawn|keeper|cold_turn) \\d+\\.\\d{3}"));
        double first = Double.parseDouble(one.value("request", "first_ms"));
        assertTrue(first <= Double.parseDouble(one.value("request", "whole_ms")) && first > 0);
    }

    @Test public void whatGoesWrongIsToldWithItsAttempts() throws Exception {
        ScriptedPeer box = keep(new ScriptedPeer(e -> {
            if (e.head().contains("Req-Id: broken")) {
                e.streamHead();
                e.chunk("data: one\n\n");
                e.socket().close();
            } else if (e.head().contains("Req-Id: left")) {
                e.awaitClose();
            } else {
                e.answer("503 Busy", "Srv-Declined: 1\r\n", "");
            }
        }));
        routerWith("", box);
        try (Caller caller = new Caller(router.address())) {
            caller.send(Caller.prompt("broken", "{}")).readAll();
        }
        assertEquals("broken", request("broken").value("request", "end"));
        assertEquals("failure", request("broken").messageId());
        try (Caller caller = new Caller(router.address())) {
            caller.send(Caller.prompt("left", "{}"));
            await("the box has it", () -> box.attempts.stream().anyMatch(e -> e.head().contains("Req-Id: left")));
        }
        assertEquals("left", request("left").value("request", "end"));
        assertTrue(request("left").value("request", "tried"), request("left").value("request", "tried").startsWith("0 s-0 cancelled "));
        try (Caller caller = new Caller(router.address())) {
            assertTrue(caller.send(Caller.prompt("full", "{}")).readTo("\r\n").startsWith("HTTP/1.1 503 "));
        }
        ParsedMessage refused = request("full");
        assertEquals("refusal", refused.messageId());
        assertEquals("refused", refused.value("request", "end"));
        assertEquals("spent", refused.value("request", "decision"));
        assertTrue(refused.values("request", "tried").size() >= 1);
        assertTrue(Double.parseDouble(refused.value("request", "retry_ms")) > 0);
        await("each attempt has a record, too", () -> of("attempt", f -> f.value("attempt", "outcome").equals("full")).size()
                == refused.values("request", "tried").size());
    }

    @Test public void drainsReloadsAndThePhasesAreToldAndNothingIsLostAtTheEnd() throws Exception {
        ScriptedPeer box = keep(new ScriptedPeer(SERVES));
        ScriptedPeer other = keep(new ScriptedPeer(SERVES));
        routerWith("", box, other);
        await("both are ready", () -> of("box", f -> f.value("box", "state").equals("ready")).size() == 2);
        deployment.news.add(Deployment.told(2, false, Deployment.entry("s-1", other.address(), "draining")));
        await("it drains", () -> !of("box", f -> f.value("box", "id").equals("s-1") && f.value("box", "state").equals("draining")).isEmpty());
        router.reload(new Router.Reload() {
            @Override public NodeConfig.Again node() throws NodeConfig.Unusable {
                throw new NodeConfig.Unusable("line 7: no good");
            }

            @Override public OperatorFile operator() { return OperatorFile.NONE; }
        });
        await("the reload is told", () -> !of("reload", f -> f.value("reload", "result").equals("refused")
                && f.value("reload", "why").equals("line 7: no good")).isEmpty());
        try (Caller caller = new Caller(router.address())) {
            caller.send(Caller.prompt("last", "{}")).readTo(END);
        }
        router.leave();
        await("the last phase", () -> !of("phase", f -> f.value("phase", "name").equals("stopped")).isEmpty());
        assertEquals("s-0", request("last").value("request", "box"));
        assertEquals(router.records().made(), router.records().sent());
        assertEquals(List.of(), malformed);
    }

    /** Six streams that fall silent at once are one fault of their box: told six times it would be left out for minutes. */
    @Test public void aBoxWhoseStreamsStallTogetherIsToldOfOnce() throws Exception {
        ScriptedPeer box = keep(new ScriptedPeer(e -> {
            e.streamHead();
            for (int i = 0; i < 40; i++) {
                e.chunk("data: " + i + "\n\n");
            }
            e.awaitClose();
        }));
        routerWith("[streams]\nstall_factor = 8\nstall_least_s = 0.2\n", box);
        List<Caller> callers = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            callers.add(keep(new Caller(router.address())).send(Caller.prompt("a" + i, "{}")));
        }
        for (Caller caller : callers) {
            assertFalse(caller.readAll().endsWith(END));
        }
        for (int i = 0; i < 6; i++) {
            assertEquals("broken", request("a" + i).value("request", "end"));
        }
        assertEquals(1, of("box", f -> f.value("box", "state").equals("stalls")).size());
        assertEquals(1, of("attempt", f -> f.value("attempt", "outcome").equals("error")).size());
        assertEquals(5, of("attempt", f -> f.value("attempt", "outcome").equals("cancelled")).size());
    }

    /** What is refused is refused whole: a bad collector must not let the limits beside it take effect. */
    @Test public void aReloadWithABadCollectorChangesNothing() throws Exception {
        routerWith("", keep(new ScriptedPeer(SERVES)));
        OperatorFile bad = operator("[connections]\nclients_most = 1\n[syslog collector x]\naddress = nowhere\n");
        router.reload(new Router.Reload() {
            @Override public NodeConfig.Again node() {
                return new NodeConfig.Again(NodeConfig.address(deployment.list.address()), null);
            }

            @Override public OperatorFile operator() { return bad; }
        });
        await("it is refused", () -> !of("reload", f -> f.value("reload", "why").contains("address must be HOST:PORT")).isEmpty());
        try (Caller one = new Caller(router.address()); Caller other = new Caller(router.address())) {
            one.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").readTo("ready");
            other.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").readTo("ready");
            assertTrue(one.send(Caller.prompt("a1", "{}")).readTo(END).startsWith("HTTP/1.1 200 "));
        }
    }

    /** The platform names no operator's file: there nothing of all this may run. */
    @Test public void withoutAnOperatorNothingIsRecorded() throws Exception {
        deployment = keep(new Deployment("127.0.0.1:0", 1024, keep(new ScriptedPeer(SERVES))));
        Set<Thread> before = Thread.getAllStackTraces().keySet();
        router = deployment.start();
        assertNull(router.records());
        assertTrue(Thread.getAllStackTraces().keySet().stream().filter(t -> !before.contains(t))
                .noneMatch(t -> t.getName().startsWith("syslog ") || t.getName().equals("records as lines")));
    }

    @Test public void asJsonLinesTheyStandOnStandardError() throws Exception {
        ScriptedPeer box = keep(new ScriptedPeer(SERVES));
        Path file = Files.createTempFile("operator", ".ini");
        Files.writeString(file, "[syslog]\njson = yes\n");
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            port = free.getLocalPort();
        }
        Deployment here = keep(new Deployment("127.0.0.1:" + port, 1024, box));
        Process program = ProgramIntegrationTest.start(here.environment, List.of(), "serve", "--operator", file.toString());
        try {
            java.net.InetSocketAddress at = new java.net.InetSocketAddress("127.0.0.1", port);
            ProgramIntegrationTest.awaitReady(at, program);
            try (Caller caller = new Caller(at)) {
                caller.send(Caller.prompt("a1", "{}")).readTo(END);
            }
            program.toHandle().destroy(); // the process's own way would close the stream that is read next
            String said = new String(program.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
            List<String> lines = said.lines().filter(line -> line.contains("\"kind\":\"answer\"")).toList();
            assertEquals(said, 1, lines.size());
            assertTrue(lines.get(0), lines.get(0).startsWith("{\"time\":\"") && lines.get(0).contains("\"id\":\"a1\",\"end\":\"served\""));
            assertEquals(0, program.waitFor());
        } finally {
            program.destroyForcibly();
            Files.delete(file);
        }
    }
}
