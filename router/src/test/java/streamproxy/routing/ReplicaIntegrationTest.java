package streamproxy.routing;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;
import static org.junit.Assert.fail;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import org.junit.Test;
import streamproxy.protocol.EndpointEntry;
import streamproxy.protocol.PassedOn;
import streamproxy.protocol.PromptHeaders;
import streamproxy.streams.StreamLimits;
import streamproxy.transport.Budget;
import streamproxy.transport.Connection;
import streamproxy.transport.QuietConnections;

/** A model box's actor by itself, with what cannot be timed from outside. */
public class ReplicaIntegrationTest {
    private static final long SECOND = 1_000_000_000L;
    private final Clock clock = new Clock();

    private Replicas.Desk desk(int connectionsMost, int connectingMost) throws Exception {
        return desk(connectionsMost, connectingMost, 100);
    }

    private Replicas.Desk desk(int connectionsMost, int connectingMost, int allMost) throws Exception {
        return ActorFixtures.replicas(clock, ActorFixtures.startedWatch(), ActorFixtures.limits(connectionsMost, connectingMost), allMost);
    }

    private Attempt attempt(String id) { return attempt(id, () -> true); }

    private Attempt attempt(String id, BooleanSupplier waiting) { return attempt(id, waiting, 4 * SECOND); }

    private Attempt attempt(String id, BooleanSupplier waiting, long window) { return attempt(id, waiting, window, 2); }

    private Attempt attempt(String id, BooleanSupplier waiting, long window, int bodySize) {
        return attempt(id, waiting, window, bodySize, 3 * SECOND);
    }

    /** One whose client waits for 4 s, and whose replica is given so long. */
    private Attempt attempt(String id, BooleanSupplier waiting, long window, int bodySize, long givenNs) {
        PromptHeaders prompt = new PromptHeaders(id, "c", "", 1, 4 * SECOND, 0, 10, 0, 10, false);
        Client client = new AnswerBuffer(new StreamLimits(1_000, SECOND, SECOND, SECOND, 8), new Budget(1000), System.nanoTime(),
                () -> !waiting.getAsBoolean());
        Request request = new Request(prompt, ActorFixtures.CHAT, 0, new PassedOn("POST", "/", id, null, new byte[bodySize]), client, clock.now());
        return new Attempt(request, 0, 7, "s-1", null, clock.now(), clock.now() + givenNs, clock.now() + window);
    }

    private interface Condition {
        boolean holds() throws IOException;
    }

