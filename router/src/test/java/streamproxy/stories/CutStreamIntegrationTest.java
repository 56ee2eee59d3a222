package streamproxy.stories;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.Test;

/** One complete answer of a replica, cut at each of its bytes. */
public class CutStreamIntegrationTest extends RouterTestBase {
    /** How a replica ends an answer that it has cut. */
    private enum End { FIN, RESET, LAST_CHUNK }

    private static final String HEAD = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String LAST_CHUNK = "0\r\n\r\n";
    private static final String REPORT = ": Srv-Load: {\"lat_ms\":5,\"rif\":0,\"q\":0,\"x1\":0}\n\n";
    private static final String EVENTS = ONE + TWO + DONE + REPORT;

    /** Before its first event an answer is tried again until its client's time is over, so that few cuts are played there. */
    private static final int BEGUN = HEAD.length() + ONE.length();
    private static final int BEFORE_BEGUN = 29;
    private static final String DEADLINE = "0.300";

    private final AtomicReference<String> answer = new AtomicReference<>();
    private final AtomicReference<End> end = new AtomicReference<>();
    private int asked;

    private ScriptedPeer replica() throws IOException {
        return box(exchange -> {
            exchange.write(answer.get());
            if (end.get() == End.RESET) {
                exchange.socket().setSoLinger(true, 0);
            }
            if (end.get() != End.LAST_CHUNK) {
                exchange.socket().close();
            }
        });
    }

    /** What a client gets up to the end of its connection, which it asks for. */
    private String ask(String bytes, End how) throws IOException {
        answer.set(bytes);
        end.set(how);
        try (Caller caller = new Caller(router.address())) {
            caller.send(Caller.prompt("cut" + asked++, "{}").replace("Host:", "Connection: close\r\nHost:").replace("3.000", DEADLINE));
            return caller.readAll();
        }
    }

    @Test public void anAnswerThatIsCutAnywhereIsNotEndedAsIfItWereComplete() throws Exception {
        routerOver(replica());
        String whole = HEAD + chunk(ONE) + chunk(TWO + DONE.substring(0, 4)) + chunk(DONE.substring(4)) + chunk(REPORT) + LAST_CHUNK;
        for (int to = 0; to < whole.length(); to += to < BEGUN ? BEFORE_BEGUN : 1) {
            for (End how : new End[] {End.FIN, End.RESET}) {
                String got = ask(whole.substring(0, to), how);
                assertFalse(how + " behind " + whole.substring(0, to) + ": " + got, got.startsWith("HTTP/1.1 200 ") && got.endsWith(LAST_CHUNK));
            }
        }
        assertTrue(ask(whole, End.FIN).endsWith(LAST_CHUNK));
    }

    @Test public void anAnswerWhoseContentIsCutAnywhereIsNotEndedAsIfItWereComplete() throws Exception {
        routerOver(replica());
        int complete = EVENTS.length() - REPORT.length();
        for (int to = 0; to <= EVENTS.length(); to += to < ONE.length() ? BEFORE_BEGUN : 1) {
            String content = EVENTS.substring(0, to);
            boolean isComplete = to == complete || to >= EVENTS.length() - 1; // comments need no empty line
            String got = ask(HEAD + (to == 0 ? "" : chunk(content)) + LAST_CHUNK, End.LAST_CHUNK);
            assertEquals("behind " + content + ": " + got, isComplete, got.startsWith("HTTP/1.1 200 ") && got.endsWith(LAST_CHUNK));
        }
    }

    /** Nobody may be passed on less, or something else, than what its replica wrote. */
    @Test public void aCompleteAnswerIsPassedOnUnchangedHoweverItIsCutIntoChunks() throws Exception {
        routerOver(replica());
        for (int size = 1; size <= EVENTS.length(); size += 1 + size / 8) {
            StringBuilder chunks = new StringBuilder(HEAD);
            for (int at = 0; at < EVENTS.length(); at += size) {
                chunks.append(chunk(EVENTS.substring(at, Math.min(EVENTS.length(), at + size))));
            }
            String got = ask(chunks + LAST_CHUNK, End.LAST_CHUNK);
            assertEquals("chunks of " + size, EVENTS, content(got));
        }
    }

    private static String content(String got) {
        StringBuilder content = new StringBuilder();
        int at = got.indexOf("\r\n\r\n") + 4;
        while (true) {
            int line = got.indexOf("\r\n", at);
            int size = Integer.parseInt(got.substring(at, line), 16);
            if (size == 0) {
                return content.toString();
            }
            content.append(got, line + 2, line + 2 + size);
            at = line + 2 + size + 2;
        }
    }

    private static String chunk(String text) { return Integer.toHexString(text.getBytes(StandardCharsets.US_ASCII).length) + "\r\n" + text + "\r\n"; }
}
