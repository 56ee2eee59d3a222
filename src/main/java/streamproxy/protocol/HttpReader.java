package streamproxy.protocol;

import java.io.EOFException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import streamproxy.transport.Connection;

/** Reads HTTP/1.1 messages off a connection. */
public final class HttpReader {
    /** The most bytes of a body, as the protocol has it. */
    public static final int MOST_BODY = 256 * 1024;
    private static final int MOST_HEAD = 16 * 1024;
    private static final byte[] NOTHING = new byte[0];

    private final Connection from;
    private final StringBuilder line = new StringBuilder();
    private int headBytes;
    private long chunkLeft;
    private boolean chunkSeen;

    public HttpReader(Connection from) { this.from = from; }

    /** Reads a request's head; null where the client closed before one began. */
    public HttpHead request(long idleNs, long headNs) throws IOException {
        String first = firstLine(idleNs, headNs);
        if (first == null) {
            return null;
        }
        String[] part = first.split(" ", -1);
        if (part.length != 3 || part[0].isEmpty() || !part[1].startsWith("/")) {
            throw new BadMessage(400, "malformed request line");
        }
        if (!part[2].equals("HTTP/1.1") && !part[2].equals("HTTP/1.0")) {
            throw new BadMessage(part[2].startsWith("HTTP/") ? 505 : 400, "unknown version");
        }
        return fields(new HttpHead(part[0], part[1], part[2]), headNs);
    }

    /** Reads an answer's head. */
    public HttpHead answer(long firstNs, long headNs) throws IOException {
        String first = firstLine(firstNs, headNs);
        if (first == null) {
            throw new EOFException("closed without an answer");
        }
        String[] part = first.split(" ", 3);
        if (part.length < 2 || !part[0].startsWith("HTTP/1.") || !part[1].matches("[1-5]\\d\\d")) {
            throw new BadMessage(502, "malformed status line");
        }
        return fields(new HttpHead(part[0], part[1], part.length > 2 ? part[2] : ""), headNs);
    }

    private String firstLine(long firstNs, long headNs) throws IOException {
        headBytes = 0;
        String first = line(firstNs, headNs);
        return first != null && first.isEmpty() ? line(headNs, headNs) : first; // RFC 9112: one empty line is passed over
    }

    private HttpHead fields(HttpHead head, long headNs) throws IOException {
        while (true) {
            String text = line(headNs, headNs);
            if (text == null) {
                throw new EOFException("closed within a head");
            }
            if (text.isEmpty()) {
                return head;
            }
            int colon = text.indexOf(':');
            if (colon <= 0 || text.substring(0, colon).chars().anyMatch(c -> c <= ' ' || c >= 127)) {
                throw new BadMessage(400, "malformed header field");
            }
            head.add(text.substring(0, colon), text.substring(colon + 1).strip());
        }
    }

    private String line(long firstNs, long nextNs) throws IOException {
        line.setLength(0);
        long wait = firstNs;
        while (true) {
            int c = from.read(wait);
            wait = nextNs;
            if (c < 0) {
                if (line.length() == 0) {
                    return null;
                }
                throw new EOFException("closed within a line");
            }
            if (++headBytes > MOST_HEAD) {
                throw new BadMessage(431, "head too large");
            }
            if (c == '\n') {
                int length = line.length();
                return length > 0 && line.charAt(length - 1) == '\r' ? line.substring(0, length - 1) : line.toString();
            }
            line.append((char) c);
        }
    }

    /** Reads a whole body of at most {@link #MOST_BODY} bytes. */
    public byte[] body(HttpHead head, long timeoutNs) throws IOException {
        String length = head.get("Content-Length");
        if (head.get("Transfer-Encoding") != null) {
            if (length != null) {
                throw new BadMessage(400, "both lengths");
            }
            if (!head.chunked()) {
                throw new BadMessage(501, "unknown transfer coding");
            }
            return chunks(timeoutNs);
        }
        if (length == null) {
            return NOTHING;
        }
        if (head.count("Content-Length") > 1 || !length.matches("\\d{1,18}")) {
            throw new BadMessage(400, "bad length");
        }
        if (Long.parseLong(length) > MOST_BODY) {
            throw new BadMessage(413, "body too large");
        }
        byte[] body = new byte[Integer.parseInt(length)];
        from.readFully(body, timeoutNs);
        return body;
    }

    private byte[] chunks(long timeoutNs) throws IOException {
        byte[] all = new byte[1024];
        int size = 0;
        startChunks();
        while (true) {
            if (size == all.length) {
                all = java.util.Arrays.copyOf(all, 2 * size);
            }
            int n = chunk(all, size, all.length - size, timeoutNs);
            if (n < 0) {
                return java.util.Arrays.copyOf(all, size);
            }
            size += n;
            if (size > MOST_BODY) {
                throw new BadMessage(413, "body too large");
            }
        }
    }

    /** Begins a chunked body that is read with {@link #chunk}. */
    public void startChunks() {
        chunkLeft = 0;
        chunkSeen = false;
    }

    /** Reads some bytes of a chunked body; -1 once the last chunk was read. */
    public int chunk(byte[] to, int at, int most, long timeoutNs) throws IOException {
        if (chunkLeft == 0) {
            headBytes = 0;
            if (chunkSeen && !chunkLine(timeoutNs).isEmpty()) {
                throw new BadMessage(400, "malformed chunk");
            }
            String size = chunkLine(timeoutNs);
            int extension = size.indexOf(';');
            size = (extension < 0 ? size : size.substring(0, extension)).strip();
            if (!size.matches("[0-9a-fA-F]{1,8}")) {
                throw new BadMessage(400, "malformed chunk size");
            }
            chunkLeft = Long.parseLong(size, 16);
            chunkSeen = true;
            if (chunkLeft == 0) {
                while (!chunkLine(timeoutNs).isEmpty()) {
                    continue; // trailers say nothing here
                }
                return -1;
            }
        }
        int n = from.read(to, at, (int) Math.min(most, chunkLeft), timeoutNs);
        if (n < 0) {
            throw new EOFException("closed within a chunk");
        }
        chunkLeft -= n;
        return n;
    }

    private String chunkLine(long timeoutNs) throws IOException {
        String text = line(timeoutNs, timeoutNs);
        if (text == null) {
            throw new EOFException("closed between chunks");
        }
        return text;
    }

    /** Reads one line of a chunked body, without its end; null once the last chunk was read. */
    public String chunkedLine(long timeoutNs) throws IOException {
        java.io.ByteArrayOutputStream bytes = new java.io.ByteArrayOutputStream();
        byte[] one = new byte[1];
        while (chunk(one, 0, 1, timeoutNs) > 0) {
            if (one[0] == '\n') {
                return bytes.toString(StandardCharsets.UTF_8);
            }
            bytes.write(one[0]);
        }
        return null;
    }
}
