package streamproxy.lab.faults;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The memory of a router as a process, with the deploy file's flags, while hundreds of clients are slow in one way or another. */
@Timeout(120)
class CrowdMemoryIntegrationTest {
    private static final int DESCRIPTORS = 4_000;
    private static final int REPLICAS = 8;
    private static final int READERS = 900;
    private static final int STOPPED = 500;
    private static final int ANSWER_EVENTS = 60;
    private static final int EVENT_BYTES = 4 * 1024;
    private static final int EVENT_EVERY_MS = 150;
    private static final int RECEIVE_BUFFER = 4 * 1024;
    private static final int READ_BYTES = 2 * 1024;
    private static final int ROUNDS = 5;
    private static final int CANARIES_MOST_MS = 3_000;
    /** Fields of four bytes, CRLF included, in a head that is nearly as large as it may be. */
    private static final int SHORT_FIELDS = 3_900;

    private final List<Socket> clients = Collections.synchronizedList(new ArrayList<>());
    private final AtomicInteger begun = new AtomicInteger();
    private RouterUnderFaults router;

    @BeforeEach void start() throws Exception { router = RouterUnderFaults.holding(DESCRIPTORS, REPLICAS); }

    @AfterEach void end() throws Exception {
        for (Socket client : clients) {
            client.close();
        }
        router.close();
    }

    private Socket client(String bytes) throws IOException {
        Socket client = router.connect(RECEIVE_BUFFER);
        clients.add(client);
        client.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
        return client;
    }

    private void assertWithinMemory() throws Exception {
        long peakKb = router.peakMemoryKb();
        assertTrue(peakKb <= RouterUnderFaults.MEMORY_MB * 1_024, "it held up to " + peakKb + " kB");
    }

    /** A long answer whose events come one after another; true where it came to its end. */
    private static boolean writeSlowly(Socket socket) throws IOException {
        String event = ReplicaStream.chunk(ReplicaStream.TEXT.replace("oqvh", "x".repeat(EVENT_BYTES)));
        socket.getOutputStream().write(ReplicaStream.HEAD.getBytes(StandardCharsets.US_ASCII));
        socket.setSoTimeout(EVENT_EVERY_MS);
        for (int i = 0; i < ANSWER_EVENTS; i++) {
            socket.getOutputStream().write(event.getBytes(StandardCharsets.US_ASCII));
            try {
                if (socket.getInputStream().read() < 0) {
                    return false;
                }
            } catch (SocketTimeoutException paced) {
                // the next event
            }
        }
        socket.setSoTimeout(0);
        socket.getOutputStream().write((ReplicaStream.chunks(ReplicaStream.complete()) + ReplicaStream.LAST_CHUNK).getBytes(StandardCharsets.US_ASCII));
        return true;
    }

    /** One more client has its answer in time, if only that there is no room, while the others are slow. */
    private void assertCanaryIsAnswered(String id) throws Exception {
        long sentAt = System.nanoTime();
        try (Socket canary = router.connect()) {
            int status = RouterUnderFaults.status(canary, RouterUnderFaults.prompt(id, "3.000", 2));
            long ms = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAt);
            assertTrue((status == 200 || status == 503) && ms < CANARIES_MOST_MS, id + " got " + status + " after " + ms + " ms");
        }
    }

    @Test void hundredsOfClientsThatReadLongAnswersSlowlyStayWithinTheMemoryLimit() throws Exception {
        String shortAnswer = ReplicaStream.HEAD + ReplicaStream.chunks(ReplicaStream.complete()) + ReplicaStream.LAST_CHUNK;
        router.replicasPlay((message, socket) -> {
            boolean canary = RouterUnderFaults.field(message.head(), "Req-Id").startsWith("canary");
            if (canary) {
                socket.getOutputStream().write(shortAnswer.getBytes(StandardCharsets.US_ASCII));
                return true;
            }
            begun.incrementAndGet();
            return writeSlowly(socket);
        });
        for (int i = 0; i < READERS; i++) {
            client(RouterUnderFaults.prompt("slow" + i, "3.000", 2));
        }
        byte[] some = new byte[READ_BYTES];
        for (int round = 0; round < ROUNDS; round++) {
            assertCanaryIsAnswered("canary" + round);
            for (Socket client : clients) {
                if (client.getInputStream().available() > 0) {
                    client.getInputStream().read(some);
                }
            }
        }
        assertTrue(begun.get() > READERS / 4, begun + " answers have begun");
        System.out.println("slow readers: peak " + router.peakMemoryKb() + " kB");
        assertWithinMemory();
    }

    @Test void hundredsOfHeadsOfShortFieldsStayWithinTheMemoryLimit() throws Exception {
        StringBuilder head = new StringBuilder("POST /v1/chat/completions HTTP/1.1\r\nHost: lab\r\n");
        for (int i = 0; i < SHORT_FIELDS; i++) {
            head.append("a:\r\n");
        }
        for (int i = 0; i < STOPPED; i++) {
            client(head.toString());
            if (i % 100 == 0) {
                assertCanaryIsAnswered("canary" + i);
            }
        }
        for (int round = 0; round < ROUNDS; round++) {
            assertCanaryIsAnswered("last" + round);
        }
        assertWithinMemory();
    }
}
