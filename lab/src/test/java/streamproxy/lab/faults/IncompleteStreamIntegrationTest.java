package streamproxy.lab.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static streamproxy.lab.faults.ReplicaStream.DONE;
import static streamproxy.lab.faults.ReplicaStream.FINISH;
import static streamproxy.lab.faults.ReplicaStream.HEAD;
import static streamproxy.lab.faults.ReplicaStream.LAST_CHUNK;
import static streamproxy.lab.faults.ReplicaStream.REPORT;
import static streamproxy.lab.faults.ReplicaStream.TEXT;
import static streamproxy.lab.faults.ReplicaStream.USAGE;
import static streamproxy.lab.faults.ReplicaStream.chunk;
import static streamproxy.lab.faults.ReplicaStream.chunks;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** What a client gets from a router as a process where a replica's answer is not complete, and where it is in an unusual form. */
@Timeout(60)
class IncompleteStreamIntegrationTest {
    /** An answer as its client read it, up to its last chunk or the connection's end. */
    private record Answer(int status, String body, boolean ended, long ms) {
        /** The bytes of the events, without their chunks' framing. */
        String events() {
            StringBuilder events = new StringBuilder();
            for (int at = 0; at < body.length();) {
                int line = body.indexOf("\r\n", at);
                int size = Integer.parseInt(body.substring(at, line), 16);
                events.append(body, line + 2, line + 2 + size);
                at = line + 2 + size + 2;
            }
            return events.toString();
        }
    }

    /** Answers whose chunks are sound and whose content is not complete. */
    private enum Incomplete {
        FIRST_EVENT_ALONE(chunks(List.of(TEXT)) + LAST_CHUNK),
        WITHOUT_FINISH_AND_ALL_BEHIND_IT(chunks(List.of(TEXT, TEXT)) + LAST_CHUNK),
        WITHOUT_USAGE_AND_ALL_BEHIND_IT(chunks(List.of(TEXT, FINISH)) + LAST_CHUNK),
        WITHOUT_DONE(chunks(List.of(TEXT, FINISH, USAGE)) + LAST_CHUNK),
        WITHOUT_DONE_BUT_WITH_A_REPORT(chunks(List.of(TEXT, FINISH, USAGE, REPORT)) + LAST_CHUNK),
        WITHOUT_FINISH(chunks(List.of(TEXT, USAGE, DONE)) + LAST_CHUNK),
        WITHOUT_USAGE(chunks(List.of(TEXT, FINISH, DONE)) + LAST_CHUNK),
        AN_ERROR(chunks(List.of(TEXT, "data: {\"error\":{\"message\":\"out of memory\"}}\n\n")) + LAST_CHUNK),
        AN_ERROR_AND_THE_REST(chunks(List.of(TEXT, "data: {\"error\":{\"message\":\"out of memory\"}}\n\n", FINISH, USAGE, DONE)) + LAST_CHUNK),
        TEXT_BEHIND_DONE(chunks(List.of(TEXT, FINISH, USAGE, DONE, TEXT)) + LAST_CHUNK),
        DONE_IN_TEXT(chunks(List.of(TEXT, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"data: [DONE]\"},\"finish_reason\":null}]}\n\n")) + LAST_CHUNK);

        private final String body;

        Incomplete(String body) { this.body = body; }
    }

    /** Answers that end within an event: nothing of them may be waited for. */
    private enum Cut {
        WITHIN_TEXT(chunk(TEXT) + chunk(TEXT.substring(0, 20)) + LAST_CHUNK),
        WITHIN_DONE(chunks(List.of(TEXT, FINISH, USAGE, DONE.substring(0, 9))) + LAST_CHUNK),
        BEHIND_THE_LINE_OF_DONE(chunks(List.of(TEXT, FINISH, USAGE, DONE.strip() + "\n")) + LAST_CHUNK);

        private final String body;

        Cut(String body) { this.body = body; }
    }

    /** Answers whose content is complete, in a framing that RFC 9112 forbids. */
    private enum UnsoundFraming {
        TWO_LENGTHS(HEAD.replace("Transfer", "Content-Length: 12\r\nTransfer"), LAST_CHUNK),
        TWO_CODINGS(HEAD.replace("Transfer", "Transfer-Encoding: chunked\r\nTransfer"), LAST_CHUNK),
        CHUNKS_IN_HTTP_1_0(HEAD.replace("HTTP/1.1", "HTTP/1.0"), LAST_CHUNK),
        ANOTHER_HEAD_FOR_TRAILERS(HEAD, "0\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
        A_LENGTH_IN_TRAILERS(HEAD, "0\r\nContent-Length: 12\r\n\r\n"),
        SPACE_BEFORE_A_SIZE(HEAD, " 0\r\n\r\n");

        private final String head;
        private final String end;

        UnsoundFraming(String head, String end) {
            this.head = head;
            this.end = end;
        }
    }

