package streamproxy.stories;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;
import static streamproxy.stories.Waiting.await;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.After;
import org.junit.Test;
import streamproxy.program.Router;
import streamproxy.streams.EventAllowance;

/** Streams whose clients are slow to read, and boxes that fall silent. */
public class StreamIntegrationTest {
    private static final String END = "0\r\n\r\n";
    /** More than all socket buffers on the way take. */
    private static final int EVENTS = 2_000;
    /** More than the router's socket to a client takes. */
    private static final int FEW = 600;
    private static final String FILLING = "x".repeat(16 * 1024);
    /** A stream that has been paused stays so above this, of {@code hold_kb = 64}: sockets may still take some of what was held. */
    private static final int PAUSED = 32 * 1024;

    private static final long LONGER_THAN_AN_EVENT_NS = EventAllowance.ns(0) + 500_000_000L;
    private static final int PACE_MS = 50;

    private final List<AutoCloseable> opened = new ArrayList<>();
    private Router router;

    @After public void end() throws Exception {
        for (int i = opened.size() - 1; i >= 0; i--) {
            opened.get(i).close();
        }
        router.close();
    }

    private <T extends AutoCloseable> T keep(T it) {
        opened.add(it);
        return it;
    }

    private ScriptedPeer routerOver(String operator, ScriptedPeer.Script script) throws Exception {
        ScriptedPeer box = keep(new ScriptedPeer(script));
        router = keep(new Deployment("127.0.0.1:0", 1024, box)).start(RecordsIntegrationTest.operator(operator));
        return box;
    }

    /** A client with little room in its socket. */
    private Socket client(String id) throws IOException {
        Socket socket = keep(new Socket());
        socket.setReceiveBufferSize(16 * 1024);
        socket.connect(router.address());
        socket.setSoTimeout(30_000);
        socket.getOutputStream().write(Caller.prompt(id, "{}").getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    private static boolean threadTo(ScriptedPeer box) {
        String port = box.address().substring(box.address().lastIndexOf(':'));
        return Thread.getAllStackTraces().keySet().stream().anyMatch(t -> t.getName().startsWith("to ") && t.getName().endsWith(port));
    }

    /** The numbers of the events that come, however they are cut into chunks, up to the end of the stream; fails where it is not whole. */
    private static int readAll(Socket socket) throws IOException {
        InputStream in = new BufferedInputStream(socket.getInputStream(), 64 * 1024);
        StringBuilder ending = new StringBuilder();
        StringBuilder event = new StringBuilder();
        int next = 0;
        while (!line(in, next).isEmpty()) {
            continue; // its head
        }
        for (int size = Integer.parseInt(line(in, next), 16); size > 0; size = Integer.parseInt(line(in, next), 16)) {
            event.append(new String(in.readNBytes(size), StandardCharsets.US_ASCII));
            assertEquals("a chunk's end", "", line(in, next));
            for (int end = event.indexOf("\n\n"); end >= 0; end = event.indexOf("\n\n")) {
                String text = event.substring(0, end);
                event.delete(0, end + 2);
                if (text.startsWith("data: " + next + " ")) {
                    assertEquals("event", "data: " + next + " " + FILLING, text);
                    next++;
                } else {
                    ending.append(text).append("\n\n");
                }
            }
        }
        assertEquals("the end", "", line(in, next));
        assertEquals("its ending came", ScriptedPeer.ENDING, ending.toString() + event);
        return next;
    }

    private static String line(InputStream in, int event) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            assertTrue("closed after event " + event, c >= 0);
            line.append((char) c);
        }
        return line.toString().strip();
    }

    private static void stream(ScriptedPeer.Exchange e, AtomicInteger written, int events) throws IOException {
        e.streamHead();
        for (int i = 0; i < events; i++) {
            e.chunk("data: " + i + " " + FILLING + "\n\n");
            written.incrementAndGet();
        }
        e.complete();
    }

