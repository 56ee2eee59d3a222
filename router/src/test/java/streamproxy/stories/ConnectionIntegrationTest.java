package streamproxy.stories;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;
import static streamproxy.stories.Waiting.await;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.Test;
import streamproxy.program.Router;
import streamproxy.protocol.NodeConfig;
import streamproxy.protocol.OperatorFile;
import streamproxy.protocol.OperatorReader;

/** What many connections, idle, mute, gone and back at once, do to those that ask. */
public class ConnectionIntegrationTest extends RouterTestBase {
    private static final String END = "0\r\n\r\n";
    private static final ScriptedPeer.Script SERVES = e -> e.stream("data: one\n\n", ScriptedPeer.ENDING);
    /** A request may be refused or be the last of its connection where it is not whole so long after connecting. */
    private static final long READ_LIMIT_NS = TimeUnit.MILLISECONDS.toNanos(2_500);
    private static final String PATIENT = "client_idle_s = 600\nclient_mute_s = 600\n";

    private Deployment deployment;

    private static OperatorFile operator(String connections) throws Exception {
        Path file = Files.createTempFile("operator", ".ini");
        Files.writeString(file, "[connections]\n" + connections);
        OperatorFile read = OperatorReader.read(file.toString());
        Files.delete(file);
        return read;
    }

    private ScriptedPeer routerOver(int descriptors, int memoryMb, String connections, ScriptedPeer.Script script) throws Exception {
        ScriptedPeer box = keep(new ScriptedPeer(script));
        deployment = keep(new Deployment("127.0.0.1:0", descriptors, memoryMb, box));
        router = deployment.start(operator(connections));
        awaitReady();
        return box;
    }

    private static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    private Crowd crowd(String from) throws IOException { return keep(new Crowd(router.address(), from)); }

    private static void assertAllReady(List<String> told) {
        for (String answer : told) {
            assertTrue(answer, answer.startsWith("HTTP/1.1 200 "));
        }
    }

    /** Ten thousand, or as many as this process may hold both ends of. */
    @Test public void busyClientsAreServedAmongVeryManyIdleOnesAndNoneOfThoseIsClosed() throws Exception {
        int many = Crowd.most(10_000);
        routerOver(2 * many + 2000, 4096, PATIENT + "clients_most = " + (many + 100) + "\n", SERVES);
        int threadsBefore = Thread.activeCount();
        Crowd idle = crowd("127.0.0.1").connect(many);
        assertAllReady(idle.ask());
        for (int i = 0; i < 50; i++) {
            try (Caller busy = new Caller(router.address())) {
                for (int j = 0; j < 10; j++) {
                    String answer = busy.send(Caller.prompt("a" + i + "-" + j, "{}")).readTo(END);
                    assertTrue(answer, answer.startsWith("HTTP/1.1 200 "));
                }
            }
        }
        assertEquals(0, idle.closed());
        await("only the idle ones are held", () -> router.clients().held() == many && router.clients().active() == 0);
        await("and they have no threads", () -> Thread.activeCount() <= threadsBefore + 20);
        assertAllReady(idle.ask());
    }

    @Test public void whenThousandsGoInOneMomentTheirPlacesAreFreeAgain() throws Exception {
        int many = Crowd.most(4_000);
        routerOver(2 * many + 2000, 4096, PATIENT + "clients_most = " + many + "\n", SERVES);
        Crowd idle = crowd("127.0.0.1").connect(many);
        await("all are held", () -> router.clients().held() == many);
        idle.close();
        await("none is held", () -> router.clients().held() == 0);
        assertEquals("none had to make room", 0, router.clients().spared());
        Crowd next = crowd("127.0.0.1").connect(many);
        await("as many again", () -> router.clients().held() == many);
        assertAllReady(next.ask());
    }