    /** Complete answers in forms that the protocol allows. */
    private enum Complete {
        AS_THE_PAGE_HAS_IT(chunks(ReplicaStream.complete()) + LAST_CHUNK),
        REPORT_BEHIND_DONE(chunks(List.of(TEXT, FINISH, USAGE, DONE, REPORT)) + LAST_CHUNK),
        REPORT_AS_A_LINE(chunks(List.of(TEXT, FINISH, USAGE, DONE, REPORT.strip() + "\n")) + LAST_CHUNK),
        REPORT_WITH_DONE(chunks(List.of(TEXT, FINISH, USAGE, REPORT.strip() + "\n" + DONE)) + LAST_CHUNK),
        COMMENT_FIRST(chunks(List.of(": waiting\n\n", TEXT, FINISH, USAGE, DONE)) + LAST_CHUNK),
        LINES_END_WITH_CRLF(chunks(ReplicaStream.complete().stream().map(event -> event.replace("\n", "\r\n")).toList()) + LAST_CHUNK),
        FINISH_AND_USAGE_TOGETHER(chunks(List.of(TEXT,
                "data: {\"choices\": [{\"index\": 0, \"delta\": {}, \"finish_reason\": \"length\"}], \"usage\": {\"prompt_tokens\": 9}}\n\n", DONE)) + LAST_CHUNK),
        ONE_CHUNK(chunk(String.join("", ReplicaStream.complete())) + LAST_CHUNK),
        CHUNKS_OF_ONE_BYTE(String.join("", ReplicaStream.complete()).chars().mapToObj(c -> chunk(String.valueOf((char) c)))
                .collect(Collectors.joining()) + LAST_CHUNK),
        EXTENSIONS_AND_TRAILERS(chunks(ReplicaStream.complete()).replaceFirst("\r\n", ";part=1\r\n") + "0;last\r\nServer-Timing: total;dur=5\r\n\r\n");

        private final String body;

        Complete(String body) { this.body = body; }

        /** What its client is to read. */
        String events() { return new Answer(200, body.substring(0, body.lastIndexOf("\r\n0") + 2).replace(";part=1", ""), true, 0).events(); }
    }

    private static final int REPLICAS = 2;
    /** An end that is passed on a second late is a lost request, by the protocol page. */
    private static final long AT_ONCE_MS = 1_000;
    private static final long DEADLINE_MS = 3_000;
    private static final int READS_FAIL_IN = 9;
    private static final int FAULTY_REQUESTS = 30;
    private static final int SLOW_PIECES = 60;
    private static final int SLOW_PIECE_BYTES = 1_024;
    private static final int SLOW_EVERY_MS = 50;

    private static RouterUnderFaults router;
    private static int asked;

    @BeforeAll static void start() throws Exception { router = new RouterUnderFaults(REPLICAS); }

    @AfterAll static void end() throws Exception { router.close(); }

    private static Answer ask(String head, String body, boolean closes) throws IOException {
        router.replicasPlay((message, socket) -> {
            socket.getOutputStream().write((head + body).getBytes(StandardCharsets.US_ASCII));
            return !closes;
        });
        return ask("3.000");
    }

    private static Answer ask(String deadline) throws IOException {
        try (Socket client = router.connect()) {
            long sentAt = System.nanoTime();
            RouterUnderFaults.send(client, RouterUnderFaults.prompt("incomplete" + asked++, deadline, 2));
            StringBuilder all = new StringBuilder();
            boolean closed = false;
            while (!closed && !isWhole(all)) {
                int c = client.getInputStream().read();
                closed = c < 0;
                all.append(closed ? "" : (char) c);
            }
            long ms = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAt);
            String answer = all.toString();
            int head = answer.indexOf("\r\n\r\n") + 4;
            int end = closed ? answer.length() : answer.length() - LAST_CHUNK.length();
            return new Answer(Integer.parseInt(answer.substring(9, 12)), answer.contains("chunked") ? answer.substring(head, end) : "", !closed, ms);
        }
    }

    private static boolean isWhole(StringBuilder answer) {
        int head = answer.indexOf("\r\n\r\n");
        int length = answer.indexOf("Content-Length: ");
        if (head < 0) {
            return false;
        }
        return length < 0 ? answer.indexOf("\r\n" + LAST_CHUNK, Math.max(0, answer.length() - 7)) >= 0
                : answer.length() == head + 4 + Integer.parseInt(RouterUnderFaults.field(answer.toString(), "Content-Length"));
    }

    @ParameterizedTest @EnumSource void anIncompleteStreamIsNotEndedAsIfItWereComplete(Incomplete answer) throws Exception {
        for (boolean closes : new boolean[] {false, true}) {
            Answer got = ask(HEAD, answer.body, closes);
            assertEquals(200, got.status, "its first event was sound");
            assertFalse(got.ended, "it got the last chunk behind " + got.body);
            assertTrue(got.ms < AT_ONCE_MS, "it heard of it after " + got.ms + " ms");
        }
    }

    @ParameterizedTest @EnumSource void aStreamThatEndsWithinAnEventIsBrokenOffAtOnce(Cut answer) throws Exception {
        Answer got = ask(HEAD, answer.body, false);
        assertFalse(got.ended, "it got the last chunk behind " + got.body);
        assertTrue(got.ms < AT_ONCE_MS, "it heard of it after " + got.ms + " ms");
    }