    private static void await(String what, Condition condition) throws Exception {
        for (long until = System.nanoTime() + 10 * SECOND; !condition.holds();) {
            assertTrue("not in time: " + what, System.nanoTime() < until);
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    private Replica box(Replicas.Desk desk, ServerSocket server, ModuleActor module) {
        EndpointEntry entry = new EndpointEntry("s-1", (InetSocketAddress) server.getLocalSocketAddress(), "", "", 0, "ready", 1, 0);
        Replica box = new Replica(7, entry, desk, module);
        box.told(entry, true);
        desk.threads().start();
        return box;
    }

    private static ServerSocket server(int backlog) throws IOException {
        ServerSocket server = new ServerSocket(0, backlog, InetAddress.getByName("127.0.0.1"));
        server.setSoTimeout(10_000);
        return server;
    }

    /** One whose sockets take little that is not read. */
    private static ServerSocket serverThatHoldsLittle() throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReceiveBufferSize(4 * 1024);
        server.setSoTimeout(10_000);
        server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
        return server;
    }

    /** Reads a request, and turns it down; the connection stays. */
    private static String turnDown(Socket socket) throws IOException {
        String request = request(socket);
        socket.getOutputStream().write("HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n".getBytes());
        return request;
    }

    private static String readHead(Socket socket) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            head.append((char) socket.getInputStream().read());
        }
        return head.toString();
    }

    private static String request(Socket socket) throws IOException {
        socket.setSoTimeout(10_000);
        String request = readHead(socket);
        socket.getInputStream().readNBytes(2); // the body that each attempt has here
        return request;
    }

    /** Where many boxes share the router's descriptors, those that rest at one must not keep another from its first. */
    @Test public void anIdleConnectionIsGivenUpBeforeAnotherBoxIsRefusedOne() throws Exception {
        try (ServerSocket one = server(5); ServerSocket two = server(5)) {
            Replicas.Desk desk = desk(0, 0, 1);
            ModuleActor module = new ModuleActor(ActorFixtures.SETTINGS, 1, clock, new Replicas(desk));
            Replica first = box(desk, one, module);
            Replica second = box(desk, two, module);
            for (int i = 0; i < 4; i++) { // at first lately used, later resting
                Replica box = i % 2 == 0 ? first : second;
                boolean lately = i < 2;
                Attempt attempt = attempt("a" + i);
                assertTrue(box.send(attempt));
                try (Socket socket = (i % 2 == 0 ? one : two).accept()) {
                    assertTrue(turnDown(socket).contains("Req-Id: a" + i));
                    await("it rests", () -> box.idleLongest != Actor.NEVER);
                    await("it is watched", () -> lately || clock.now() - box.idleLongest > 150_000_000L);
                    assertTrue((i % 2 == 0 ? second : first).send(attempt("b" + i)));
                    assertEquals("given up by its own box", -1, socket.getInputStream().read());
                    try (Socket other = (i % 2 == 0 ? two : one).accept()) {
                        assertTrue(turnDown(other).contains("Req-Id: b" + i));
                    }
                }
            }
            first.retire();
            second.retire();
        }
    }

    /** A probe in the last place would keep out the prompt that it was to find a place for. */
    @Test public void probesLeaveTheLastPlaceAtABoxToAttempts() throws Exception {
        try (ServerSocket server = server(5)) {
            Replicas.Desk desk = desk(2, 0, 100);
            Replica box = box(desk, server, new ModuleActor(ActorFixtures.SETTINGS, 1, clock, new Replicas(desk)));
            assertTrue(box.send(attempt("a1")));
            try (Socket first = server.accept()) {
                assertTrue(box.probe());
                assertTrue(box.send(attempt("a2")));
                try (Socket second = server.accept()) {
                    assertTrue("the probe has not come in between", turnDown(second).contains("Req-Id: a2"));
                    assertTrue(turnDown(first).contains("Req-Id: a1"));
                    await("it rests", () -> box.idleLongest != Actor.NEVER);
                    assertTrue(box.probe());
                    await("with one at rest it comes", () -> first.getInputStream().available() + second.getInputStream().available() > 0);
                }
            }
            box.retire();
        }
    }

    /** A box that closes idle connections early, and says nothing, would reset every later request on them. */
    @Test public void aBoxThatClosesKeptConnectionsEarlyHasThemKeptForLess() throws Exception {
        Replicas.Desk desk = desk(0, 0);
        ModuleActor module = new ModuleActor(ActorFixtures.SETTINGS, 1, clock, new Replicas(desk));
        try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"))) {
            EndpointEntry entry = new EndpointEntry("s-1", (InetSocketAddress) server.getLocalSocketAddress(), "", "", 0, "ready", 1, 0);
            Replica box = new Replica(7, entry, desk, module);
            long usual = box.keepNs();
            box.told(entry, true);
            desk.threads().start();
            assertTrue(box.probe());
            try (Socket first = server.accept()) {
                first.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}".getBytes());
                // The next probe comes on the same connection once it lies in the pool, else on one of its own.
                first.setSoTimeout(10);
                String told = "";
                while (!told.contains("\r\n\r\nGET ")) {
                    assertTrue(box.probe());
                    try {
                        told += new String(first.getInputStream().readNBytes(1)) + new String(
                                first.getInputStream().readNBytes(first.getInputStream().available()));
                    } catch (java.net.SocketTimeoutException e) {
                        continue;
                    }
                }
                first.setSoLinger(true, 0); // its close is a reset
            }
            await("it is kept for less", () -> box.keepNs() != usual);
            assertTrue(box.keepNs() < usual / 2);
            for (int i = 0; i < 100; i++) {
                box.keptWell();
            }
            assertEquals("and it grows again", usual, box.keepNs());
            box.retire();
        }
    }

    /** An attempt waits in a mailbox or for its connection; a box told draining meanwhile must not get it. */
    @Test public void aWaitingAttemptIsNotWrittenToABoxToldDrainingMeanwhile() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"))) {
            Replicas.Desk desk = desk(0, 0);
            ModuleActor module = new ModuleActor(ActorFixtures.SETTINGS, 1, clock, new Replicas(desk));
            EndpointEntry entry = new EndpointEntry("s-1", (InetSocketAddress) server.getLocalSocketAddress(), "", "", 0, "ready", 1, 0);
            Replica box = new Replica(7, entry, desk, module);
            box.told(entry, true);
            Attempt waiting = attempt("early");
            assertTrue(box.send(waiting));
            box.told(entry, false);
            desk.threads().start();
            try (Socket unused = server.accept()) {
                await("it is over", waiting::isOver);
                unused.setSoTimeout(10_000);
                assertEquals("nothing is written, and nothing kept open to a box that drains", -1, unused.getInputStream().read());
            }
            box.told(entry, true);
            assertTrue(box.send(attempt("later")));
            try (Socket socket = server.accept()) {
                socket.setSoTimeout(10_000);
                String head = new String(socket.getInputStream().readNBytes(70));
                assertEquals("only the later one is written: " + head, -1, head.indexOf("early"));
                assertTrue(head, head.contains("Req-Id: later"));
                // Its box leaves the list while an attempt is out: the connection must end with it, not stay for ever.
                box.retire();
                socket.getOutputStream().write(("HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
                        .getBytes());
                socket.setSoTimeout(5_000);
                socket.getInputStream().readAllBytes(); // comes back with the close, or fails by its time-out
            }
        }
    }

    /** Its replica has moved while the connection was being made: whoever answers at the old address is another one. */
    @Test public void anAttemptIsNotWrittenWhereItsReplicaWasBefore() throws Exception {
        try (ServerSocket before = server(5); ServerSocket now = server(5)) {
            Replicas.Desk desk = desk(0, 0);
            Replica box = box(desk, now, new ModuleActor(ActorFixtures.SETTINGS, 1, clock, new Replicas(desk)));
            Attempt attempt = attempt("moved");
            Connection connection = Connection.open(new Budget(1));
            new ReplicaConnection(box, connection, (InetSocketAddress) before.getLocalSocketAddress()).run(new ReplicaConnection.Errand(attempt, 0));
            try (Socket socket = before.accept()) {
                await("it is over", attempt::isOver);
                assertEquals("it was not written", 0, attempt.writtenAt);
                connection.close();
                socket.setSoTimeout(10_000);
                assertEquals("nothing came", -1, socket.getInputStream().read());
            }
            box.retire();
        }
    }

    /** The attempt waits for the one connection that there may be; what happens meanwhile keeps it from being written. */
    private void assertPassedOver(Attempt waiting, Condition meanwhile) throws Exception {
        try (ServerSocket server = server(5)) {
            Replicas.Desk desk = desk(1, 0);
            Replica box = box(desk, server, new ModuleActor(ActorFixtures.SETTINGS, 1, clock, new Replicas(desk)));
            assertTrue(box.send(attempt("holds")) && box.send(waiting) && box.send(attempt("stays")));
            try (Socket only = server.accept()) {
                assertTrue(request(only).contains("Req-Id: holds"));
                await("it has come about", meanwhile);
                only.getOutputStream().write("HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n".getBytes());
                String next = request(only);
                assertTrue("passed over: " + next, next.contains("Req-Id: stays"));
                assertTrue(waiting.isOver());
            }
            box.retire();
        }
    }

    /** What waited in a mailbox, for a place or for its connection is looked at once more before its first byte goes out. */
    @Test public void nothingIsWrittenForAClientThatLeftWhileItsAttemptWaited() throws Exception {
        AtomicBoolean waits = new AtomicBoolean(true);
        assertPassedOver(attempt("leaves", waits::get), () -> !waits.getAndSet(false));
    }

    /** A repeat that its replica would run a second time: its window has passed while it waited for a connection. */
    @Test public void aRepeatWhoseWindowPassesWhileItWaitsIsNotWritten() throws Exception {
        Attempt late = attempt("late", () -> true, SECOND / 100);
        assertPassedOver(late, () -> clock.now() >= late.bounds.writeBy());
    }

    /** What an attempt failed with may leave its connection open: the next one must not begin before it is closed. */
    @Test public void aBrokenAttemptsConnectionIsClosedBeforeTheModuleHearsOfItsEnd() throws Exception {
        try (ServerSocket server = server(5)) {
            Replicas.Desk desk = desk(0, 0);
            ModuleActor module = new ModuleActor(ActorFixtures.SETTINGS, 1, clock, new Replicas(desk));
            Attempt filling = attempt("fills the mailbox");
            while (module.taken(filling.request)) { // whoever tells the module something waits from now on
                continue;
            }
            Replica box = box(desk, server, module);
            assertTrue(box.send(attempt("a")));
            try (Socket socket = server.accept()) {
                request(socket);
                socket.getOutputStream().write("noise".getBytes());
                assertEquals("closed, and not open until the module is told", -1, socket.getInputStream().read());
            } finally {
                box.retire();
                connectionThreads(server).forEach(Thread::interrupt); // one waits for room in the mailbox
            }
        }
    }

    /** A close would go on sending what lies in the socket: the replica would begin what was called off. */
    @Test public void whatAReplicaHasNotReadYetOfAnAttemptThatIsCalledOffNeverReachesIt() throws Exception {
        int size = 64 * 1024;
        try (ServerSocket server = serverThatHoldsLittle()) {
            Replicas.Desk desk = desk(0, 0);
            Replica box = box(desk, server, new ModuleActor(ActorFixtures.SETTINGS, 1, clock, new Replicas(desk)));
            Attempt attempt = attempt("a", () -> true, 4 * SECOND, size);
            assertTrue(box.send(attempt));
            try (Socket socket = server.accept()) {
                socket.setSoTimeout(10_000);
                await("it is written", () -> attempt.writtenAt != 0);
                assertTrue(attempt.callOff());
                int read = 0;
                try {
                    while (socket.getInputStream().read() >= 0) {
                        read++;
                    }
                } catch (java.net.SocketException e) {
                    // the reset in place of the rest
                }
                assertTrue("read " + read, read < size);
            }
            box.retire();
        }
    }

    /** Its replica reads late, so that the last byte would be written after that has come about. */
    private void assertLastByteIsNotWritten(Attempt attempt, Condition comesAbout) throws Exception {
        try (ServerSocket server = serverThatHoldsLittle()) {
            Replicas.Desk desk = desk(0, 0);
            Replica box = box(desk, server, new ModuleActor(ActorFixtures.SETTINGS, 1, clock, new Replicas(desk)));
            assertTrue(box.send(attempt));
            try (Socket socket = server.accept()) {
                socket.setSoTimeout(10_000);
                readHead(socket);
                await("what forbids its last byte", comesAbout);
                int read = readToEnd(socket);
                assertTrue("read " + read, read < LARGE_BODY);
                await("the module hears of it", attempt::isOver);
                assertEquals("it was not whole", 0, attempt.writtenAt);
            }
            box.retire();
        }
    }

    /** How many bytes come until the end, or until the reset in place of the rest. */
    private static int readToEnd(Socket socket) throws IOException {
        byte[] some = new byte[64 * 1024];
        int read = 0;
        try {
            for (int n = 0; n >= 0; n = socket.getInputStream().read(some)) {
                read += n;
            }
        } catch (java.net.SocketException e) {
            // a reset
        }
        return read;
    }

    /** So much does not lie in the sockets' buffers. */
    private static final int LARGE_BODY = 8 * 1024 * 1024;

    @Test public void aReplicaThatReadsLateIsNotToldMoreThanItsClientHasLeft() throws Exception {
        Attempt attempt = attempt("a", () -> true, 4 * SECOND, LARGE_BODY, 4 * SECOND);
        long from = clock.now();
        assertLastByteIsNotWritten(attempt, () -> clock.now() - from > SECOND / 5);
    }

    @Test public void anAttemptWhoseClientLeavesWhileItIsWrittenDoesNotBegin() throws Exception {
        AtomicBoolean waits = new AtomicBoolean(true);
        Attempt attempt = attempt("a", waits::get, 4 * SECOND, LARGE_BODY);
        long from = clock.now();
        assertLastByteIsNotWritten(attempt, () -> {
            waits.set(false);
            return clock.now() - from > SECOND / 25;
        });
    }

    /** A second answer to the request before comes late on a kept connection: it is not taken for the answer to the next. */
    @Test public void aLateSecondAnswerIsNotTakenForTheNextRequests() throws Exception {
        try (ServerSocket server = serverThatHoldsLittle()) {
            Replicas.Desk desk = desk(0, 0);
            Replica box = box(desk, server, new ModuleActor(ActorFixtures.SETTINGS, 1, clock, new Replicas(desk)));
            assertTrue(box.send(attempt("first")));
            try (Socket socket = server.accept()) {
                turnDown(socket);
                await("it rests", () -> box.idleLongest != Actor.NEVER);
                Attempt next = attempt("next", () -> true, 4 * SECOND, LARGE_BODY);
                assertTrue(box.send(next));
                assertTrue(readHead(socket).contains("Req-Id: next"));
                socket.getOutputStream().write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7\r\ndata: x\r\n".getBytes());
                int read = readToEnd(socket);
                assertTrue("read " + read, read < LARGE_BODY);
                await("the module hears of it", next::isOver);
                assertEquals("it was not whole", 0, next.writtenAt);
            }
            box.retire();
        }
    }

    @Test public void aRepeatWhoseWindowPassesWhileItIsWrittenDoesNotBegin() throws Exception {
        Attempt attempt = attempt("a", () -> true, SECOND / 5, LARGE_BODY);
        assertLastByteIsNotWritten(attempt, () -> clock.now() >= attempt.bounds.writeBy());
    }

    /** A second answer, some milliseconds late, would be taken for the answer to the request that came next. */
    @Test public void aConnectionIsNotUsedAgainAtOnceWhereAnotherIsIdle() throws Exception {
        for (int round = 0; round < 50; round++) { // a machine that stands still lets the time pass in which it is not used
            if (usesTheOneIdleForLonger()) {
                return;
            }
        }
        fail("the connection was used again at once each time");
    }

    private boolean usesTheOneIdleForLonger() throws Exception {
        try (ServerSocket server = server(5)) {
            Replicas.Desk desk = desk(0, 0);
            Replica box = box(desk, server, new ModuleActor(ActorFixtures.SETTINGS, 1, clock, new Replicas(desk)));
            assertTrue(box.send(attempt("a")) && box.send(attempt("b")));
            try (Socket one = server.accept(); Socket two = server.accept()) {
                turnDown(one);
                await("it is idle for a while", () -> box.idleLongest != Actor.NEVER && clock.now() - box.idleLongest > 30_000_000L);
                turnDown(two);
                Attempt next = attempt("c");
                await("the other one is idle, too", () -> connectionThreads(server).isEmpty());
                assertTrue(box.send(next));
                await("it is sent on one of them", () -> one.getInputStream().available() + two.getInputStream().available() > 0);
                return one.getInputStream().available() > 0;
            } finally {
                box.retire();
            }
        }
    }

    /** The threads at work on connections to that server. */
    private static List<Thread> connectionThreads(ServerSocket server) {
        String port = ":" + server.getLocalPort();
        return Thread.getAllStackTraces().keySet().stream()
                .filter(thread -> thread.getName().startsWith("to ") && thread.getName().endsWith(port)).toList();
    }

    /** The replica is gone from the list while a resting connection is looked at for an attempt; nobody reads its mailbox. */
    @Test public void anAttemptWhoseRestingConnectionEndsAsItsReplicaGoesIsOver() throws Exception {
        try (ServerSocket server = server(5); ServerSocket other = server(1)) {
            Replicas.Desk desk = desk(0, 0);
            Replica box = box(desk, server, new ModuleActor(ActorFixtures.SETTINGS, 1, clock, new Replicas(desk)));
            assertTrue(box.send(attempt("a")));
            CountDownLatch go = new CountDownLatch(1);
            try (Socket socket = server.accept(); Connection blocks = Connection.open(new Budget(1))) {
                turnDown(socket);
                await("it rests", () -> box.idleLongest != Actor.NEVER && clock.now() - box.idleLongest > 150_000_000L);
                CountDownLatch blocked = new CountDownLatch(1);
                blocks.connect((InetSocketAddress) other.getLocalSocketAddress(), SECOND);
                desk.quiet().add(blocks, System.nanoTime(), new QuietConnections.Owner() {
                    @Override public void arrived() { over(); }

                    @Override public void over() { // on the thread that looks at resting connections
                        blocked.countDown();
                        try {
                            go.await();
                        } catch (InterruptedException e) {
                            Thread.currentThread().interrupt();
                        }
                    }
                });
                blocked.await();
                Attempt attempt = attempt("b");
                assertTrue(box.send(attempt));
                await("its connection is being looked at", () -> box.isEmpty() && box.idleLongest == Actor.NEVER);
                socket.shutdownOutput();
                box.retire();
                await("its actor has ended", () -> box.isStopped());
                go.countDown();
                await("the module hears of it", attempt::isOver);
            } finally {
                go.countDown();
            }
        }
    }

    /** A crowd of newcomers must not reach a box as a crowd of handshakes: what may not connect waits for what is free. */
    @Test public void noMoreConnectionsAreBeingOpenedAtOnceThanTheBoxIsAskedToBear() throws Exception {
        // Two connections come up in a backlog of one, and the next handshakes get no answer.
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            Replicas.Desk desk = desk(0, 2);
            ModuleActor module = new ModuleActor(ActorFixtures.SETTINGS, 1, clock, new Replicas(desk));
            Replica box = box(desk, server, module);
            for (int i = 0; i < 8; i++) {
                assertTrue(box.send(attempt("a" + i)));
            }
            await("they are on their way", () -> desk.budget().left() <= 96);
            assertEquals("two are up, two on their way, four wait", 96, desk.budget().left());
            try (Socket first = server.accept()) {
                first.setSoTimeout(10_000);
                for (int i = 0; i < 3; i++) {
                    String request = request(first);
                    assertTrue(request.toString(), request.indexOf("Req-Id: a") > 0);
                    // The one that was taken off the backlog made room for a third to come up.
                    assertTrue("more were opened: " + desk.budget().left(), desk.budget().left() >= 95);
                    first.getOutputStream().write("HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n".getBytes());
                }
            }
            box.retire();
        }
    }

    /** A box accepts only so many, and what it does not accept costs it all the same: the rest waits for what is free. */
    @Test public void noMoreConnectionsAreHeldToABoxThanTheOperatorGrantsIt() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))) {
            Replicas.Desk desk = desk(1, 0);
            ModuleActor module = new ModuleActor(ActorFixtures.SETTINGS, 1, clock, new Replicas(desk));
            Replica box = box(desk, server, module);
            for (int i = 0; i < 8; i++) {
                assertTrue(box.send(attempt("a" + i)));
            }
            try (Socket first = server.accept()) {
                first.setSoTimeout(10_000);
                for (int i = 0; i < 8; i++) {
                    String request = request(first);
                    assertTrue("in their order: " + request, request.indexOf("Req-Id: a" + i) > 0);
                    assertEquals(99, desk.budget().left());
                    first.getOutputStream().write("HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n".getBytes());
                }
            }
            box.retire();
        }
    }
}
