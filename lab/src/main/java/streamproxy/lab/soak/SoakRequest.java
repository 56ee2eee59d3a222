package streamproxy.lab.soak;

import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.SplittableRandom;
import streamproxy.lab.RepeatRule;

/** One request of a client: what it says, and what became of it. Its client writes it; it is judged once the run is over. */
final class SoakRequest {
    /** How it ended for its client. */
    enum End {
        /** Its stream came whole. */
        SERVED,
        /** 429 or 503. */
        REFUSED,
        /** Any other status. */
        FAILED,
        /** Its stream broke off. */
        CUT,
        /** The connection ended before any byte of an answer. */
        CLOSED,
        /** Nothing came in time. */
        SILENT,
        /** Its client went before the answer. */
        LEFT,
        /** It was never whole. */
        HALF,
        /** The answer is no HTTP. */
        GARBLED
    }

    private static final int QUERY_IN = 8;
    private static final int KEY_IN = 4;
    private static final int CHUNKED_IN = 8;
    private static final int BODY_MOST = 600;
    private static final String PATH = "/v1/chat/completions";

    final String id;
    final String target;
    final String body;
    final String idempotencyKey; // null: none
    final boolean chunked;
    final long deadlineMs;
    volatile long firstByteAt; // when its first byte was written; 0: never
    volatile long sentAt; // when its last byte was written; 0: never
    volatile long endedAt;
    volatile End end;
    volatile String events = ""; // those of its answer
    volatile String note = "";
    volatile Set<RepeatRule> rules = Set.of(RepeatRule.SAFE); // those that may bind it

    SoakRequest(String id, long deadlineMs, SplittableRandom random) {
        this.id = id;
        this.deadlineMs = deadlineMs;
        target = random.nextInt(QUERY_IN) == 0 ? PATH + "?try=" + random.nextInt(100) + "&name=%C4%90%E1%BB%8Bnh" : PATH;
        body = "{\"model\":\"chat\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"" + text(random) + "\"}]}";
        idempotencyKey = random.nextInt(KEY_IN) == 0 ? "key-" + id : null;
        chunked = random.nextInt(CHUNKED_IN) == 0;
    }

    /** Letters of several scripts, so that bytes and characters differ in number. */
    private static String text(SplittableRandom random) {
        StringBuilder text = new StringBuilder();
        for (int i = random.nextInt(BODY_MOST); i > 0; i--) {
            text.appendCodePoint(random.nextInt(10) == 0 ? 0x1EA0 + random.nextInt(90) : 'a' + random.nextInt(26));
        }
        return text.toString();
    }

    byte[] bodyBytes() { return body.getBytes(StandardCharsets.UTF_8); }

    /** The whole request as its client writes it. */
    byte[] bytes() {
        byte[] content = bodyBytes();
        String head = "POST " + target + " HTTP/1.1\r\nHost: app.svc\r\nReq-Id: " + id + "\r\nReq-Kind: chat\r\nReq-Key: " + id
                + "\r\nReq-Deadline: " + deadlineMs / 1000 + "." + Long.toString(1000 + deadlineMs % 1000).substring(1)
                + "\r\nReq-Extra: prompt_len=" + content.length / 4 + ",max_out=40\r\n"
                + (idempotencyKey == null ? "" : "Idempotency-Key: " + idempotencyKey + "\r\n")
                + (chunked ? "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(content.length) + "\r\n"
                        : "Content-Length: " + content.length + "\r\n\r\n");
        String tail = chunked ? "\r\n0\r\n\r\n" : "";
        byte[] first = head.getBytes(StandardCharsets.US_ASCII);
        byte[] last = tail.getBytes(StandardCharsets.US_ASCII);
        byte[] all = new byte[first.length + content.length + last.length];
        System.arraycopy(first, 0, all, 0, first.length);
        System.arraycopy(content, 0, all, first.length, content.length);
        System.arraycopy(last, 0, all, first.length + content.length, last.length);
        return all;
    }

    void ends(End how, String why) {
        endedAt = System.nanoTime();
        note = why;
        end = how;
    }

    /** Whether it was whole on its way to the router. */
    boolean isSent() { return sentAt != 0; }
}
