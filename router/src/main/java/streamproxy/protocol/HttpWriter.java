package streamproxy.protocol;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import streamproxy.transport.Connection;

/** Writes HTTP/1.1 messages, each head, chunk or whole message in one write. */
public final class HttpWriter {
    /** So many bytes of a body are written in one piece with their head. */
    private static final int TOGETHER = 4 * 1024;
    private static final byte[] LAST_CHUNK = ascii("0\r\n\r\n");
    private static final Map<Integer, String> REASONS = Map.ofEntries(Map.entry(200, "OK"),
            Map.entry(400, "Bad Request"), Map.entry(404, "Not Found"), Map.entry(405, "Method Not Allowed"),
            Map.entry(408, "Request Timeout"), Map.entry(409, "Conflict"),
            Map.entry(411, "Length Required"),
            Map.entry(413, "Content Too Large"), Map.entry(431, "Request Header Fields Too Large"),
            Map.entry(500, "Internal Server Error"), Map.entry(501, "Not Implemented"),
            Map.entry(502, "Bad Gateway"), Map.entry(503, "Service Unavailable"),
            Map.entry(505, "HTTP Version Not Supported"));

    private final Connection to;

    public HttpWriter(Connection to) { this.to = to; }

    /** A whole answer; extra fields come as complete lines. */
    public void answer(int status, String text, boolean close, String... fields) throws IOException {
        to.write(whole(status, text, close, fields));
    }

    /** The bytes of a whole answer, for whoever writes them otherwise. */
    public static byte[] whole(int status, String text, boolean close, String... fields) {
        StringBuilder head = new StringBuilder("HTTP/1.1 ").append(status).append(' ')
                .append(REASONS.getOrDefault(status, "Status")).append("\r\nContent-Type: text/plain\r\n");
        for (String field : fields) {
            head.append(field).append("\r\n");
        }
        head.append(close ? "Connection: close\r\n" : "").append("Content-Length: ").append(text.length());
        return ascii(head.append("\r\n\r\n").append(text).toString());
    }

    /** The head of a stream of events together with the first of them. */
    public void firstEvent(byte[] event, boolean close) throws IOException {
        chunk("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\n"
                + (close ? "Connection: close\r\n" : "") + "Transfer-Encoding: chunked\r\n\r\n", event);
    }

    /** Tells a client that waits for it to send its body. */
    public void goOn() throws IOException { to.write(ascii("HTTP/1.1 100 Continue\r\n\r\n")); }

    public void event(byte[] event) throws IOException { chunk("", event); }

    public void lastChunk() throws IOException { to.write(LAST_CHUNK); }

    private void chunk(String before, byte[] event) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream(before.length() + event.length + 16);
        out.writeBytes(ascii(before + Integer.toHexString(event.length) + "\r\n"));
        out.writeBytes(event);
        out.writeBytes(ascii("\r\n"));
        to.write(out.toByteArray());
    }

    /** A request passed on to a replica, all but its last byte: the replica does not begin with it before that. */
    public void passOnAllButLast(PassedOn request, String host, long toldNs) throws IOException {
        byte[] head = ascii(request.method() + " " + request.target() + " HTTP/1.1\r\nHost: " + host
                + "\r\nReq-Id: " + request.id() + idempotencyKey(request) + "\r\nReq-Deadline: " + seconds(toldNs)
                + "\r\nContent-Type: application/json\r\nContent-Length: " + request.body().length + "\r\n\r\n");
        int first = Math.min(request.body().length - 1, TOGETHER);
        byte[] together = Arrays.copyOf(head, head.length + first);
        System.arraycopy(request.body(), 0, together, head.length, first);
        to.write(together);
        to.write(request.body(), first, request.body().length - 1 - first);
    }

    /** The last byte of a request that was passed on up to there. */
    public void passOnLast(PassedOn request) throws IOException { to.write(request.body(), request.body().length - 1, 1); }

    private static String idempotencyKey(PassedOn request) {
        return request.idempotencyKey() == null ? "" : "\r\nIdempotency-Key: " + request.idempotencyKey();
    }

    /** With three decimals, rounded down; a format would be read anew for each request. */
    private static String seconds(long ns) {
        long ms = TimeUnit.NANOSECONDS.toMillis(ns);
        return ms / 1000 + "." + Long.toString(1000 + ms % 1000).substring(1);
    }

    public void get(String target, String host) throws IOException {
        to.write(ascii("GET " + target + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n"));
    }

    private static byte[] ascii(String text) { return text.getBytes(StandardCharsets.ISO_8859_1); }
}
