package streamproxy.protocol;

import java.io.EOFException;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.Arrays;
import streamproxy.transport.Connection;

/** Reads HTTP/1.1 messages off a connection. */
public final class HttpReader {
    /** The most bytes of a body, as the protocol has it. */
    public static final int MOST_BODY = 256 * 1024;
    private static final int MOST_HEAD = 16 * 1024;
    /** Each takes far more memory here than bytes on its way. */
    private static final int MOST_FIELDS = 128;
    /** The most bytes of a line between chunks. */
    private static final int MOST_CHUNK_LINE = 256;
    /** A line between chunks may take so much longer than a silence, however its bytes come. */
    private static final long CHUNK_LINE_NS = 2_000_000_000L;
    /** A box writes an answer's head in one piece: one that is not whole so long after its first byte never will be. */
    private static final long WHOLE_HEAD = 150_000_000L;
    /** So many 1xx answers may come ahead of the one that counts. */
    private static final int MOST_AHEAD = 8;
    /** So much of a body is handed on at a time. */
    private static final int PIECE = 4 * 1024;
    private static final String VERSION = "HTTP/1.";
    private static final String TRANSFER_ENCODING = "Transfer-Encoding";
    private static final String CONTENT_LENGTH = "Content-Length";

    private static final BodyTaker NOBODY = (bytes, length) -> { };

    private final Connection from;
    private final StringBuilder line = new StringBuilder();
    private String expected = ""; // what the next line must begin with
    private int headBytes;
    private int mostBytes;
    private boolean timed; // else whoever has the reader read ends the connection when it takes too long
    private long readBy;
    private long mostSilenceNs; // 0: only readBy counts
    private long mostBody = MOST_BODY;
    private long chunkLeft;
    private boolean chunkSeen;

    public HttpReader(Connection from) { this.from = from; }

    /** Reads a request's head, however long it takes. */
    public HttpHead request() throws IOException { return request(0); }

    /**
     * Reads a request's head by that time of {@link System#nanoTime}, in nanoseconds; 0 for however long it takes.
     *
     * @throws java.net.SocketTimeoutException where it is not whole by then
     */
    public HttpHead request(long by) throws IOException {
        timed = by != 0;
        readBy = by;
        String first = firstLine();
        String[] part = first.split(" ", -1);
        if (part.length != 3 || part[0].isEmpty() || !part[1].startsWith("/")) {
            throw new BadMessage(400, "malformed request line");
        }
        if (!part[2].equals("HTTP/1.1")) {
            throw new BadMessage(part[2].startsWith("HTTP/") ? 505 : 400, "unknown version");
        }
        HttpHead head = fields(new HttpHead(part[0], part[1], part[2]));
        if (head.count("Host") != 1) {
            throw new BadMessage(400, "one Host is needed");
        }
        return head;
    }

    /** Reads the head of the answer that counts; those with 1xx ahead of it are passed over. */
    public HttpHead answer(long waitNs) throws IOException {
        long until = System.nanoTime() + waitNs;
        for (int ahead = 0; ahead <= MOST_AHEAD; ahead++) {
            HttpHead head = anyAnswer(until - System.nanoTime());
            if (head.status() >= 200) {
                return head;
            }
        }
        throw new BadMessage(502, "too many answers ahead");
    }

    private HttpHead anyAnswer(long waitNs) throws IOException {
        if (!from.awaitByte(Math.max(1, waitNs))) {
            throw new EOFException("closed without an answer");
        }
        expected = VERSION;
        // From its first byte on the whole head has so long: one byte now and then must not hold a thread for ever.
        within(Math.min(waitNs, WHOLE_HEAD));
        String first = firstLine();
        expected = "";
        String[] part = first.split(" ", 3);
        if (part.length < 2 || !part[0].startsWith(VERSION) || !part[1].matches("[1-5]\\d\\d")) {
            throw new BadMessage(502, "malformed status line");
        }
        HttpHead head = fields(new HttpHead(part[0], part[1], part.length > 2 ? part[2] : ""));
        requireOneLength(head);
        return head;
    }

    /** An answer that tells its length in two ways, or in a way that is not known, may end anywhere (RFC 9112, 6.3). */
    private static void requireOneLength(HttpHead head) throws BadMessage {
        int codings = head.count(TRANSFER_ENCODING);
        int lengths = head.count(CONTENT_LENGTH);
        if (codings > 0 && (codings > 1 || lengths > 0 || !head.chunked() || !head.method().equals("HTTP/1.1")) || lengths > 1) {
            throw new BadMessage(502, "an answer of unsound length");
        }
    }

    private void within(long ns) {
        timed = true;
        readBy = System.nanoTime() + ns;
    }

    private String firstLine() throws IOException {
        headBytes = 0;
        mostBytes = MOST_HEAD;
        String first = line();
        return first.isEmpty() ? line() : first; // RFC 9112: one empty line is passed over
    }