    /** What it has not read is held up to a bound, the rest stays with the box; and nobody waits at the box meanwhile. */
    @Test public void aSlowClientHoldsABoundedPartOfItsStreamAndNoSecondThread() throws Exception {
        AtomicInteger written = new AtomicInteger();
        ScriptedPeer box = routerOver("[streams]\nhold_kb = 64\nlag_s = 600\n", e -> stream(e, written, EVENTS));
        Socket client = client("a1");
        await("the answer has begun", () -> written.get() > 10);
        await("nobody waits at the box", () -> router.held() > PAUSED && !threadTo(box));
        assertTrue("held " + router.held(), router.held() <= 64 * 1024 + FILLING.length() + 64);
        assertTrue("the box has not sent all", written.get() < EVENTS);
        assertEquals(EVENTS, readAll(client));
        await("nothing is held", () -> router.held() == 0);
        client.getOutputStream().write("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        assertEquals('H', client.getInputStream().read());
    }

    /** What a client does not read is no time of its replica: an event that was begun before the pause is whole behind it. */
    @Test public void aClientThatPausesForLongerThanAnEventMayTakeGetsItsStreamWhole() throws Exception {
        ScriptedPeer box = routerOver("[streams]\nhold_kb = 64\nlag_s = 600\n", e -> stream(e, new AtomicInteger(), EVENTS));
        Socket client = client("a1");
        await("nobody waits at the box", () -> router.held() > PAUSED && !threadTo(box));
        awaitElapsed(System.nanoTime());
        assertEquals(EVENTS, readAll(client));
    }

    /** Each event has its own time, though each chunk ends within one. */
    @Test public void aStreamWhoseChunksEndWithinEventsMayTakeLongerThanAnEvent() throws Exception {
        String event = "data: x\n\n";
        int half = event.length() / 2;
        routerOver("", e -> {
            e.streamHead();
            e.chunk(event + event.substring(0, half));
            e.socket().setSoTimeout(PACE_MS);
            for (long from = System.nanoTime(); System.nanoTime() - from < LONGER_THAN_AN_EVENT_NS;) {
                try {
                    e.awaitClose();
                    return;
                } catch (java.net.SocketTimeoutException paced) {
                    e.chunk(event.substring(half) + event.substring(0, half));
                }
            }
            e.chunk(event.substring(half));
            e.complete();
        });
        try (Caller caller = new Caller(router.address())) {
            String answer = caller.send(Caller.prompt("a1", "{}")).readTo(END);
            assertTrue(answer, answer.contains("[DONE]"));
        }
    }

    private static void awaitElapsed(long from) throws Exception { await("the pause is over", () -> System.nanoTime() - from > LONGER_THAN_AN_EVENT_NS); }

    @Test public void aClientThatReadsNothingIsEndedAndItsBoxIsFreeAtOnce() throws Exception {
        CountDownLatch freed = new CountDownLatch(1);
        routerOver("[streams]\nhold_kb = 64\nlag_s = 0.3\n", e -> {
            try {
                stream(e, new AtomicInteger(), EVENTS);
            } catch (IOException closed) {
                freed.countDown();
            }
        });
        Socket client = client("a1");
        assertTrue("the box was told", freed.await(20, TimeUnit.SECONDS));
        await("nothing is held", () -> router.held() == 0 && router.clients().active() == 0);
        byte[] all;
        try {
            all = client.getInputStream().readAllBytes();
        } catch (IOException reset) {
            all = new byte[0];
        }
        assertFalse("it does not take it for whole", new String(all, StandardCharsets.US_ASCII).endsWith(END));
    }

    @Test public void allSlowClientsTogetherHoldNoMoreThanTheyMay() throws Exception {
        ScriptedPeer box = routerOver("[streams]\nhold_kb = 256\nhold_all_mb = 1\nlag_s = 600\n", e -> stream(e, new AtomicInteger(), FEW));
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            clients.add(client("a" + i));
        }
        await("nobody waits at the box", () -> box.attempts.size() == 8 && router.held() > 1 << 19 && !threadTo(box));
        assertTrue("held " + router.held(), router.held() <= 1 << 20);
        for (Socket client : clients) {
            assertEquals(FEW, readAll(client));
        }
        await("nothing is held", () -> router.held() == 0);
    }