    /** As after a restart of a front layer: what was taken is answered, and who comes back is, too. */
    @Test public void whenAllReconnectAtOnceNoRequestThatWasTakenIsLost() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        ScriptedPeer box = routerOver(8000, 4096, PATIENT + "clients_most = 1500\nactive_most = 600\naccepts_per_s = 4000\n", e -> {
            assertTrue(go.await(30, TimeUnit.SECONDS));
            SERVES.play(e);
        });
        Crowd before = crowd("127.0.0.1").connect(1000);
        assertAllReady(before.ask());
        List<Caller> taken = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            taken.add(caller().send(Caller.prompt("taken" + i, "{}")));
        }
        await("the box has them", () -> box.attempts.size() == 20);
        before.close();
        Crowd after = crowd("127.0.0.1").connect(1000);
        assertAllReady(after.ask());
        go.countDown();
        for (Caller caller : taken) {
            String answer = caller.readTo(END);
            assertTrue(answer, answer.startsWith("HTTP/1.1 200 "));
        }
        assertEquals(20, box.attempts.size());
    }

    /** A place that goes to others while a request is read on it: what was read is answered, not dropped unsaid. */
    @Test public void aRequestWhosePlaceGoesToOthersWhileItIsReadIsAnswered() throws Exception {
        routerOver(1024, 4096, PATIENT + "clients_most = 1\n", SERVES);
        await("the place is free", () -> router.clients().held() == 0);
        Caller slow = caller().send("POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\n");
        await("it is read", () -> router.clients().active() == 1);
        Caller next = caller(); // accepted once the first has been coming for too long
        String answer = next.send(Caller.prompt("a1", "{}")).readTo(END);
        assertTrue(answer, answer.startsWith("HTTP/1.1 200 "));
        String told = slow.readAll();
        assertTrue(told, told.startsWith("HTTP/1.1 503 "));
        assertEquals(1, router.clients().spared());
    }

    /** Clients behind one address that open connections and say nothing must not take those of others. */
    @Test public void aMuteFloodFromOneAddressEndsAtItsCap() throws Exception {
        routerOver(2000, 4096, PATIENT + "clients_most = 300\nclients_per_address = 100\n", SERVES);
        Crowd flood = crowd("127.0.0.2").connect(400);
        await("what is beyond the cap is closed", () -> {
            try {
                return flood.closed() == 300;
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
        assertEquals(100, router.clients().held());
        assertEquals(300, router.clients().addressFull());
        assertAllReady(crowd("127.0.0.3").connect(50).ask());
        assertEquals("nobody had to make room", 0, router.clients().spared());
    }

    @Test public void beyondTheMostActiveARequestIsToldAtOnceWhenToComeBack() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        ScriptedPeer box = routerOver(1024, 4096, PATIENT + "active_most = 3\naccepts_per_s = 10\n", e -> {
            assertTrue(go.await(30, TimeUnit.SECONDS));
            SERVES.play(e);
        });
        List<Caller> taken = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            taken.add(caller().send(Caller.prompt("taken" + i, "{}")));
        }
        await("three are under way", () -> box.attempts.size() == 3);
        double longest = 0;
        for (int i = 0; i < 20; i++) {
            String answer = caller().send(Caller.prompt("late" + i, "{}")).readAll();
            assertTrue(answer, answer.startsWith("HTTP/1.1 503 ") && answer.contains("\r\nRetry-After: "));
            int at = answer.indexOf("Retry-After: ") + 13;
            longest = Math.max(longest, Double.parseDouble(answer.substring(at, answer.indexOf('\r', at))));
        }
        // At ten a second so many are not taken on within a second: told that, they would be turned away once more.
        assertTrue("longest wait " + longest, longest > 1.0 && longest <= 2.0);
        assertEquals(20, router.clients().activeFull());
        go.countDown();
        for (Caller caller : taken) {
            caller.readTo(END);
        }
        await("they have ended", () -> router.clients().active() == 0);
        String answer = caller().send(Caller.prompt("next", "{}")).readTo(END);
        assertTrue(answer, answer.startsWith("HTTP/1.1 200 "));
    }

    /** Either the request is served, or the close crosses it: never half an answer, and never none. */
    @Test public void aRequestInTheInstantWhenItsIdleTimeEndsIsServedOrCrossedByTheClose() throws Exception {
        routerOver(1024, 4096, "client_idle_s = 0.1\n", SERVES);
        long seed = 20261201;
        System.out.println("seed " + seed);
        SplittableRandom random = new SplittableRandom(seed);
        int served = 0;
        int crossed = 0;
        for (int i = 0; i < 60; i++) {
            try (Caller caller = new Caller(router.address())) {
                caller.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").readTo("ready");
                long at = System.nanoTime() + 98_000_000L + random.nextLong(5_000_000L);
                while (System.nanoTime() < at) {
                    Thread.onSpinWait(); // the instant is what this story is about
                }
                String answer = "";
                try {
                    caller.send(Caller.prompt("i" + i, "{}"));
                    answer = caller.readTo(END);
                } catch (IOException e) {
                    String told = String.valueOf(e.getMessage());
                    assertTrue(told, !told.startsWith("closed after: ") || told.equals("closed after: "));
                }
                served += answer.isEmpty() ? 0 : 1;
                crossed += answer.isEmpty() ? 1 : 0;
                assertTrue(answer, answer.isEmpty() || answer.startsWith("HTTP/1.1 200 "));
            }
        }
        assertEquals(60, served + crossed);
        await("all places are free again", () -> router.clients().held() == 0);
    }

    /** Whether the router has closed it, once what it said before is read. */
    private static boolean endsSoon(Socket socket) throws IOException {
        socket.setSoTimeout(1);
        try {
            while (socket.getInputStream().read() >= 0) {
                continue;
            }
            return true;
        } catch (java.net.SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    /** The program itself, told of 2,048 descriptors where the system gives it 200. */
    private final class ProgramWith200Descriptors implements AutoCloseable {
        private final InetSocketAddress at;
        private final Process process;

        ProgramWith200Descriptors(Deployment deployment, int port) throws Exception {
            at = new InetSocketAddress("127.0.0.1", port);
            process = ProgramIntegrationTest.start(deployment.environment, List.of("sh", "-c", "ulimit -n 200; exec \"$@\"", "sh"), "serve");
            keep((AutoCloseable) process::destroyForcibly); // also where it is never ready
            ProgramIntegrationTest.awaitReady(at, process);
        }

        /** One more client that connects and says nothing. */
        Socket connect() throws IOException {
            Socket socket = keep(new Socket(at.getAddress(), at.getPort()));
            socket.setSoTimeout(15_000);
            return socket;
        }

        void assertServes(String id) throws IOException {
            try (Caller caller = new Caller(at)) {
                String answer = caller.send(Caller.prompt(id, "{}")).readTo(END);
                assertTrue(answer, answer.startsWith("HTTP/1.1 200 "));
            }
        }

        @Override public void close() { process.destroyForcibly(); }
    }

    private static int freePort() throws IOException {
        try (java.net.ServerSocket free = new java.net.ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return free.getLocalPort();
        }
    }

    /** The system's limit may be lower than the platform says: idle connections go, and who asks is served. */
    @Test public void whereDescriptorsRunOutIdleConnectionsMakeRoom() throws Exception {
        int port = freePort();
        Deployment told = keep(new Deployment("127.0.0.1:" + port, 2048, 4096, box(SERVES)));
        try (ProgramWith200Descriptors program = new ProgramWith200Descriptors(told, port)) {
            List<Socket> idle = new ArrayList<>();
            for (int i = 0; i < 400; i++) {
                Socket socket = program.connect();
                socket.getOutputStream().write("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                assertEquals("client " + i, 'H', socket.getInputStream().read());
                idle.add(socket);
            }
            program.assertServes("a1");
            int closed = 0;
            for (Socket socket : idle) {
                closed += endsSoon(socket) ? 1 : 0;
            }
            // 200 descriptors, a part of them the JVM's own: so many at least had to go, and not all of them.
            assertTrue("closed " + closed, closed >= 200 && closed < 400);
            assertTrue(program.process.isAlive());
        }
    }

    /** Idle clients hold all that they may while the list's service is away: it is found again, and who asks is served. */
    @Test public void whileTheListsServiceIsAwayIdleClientsMayFillTheDescriptors() throws Exception {
        ScriptedPeer drains = box(SERVES);
        int port = freePort();
        Deployment told = keep(new Deployment("127.0.0.1:" + port, 2048, 4096, drains, box(SERVES)));
        told.list.play(e -> {
            e.socket().setSoLinger(true, 0);
            e.socket().close(); // away
        });
        try (ProgramWith200Descriptors program = new ProgramWith200Descriptors(told, port)) {
            Socket last = program.connect();
            for (int i = 1; i < 400; i++) {
                last = program.connect();
            }
            last.getOutputStream().write(Caller.prompt("held", "{}").getBytes(StandardCharsets.US_ASCII));
            assertEquals("a request on a connection that is held is served", "HTTP/1.1 200 ",
                    new String(last.getInputStream().readNBytes(13), StandardCharsets.US_ASCII));
            told.list.play(e -> { // back, with all descriptors held
                e.streamHead();
                e.chunk(Deployment.told(2, false, Deployment.entry("s-0", drains.address(), "draining")) + "\n");
                e.awaitClose();
            });
            int[] asked = {0};
            await("the drain is heeded", () -> {
                int before = drains.attempts.size();
                for (int i = 0; i < 20; i++) {
                    program.assertServes("a" + asked[0]++);
                }
                return drains.attempts.size() == before;
            });
            assertTrue(program.process.isAlive());
        }
    }

    /** A front layer may restart while the router does: in its grace it serves who comes back, and loses none it took. */
    @Test public void whenAllReconnectDuringTheGraceNoRequestThatWasTakenIsLost() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        ScriptedPeer box = routerOver(4000, 4096, PATIENT + "clients_most = 700\nactive_most = 400\naccepts_per_s = 4000\n", e -> {
            assertTrue(go.await(30, TimeUnit.SECONDS));
            SERVES.play(e);
        });
        Crowd before = crowd("127.0.0.1").connect(500);
        List<Caller> taken = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            taken.add(caller().send(Caller.prompt("taken" + i, "{}")));
        }
        await("the box has them", () -> box.attempts.size() == 20);
        Thread leaves = leaves();
        await("the grace has begun", () -> !router.lifecycle().ready());
        before.close();
        List<Caller> back = new ArrayList<>();
        int refused = 0;
        for (int i = 0; i < 200; i++) {
            try {
                back.add(caller().send(Caller.prompt("back" + i, "{}")));
            } catch (IOException e) {
                refused++; // the grace has ended, the listener is closed: its client knows that nothing was taken
            }
        }
        go.countDown();
        for (Caller caller : taken) {
            String answer = caller.readTo(END);
            assertTrue(answer, answer.startsWith("HTTP/1.1 200 "));
        }
        int served = 0;
        for (Caller caller : back) {
            String answer;
            try {
                answer = caller.readAll();
            } catch (IOException e) {
                answer = ""; // not accepted before the listener closed: nothing of it was taken
            }
            assertTrue(answer, answer.isEmpty() || answer.startsWith("HTTP/1.1 200 ") && answer.endsWith(END)
                    || answer.startsWith("HTTP/1.1 503 "));
            served += answer.startsWith("HTTP/1.1 200 ") ? 1 : 0;
        }
        assertLeft(leaves);
        assertEquals("none is held, " + served + " of those that came back were served, " + refused + " could not connect",
                0, router.clients().held());
        assertEquals("and each that a box got was answered", 20 + served, box.attempts.size());
    }

    /** Bad input while the router leaves has its usual answers, and keeps it neither from what it has taken nor from leaving. */
    @Test public void badInputDuringTheShutdownIsAnsweredAndHoldsNothingUp() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        ScriptedPeer box = routerOver(1024, 4096, PATIENT, e -> {
            assertTrue(go.await(30, TimeUnit.SECONDS));
            SERVES.play(e);
        });
        Caller taken = caller().send(Caller.prompt("taken", "{}"));
        Caller bytes = caller();
        Caller flood = caller();
        Caller half = caller().send(Caller.prompt("half", "{}").substring(0, 40));
        await("all are held, the box has one", () -> router.clients().held() == 4 && box.attempts.size() == 1);
        Thread leaves = leaves();
        await("the grace has begun", () -> !router.lifecycle().ready());
        for (char c : "NO SUCH REQUEST\r\n".toCharArray()) {
            bytes.send(String.valueOf(c));
        }
        assertStatus("400", bytes.readAll());
        flood.send("POST /v1/chat/completions HTTP/1.1\r\nX: " + "x".repeat(17 * 1024));
        assertStatus("431", flood.readAll());
        new Caller(router.address()).send("POST /v1").close(); // sends and goes at once
        go.countDown();
        String answer = taken.readAll();
        assertTrue(answer, answer.startsWith("HTTP/1.1 200 ") && answer.endsWith(END));
        assertStatus("408", half.readAll()); // not whole in its time
        assertLeft(leaves);
        assertEquals(0, router.clients().held());
    }

    private static void assertStatus(String status, String answer) { assertTrue(answer, answer.startsWith("HTTP/1.1 " + status + " ")); }

    /**
     * Limits change under a crowd that comes back: what is held stays, what comes meets one of the two, none is lost. Both limits
     * have room for the whole crowd, once the ends of those before are noticed, so nobody has to go. An answer may announce the
     * end of its connection only where the router got to the request too late, which shows in the time that the crowd measures.
     */
    @Test public void whenAllReconnectWhileTheConfigurationIsReadAnewNoRequestIsLost() throws Exception {
        routerOver(8000, 4096, PATIENT + "clients_most = 2000\nactive_most = 1400\naccepts_per_s = 5000\n", SERVES);
        Crowd before = crowd("127.0.0.1").connect(1000);
        assertAllReady(before.ask());
        AtomicInteger reloads = new AtomicInteger();
        Thread reloading = startReloading(reloads, PATIENT + "clients_most = 1200\nactive_most = 1100\naccepts_per_s = 20000\n",
                PATIENT + "clients_most = 2000\nactive_most = 1400\naccepts_per_s = 5000\n");
        Caller busy = caller();
        before.close();
        await("their ends are noticed", () -> router.clients().held() <= 1);
        Crowd after = crowd("127.0.0.1");
        long connecting = System.nanoTime();
        for (int i = 0; i < 10; i++) {
            after.connect(100);
            String answer = busy.send(Caller.prompt("busy" + i, "{}")).readTo(END);
            assertTrue(answer, answer.startsWith("HTTP/1.1 200 "));
        }
        List<String> answers = after.ask();
        boolean inTime = System.nanoTime() - connecting < READ_LIMIT_NS;
        assertAllReady(answers);
        await("it was read anew many times meanwhile", () -> reloads.get() > 20);
        reloading.interrupt();
        reloading.join();
        int announced = (int) answers.stream().filter(answer -> answer.contains("Connection: close")).count();
        assertTrue("told to go in time: " + announced, announced == 0 || !inTime);
        await("who was told to go sees the end", () -> after.closed() >= announced);
        assertEquals("nobody else had to go", announced, after.closed());
        assertEquals(0, router.clients().spared());
    }

    /** Reads those configurations anew in turn, without a pause, until it is interrupted. */
    private Thread startReloading(AtomicInteger reloads, String... connections) throws Exception {
        List<OperatorFile> files = new ArrayList<>();
        for (String text : connections) {
            files.add(operator(text));
        }
        InetSocketAddress discovery = address(deployment.list.address());
        Router reloaded = router;
        Thread reloading = new Thread(() -> {
            while (!Thread.currentThread().isInterrupted()) {
                reloaded.reload(new Router.Reload() {
                    @Override public NodeConfig.Again node() { return new NodeConfig.Again(discovery, null); }

                    @Override public OperatorFile operator() { return files.get(reloads.getAndIncrement() % files.size()); }
                });
            }
        });
        keep((AutoCloseable) reloading::interrupt);
        reloading.start();
        return reloading;
    }

    /** While it leaves, idle ones are let go of at once and those with a request get their answers. */
    @Test public void leavingWithAThousandIdleItFinishesWhatItHasTaken() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        ScriptedPeer box = routerOver(4000, 4096, PATIENT + "clients_most = 1100\n", e -> {
            assertTrue(go.await(30, TimeUnit.SECONDS));
            SERVES.play(e);
        });
        Crowd idle = crowd("127.0.0.1").connect(1000);
        Caller caller = caller().send(Caller.prompt("a1", "{}"));
        await("the box has it", () -> box.attempts.size() == 1);
        long held = router.clients().held();
        Thread leaves = leaves();
        await("only the request is left", () -> router.clients().held() == 1);
        idle.awaitAllClosed("of " + held + " held"); // a place is free before its socket closes
        go.countDown();
        String answer = caller.readTo(END);
        assertTrue(answer, answer.startsWith("HTTP/1.1 200 "));
        assertLeft(leaves);
        assertEquals(0, router.clients().held());
    }

    /** The boxes' side: kept connections cost nothing while they rest, and a box that closes them all is noticed. */
    @Test public void connectionsThatABoxClosesWhileTheyRestAreNotUsedAgain() throws Exception {
        AtomicInteger under = new AtomicInteger();
        CountDownLatch go = new CountDownLatch(1);
        ScriptedPeer box = routerOver(2000, 4096, PATIENT, e -> {
            under.incrementAndGet();
            assertTrue(go.await(30, TimeUnit.SECONDS));
            SERVES.play(e);
        });
        List<Caller> callers = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            callers.add(caller().send(Caller.prompt("a" + i, "{}")));
        }
        await("each has a connection", () -> under.get() == 100);
        go.countDown();
        for (Caller caller : callers) {
            caller.readTo(END);
        }
        box.closeConnections();
        int before = box.attempts.size();
        for (int i = 0; i < 100; i++) {
            String answer = callers.get(i).send(Caller.prompt("b" + i, "{}")).readTo(END);
            assertTrue(answer, answer.startsWith("HTTP/1.1 200 "));
        }
        assertEquals("each was sent once", before + 100, box.attempts.size());
    }
}