    private HttpHead fields(HttpHead head) throws IOException {
        while (true) {
            String text = line();
            if (text.isEmpty()) {
                return head;
            }
            if (head.fields() == MOST_FIELDS) {
                throw new BadMessage(431, "too many header fields");
            }
            String name = fieldName(text);
            head.add(name, text.substring(name.length() + 1).strip());
        }
    }

    private static String fieldName(String field) throws BadMessage {
        int colon = field.indexOf(':');
        if (colon <= 0 || field.substring(0, colon).chars().anyMatch(c -> c <= ' ' || c >= 127)) {
            throw new BadMessage(400, "malformed header field");
        }
        return field.substring(0, colon);
    }

    /** Reads the fields behind the last chunk, which say nothing here; another message's head in their place is none. */
    private void trailers() throws IOException {
        for (String text = line(); !text.isEmpty(); text = line()) {
            String name = fieldName(text);
            if (name.equalsIgnoreCase(TRANSFER_ENCODING) || name.equalsIgnoreCase(CONTENT_LENGTH)) {
                throw new BadMessage(400, "a length behind the last chunk");
            }
        }
    }

    private String line() throws IOException {
        line.setLength(0);
        while (true) {
            // The clock is asked where there may be something to wait for, not for each byte.
            int c = from.read(from.holdsMore() ? 0 : left());
            if (c < 0) {
                throw new EOFException("closed within a line");
            }
            if (++headBytes > mostBytes) {
                throw new BadMessage(431, "head too large");
            }
            if (line.length() < expected.length() && c != expected.charAt(line.length())) {
                throw new BadMessage(502, "noise in place of an answer"); // said at once: its end may never come
            }
            if (c == '\n') {
                int length = line.length();
                if (length > 0 && line.charAt(length - 1) == '\r') {
                    line.setLength(length - 1);
                }
                // Passed on, a lone CR or another control might be read as an end of line by a box.
                for (int i = 0; i < line.length(); i++) {
                    char x = line.charAt(i);
                    if (x < ' ' && x != '\t' || x == 127) {
                        throw new BadMessage(400, "a control character in a head");
                    }
                }
                return line.toString();
            }
            line.append((char) c);
        }
    }

    /** How long the next read may wait; 0 for ever. */
    private long left() {
        if (!timed) {
            return 0;
        }
        long left = Math.max(1, readBy - System.nanoTime());
        return mostSilenceNs > 0 ? Math.min(mostSilenceNs, left) : left;
    }

    /** The size of the body that follows, at most {@link #MOST_BODY}; that for one without a stated length. */
    public int bodySize(HttpHead head) throws BadMessage {
        String length = head.get(CONTENT_LENGTH);
        if (head.get(TRANSFER_ENCODING) != null) {
            if (length != null) {
                throw new BadMessage(400, "both lengths");
            }
            if (!head.chunked() || head.count(TRANSFER_ENCODING) > 1) {
                throw new BadMessage(501, "unknown transfer coding");
            }
            return (int) mostBody;
        }
        if (length == null) {
            return 0;
        }
        if (head.count(CONTENT_LENGTH) > 1 || !length.matches("\\d{1,18}")) {
            throw new BadMessage(400, "bad length");
        }
        if (Long.parseLong(length) > mostBody) {
            throw new BadMessage(413, "body too large");
        }
        return Integer.parseInt(length);
    }

    /** The most memory that reading the body takes: one of unstated length is read into a buffer that grows, and copied. */
    public int bodyMemory(HttpHead head) throws BadMessage { return (head.chunked() ? 2 : 1) * bodySize(head); }

    /** Reads a request's whole body of at most {@link #MOST_BODY} bytes, however long it takes. */
    public byte[] body(HttpHead head) throws IOException {
        timed = false;
        return wholeBody(head);
    }

    /** Reads an answer's whole body of at most {@link #MOST_BODY} bytes by that time of {@link System#nanoTime}. */
    public byte[] body(HttpHead head, long by) throws IOException {
        timed = true;
        readBy = by;
        try {
            return wholeBody(head);
        } catch (SocketTimeoutException e) {
            throw new BadMessage(408, "the body takes too long");
        }
    }

    /** Reads a body that nobody wants, and keeps nothing of it, however long it takes. */
    public void skipBody(HttpHead head) throws IOException {
        timed = false;
        passBodyOn(head, NOBODY);
    }

    /** The same of an answer, by that time of {@link System#nanoTime}. */
    public void skipBody(HttpHead head, long by) throws IOException { body(head, by, NOBODY); }

    /** Takes the bytes of a body as they come. */
    public interface BodyTaker {
        void take(byte[] bytes, int length) throws IOException;
    }

    /**
     * Hands on an answer's body as it comes, of at most as many bytes as are allowed, by that time of {@link System#nanoTime}.
     *
     * @throws BadMessage where it is longer, or not whole by then
     */
    public void body(HttpHead head, long by, BodyTaker to) throws IOException {
        timed = true;
        readBy = by;
        try {
            passBodyOn(head, to);
        } catch (SocketTimeoutException e) {
            throw new BadMessage(408, "the body takes too long");
        }
    }