    /** Where stopped clients hold all that may be held, another's events still come one by one, each before the next is made. */
    @Test public void aStoppedClientHoldsUpNoOthersEvents() throws Exception {
        Semaphore next = new Semaphore(0);
        ScriptedPeer box = routerOver("[streams]\nhold_kb = 256\nhold_all_mb = 1\nlag_s = 600\n", e -> {
            if (!e.head().contains("Req-Id: quick")) {
                stream(e, new AtomicInteger(), EVENTS);
                return;
            }
            e.streamHead();
            for (int i = 0; i < 20; i++) {
                e.chunk("data: " + i + "\n\n");
                assertTrue(next.tryAcquire(30, TimeUnit.SECONDS));
            }
            e.complete();
        });
        for (int i = 0; i < 8; i++) {
            client("stopped" + i);
        }
        await("nobody waits at the box", () -> box.attempts.size() == 8 && router.held() > 1 << 19 && !threadTo(box));
        try (Caller quick = new Caller(router.address())) {
            quick.send(Caller.prompt("quick", "{}"));
            for (int i = 0; i < 20; i++) {
                quick.readTo("data: " + i + "\n\n\r\n"); // no further event is made before this one has come
                next.release();
            }
            quick.readTo(END);
        }
    }

    /** One that leaves while its stream waits for it: the box hears of it without anyone having waited there. */
    @Test public void aClientThatLeavesWhileItsStreamWaitsFreesTheBox() throws Exception {
        CountDownLatch freed = new CountDownLatch(1);
        AtomicInteger written = new AtomicInteger();
        ScriptedPeer box = routerOver("[streams]\nhold_kb = 64\nlag_s = 600\n", e -> {
            try {
                stream(e, written, EVENTS);
            } catch (IOException closed) {
                freed.countDown();
            }
        });
        Socket client = client("a1");
        await("nobody waits at the box", () -> router.held() > PAUSED && !threadTo(box));
        client.setSoLinger(true, 0);
        client.close();
        assertTrue("the box was told", freed.await(20, TimeUnit.SECONDS));
        await("nothing is held", () -> router.held() == 0 && router.clients().held() == 0);
    }

    /** A pause of 0.8 s is within the settings' limit, but none that a stream of an event a millisecond makes. */
    @Test public void aStreamThatFallsSilentIsGivenUpByItsOwnPace() throws Exception {
        routerOver("[streams]\nstall_factor = 8\nstall_least_s = 0.1\n[connections]\nclient_idle_s = 600\n", e -> {
            e.streamHead();
            for (int i = 0; i < 40; i++) {
                e.chunk("data: " + i + "\n\n");
            }
            e.socket().setSoTimeout(800);
            try {
                e.awaitClose();
            } catch (java.net.SocketTimeoutException pauseOver) {
                e.write(END);
            }
        });
        try (Caller caller = new Caller(router.address())) {
            String answer = caller.send(Caller.prompt("a1", "{}")).readAll();
            assertTrue(answer, answer.contains("data: 39\n\n") && !answer.endsWith(END));
        }
    }

    /** Bytes that never make an event are silence to the client that waits for one. */
    @Test public void anEventThatComesByteByByteWithoutEndIsGivenUpInTheTimeOfASilence() throws Exception {
        routerOver("[streams]\nstall_factor = 8\nstall_least_s = 0.1\n", e -> {
            e.streamHead();
            for (int i = 0; i < 40; i++) {
                e.chunk("data: " + i + "\n\n");
            }
            e.chunk("data: ");
            e.drip("x", 20);
        });
        try (Caller caller = new Caller(router.address())) {
            String answer = caller.send(Caller.prompt("a1", "{}")).readAll();
            assertTrue(answer, answer.contains("data: 39\n\n") && !answer.endsWith(END));
        }
    }
}