    @ParameterizedTest @EnumSource void anAnswerOfUnsoundFramingIsNotEndedAsIfItWereComplete(UnsoundFraming answer) throws Exception {
        Answer got = ask(answer.head, chunks(ReplicaStream.complete()) + answer.end, false);
        assertTrue(got.status != 200 || !got.ended, "it got " + got.status + " and the last chunk behind " + got.body);
        long mostMs = got.status == 200 ? AT_ONCE_MS : DEADLINE_MS; // before the first event others are tried
        assertTrue(got.ms < mostMs, "it heard of it after " + got.ms + " ms");
    }

    @ParameterizedTest @EnumSource void aCompleteStreamIsPassedOnUnchangedToItsEnd(Complete answer) throws Exception {
        for (boolean closes : new boolean[] {false, true}) {
            Answer got = ask(HEAD, answer.body, closes);
            assertTrue(got.ended, "it got no last chunk behind " + got.body);
            assertEquals(answer.events(), got.events());
        }
    }

    /** Whatever a read fails with, or however few bytes it brings: what is ended is complete. */
    @Test void noReadThatFailsIsTakenForAStreamsEnd() throws Exception {
        router.replicasPlay((message, socket) -> {
            socket.getOutputStream().write(HEAD.getBytes(StandardCharsets.US_ASCII));
            for (String event : ReplicaStream.complete()) {
                socket.getOutputStream().write(chunk(event).getBytes(StandardCharsets.US_ASCII));
            }
            socket.getOutputStream().write(LAST_CHUNK.getBytes(StandardCharsets.US_ASCII));
            return true;
        });
        for (Fault fault : List.of(Fault.failing(Errno.EINTR, 2), Fault.failing(Errno.ETIMEDOUT, READS_FAIL_IN), Fault.failing(Errno.EHOSTUNREACH, READS_FAIL_IN),
                Fault.failing(Errno.ECONNRESET, READS_FAIL_IN), Fault.slow(1, 0))) {
            router.faults.begin(SystemCall.READ, fault);
            int ended = 0;
            for (int i = 0; i < FAULTY_REQUESTS; i++) {
                ended += endsComplete() ? 1 : 0;
            }
            router.faults.end(SystemCall.READ);
            assertTrue(ended > 0, "some are served although reads meet " + fault);
        }
    }

    /** Whether one more request is served to its end; what is ended must be complete. */
    private static boolean endsComplete() throws IOException {
        Answer got = askOrBreak();
        if (got == null || got.status != 200 || !got.ended) {
            return false;
        }
        assertEquals(String.join("", ReplicaStream.complete()), got.events());
        return true;
    }

    /** Null where the request met the fault itself. */
    private static Answer askOrBreak() throws IOException {
        try {
            return ask("0.300");
        } catch (IOException | StringIndexOutOfBoundsException e) {
            return null; // its connection ended before an answer
        }
    }

    @Test void aLongEventThatIsStillBeingWrittenIsNotCutOff() throws Exception {
        router.replicasPlay((message, socket) -> writeSlowly(socket, chunk(TEXT)));
        assertSlowEventCame(ask("3.000"), TEXT);
    }

    @Test void aLongFirstEventThatIsStillBeingWrittenIsNotCutOff() throws Exception {
        router.replicasPlay((message, socket) -> writeSlowly(socket, ""));
        assertSlowEventCame(ask("4.000"), "");
    }

    private static void assertSlowEventCame(Answer got, String before) {
        assertEquals(200, got.status);
        assertTrue(got.ended, "cut off after " + got.ms + " ms");
        assertEquals(before + slowEvent() + FINISH + USAGE + DONE, got.events());
    }

    private static String slowEvent() { return TEXT.replace("oqvh", "x".repeat(SLOW_PIECES * SLOW_PIECE_BYTES)); }

    private static boolean writeSlowly(Socket socket, String before) throws IOException {
        String event = chunk(slowEvent());
        socket.getOutputStream().write((HEAD + before).getBytes(StandardCharsets.US_ASCII));
        for (int at = 0; at < event.length(); at += SLOW_PIECE_BYTES) {
            socket.getOutputStream().write(event.substring(at, Math.min(event.length(), at + SLOW_PIECE_BYTES)).getBytes(StandardCharsets.US_ASCII));
            if (pause(socket)) {
                return false;
            }
        }
        socket.getOutputStream().write((chunks(List.of(FINISH, USAGE, DONE)) + LAST_CHUNK).getBytes(StandardCharsets.US_ASCII));
        return true;
    }

    /** Waits before the next piece; true where the router has closed meanwhile. */
    private static boolean pause(Socket socket) throws IOException {
        socket.setSoTimeout(SLOW_EVERY_MS);
        try {
            return socket.getInputStream().read() < 0;
        } catch (SocketTimeoutException paced) {
            return false;
        } finally {
            socket.setSoTimeout(0);
        }
    }
}