    private void passBodyOn(HttpHead head, BodyTaker to) throws IOException {
        int size = bodySize(head);
        if (head.chunked()) {
            passChunksOn(to);
        } else {
            passBytesOn(size, to);
        }
    }

    private void passChunksOn(BodyTaker to) throws IOException {
        byte[] some = new byte[PIECE];
        long all = 0;
        startChunks();
        for (int n = chunk(some, 0, PIECE); n >= 0; n = chunk(some, 0, PIECE)) {
            all += n;
            if (all > mostBody) {
                throw new BadMessage(413, "body too large");
            }
            to.take(some, n);
        }
    }

    private void passBytesOn(int size, BodyTaker to) throws IOException {
        byte[] some = new byte[Math.min(PIECE, size)];
        for (int left = size; left > 0;) {
            int n = from.read(some, 0, Math.min(some.length, left), left());
            if (n < 0) {
                throw new EOFException("closed within a body");
            }
            left -= n;
            to.take(some, n);
        }
    }

    private byte[] wholeBody(HttpHead head) throws IOException {
        int size = bodySize(head);
        if (head.chunked()) {
            return chunks();
        }
        byte[] body = new byte[size];
        for (int at = 0; at < size;) {
            int n = from.read(body, at, size - at, left());
            if (n < 0) {
                throw new EOFException("closed within a body");
            }
            at += n;
        }
        return body;
    }

    private byte[] chunks() throws IOException {
        byte[] all = new byte[1024];
        int size = 0;
        startChunks();
        while (true) {
            if (size == all.length) {
                all = Arrays.copyOf(all, (int) Math.min(2L * size, mostBody + 1));
            }
            int n = chunk(all, size, all.length - size);
            if (n < 0) {
                return Arrays.copyOf(all, size);
            }
            size += n;
            if (size > mostBody) {
                throw new BadMessage(413, "body too large");
            }
        }
    }

    /** Begins a chunked body that is read with {@link #chunk}. */
    public void startChunks() {
        chunkLeft = 0;
        chunkSeen = false;
    }

    /**
     * Reads some bytes of a chunked body by that time of {@link System#nanoTime}; -1 once the last chunk was read.
     *
     * @throws java.net.SocketTimeoutException where nothing has come by then
     */
    public int chunk(byte[] to, int at, int most, long by) throws IOException {
        timed = true;
        readBy = by;
        return chunk(to, at, most);
    }

    /**
     * Reads some bytes of a chunked body, each of which may take so long; -1 once the last chunk was read.
     *
     * @throws java.net.SocketTimeoutException where one takes longer, or a line between chunks does
     */
    public int chunkWithin(byte[] to, long silenceNs) throws IOException {
        timed = true;
        mostSilenceNs = silenceNs;
        try {
            return chunk(to, 0, to.length);
        } finally {
            mostSilenceNs = 0;
        }
    }

    private int chunk(byte[] to, int at, int most) throws IOException {
        if (chunkLeft == 0) {
            if (mostSilenceNs > 0) {
                readBy = System.nanoTime() + mostSilenceNs + CHUNK_LINE_NS;
            }
            headBytes = 0;
            mostBytes = MOST_CHUNK_LINE;
            if (chunkSeen && !line().isEmpty()) {
                throw new BadMessage(400, "malformed chunk");
            }
            String size = line();
            int extension = size.indexOf(';');
            chunkLeft = hexadecimal((extension < 0 ? size : size.substring(0, extension)).stripTrailing());
            chunkSeen = true;
            if (chunkLeft > mostBody) {
                throw new BadMessage(413, "body too large"); // some claim gigabytes, and keep coming
            }
            if (chunkLeft == 0) {
                mostBytes = MOST_HEAD;
                trailers();
                return -1;
            }
        }
        long waitNs = mostSilenceNs > 0 ? mostSilenceNs : left();
        int n = from.read(to, at, (int) Math.min(most, chunkLeft), from.holdsMore() ? 0 : waitNs);
        if (n < 0) {
            throw new EOFException("closed within a chunk");
        }
        chunkLeft -= n;
        return n;
    }

    /** One to eight hexadecimal digits and nothing else; without a pattern, since each event of a stream has a size. */
    private static long hexadecimal(String size) throws BadMessage {
        long value = 0;
        for (int i = 0; i < size.length(); i++) {
            char c = size.charAt(i);
            int digit = c < 128 ? Character.digit(c, 16) : -1;
            if (digit < 0 || i == 8) {
                throw new BadMessage(400, "malformed chunk size");
            }
            value = 16 * value + digit;
        }
        if (size.isEmpty()) {
            throw new BadMessage(400, "malformed chunk size");
        }
        return value;
    }

    /** From now on bodies and chunks may have so many bytes. */
    public void allow(long most) { mostBody = most; }
}
