import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** A client after the protocol page: one request at a time on a connection that it keeps. */
final class Client implements AutoCloseable {
    /** What came of a request: a status, or 0 where the connection ended without one; when its head and its end came. */
    record Answer(int status, String text, boolean whole, double headSeconds, double seconds, List<String> contents) {
        boolean isServed() { return status == 200 && whole; }
    }

    private static final AtomicLong IDS = new AtomicLong(System.nanoTime());

    /** A client waits so much longer than its deadline, to tell an answer that is lost (0.55 s late) from one that earns nothing. */
    private static final int GIVES_UP_AFTER_MS = 650;
    /** Between two events of a stream. */
    private static final int STREAM_MS = 10_000;

    private final String router;
    private final Record record;
    private boolean gaveUp; // on the last request: nothing came in its time
    private Socket socket;
    private InputStream in;

    Client(String router, Record record) {
        this.router = router;
        this.record = record;
    }

    static String newId() { return String.format("%016x", IDS.incrementAndGet() * 0x9e3779b97f4a7c15L); }

    static Socket connect(String address) throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        int colon = address.indexOf(':');
        socket.connect(new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))), 2_000);
        return socket;
    }

    static String request(String id, String kind, double deadline, String body) {
        return request(id, kind, deadline, "prompt_len=" + body.length() / 4 + ",prefix_len=0,max_out=16", body);
    }

    static String request(String id, String kind, double deadline, String extra, String body) {
        return "POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nReq-Id: " + id + "\r\nReq-Kind: " + kind + "\r\nReq-Key: " + newId()
                + "\r\nReq-Deadline: " + String.format(java.util.Locale.ROOT, "%.3f", deadline)
                + "\r\nReq-Extra: " + extra + "\r\nContent-Type: application/json\r\nContent-Length: "
                + Http.bytes(body).length + "\r\n\r\n" + body;
    }

    /** A prompt of so many tokens of four characters, the first of which are an opening that others share. */
    static String withOpening(String id, String kind, double deadline, int opening, int openingTokens, int tokens) {
        String name = String.format("%016x", (opening + 1) * 0x9e3779b97f4a7c15L);
        String shared = ("opening " + name + ' ').repeat(openingTokens / 6).substring(0, openingTokens * 4);
        String own = ("parcel " + id + ' ').repeat((tokens - openingTokens) / 6 + 1).substring(0, (tokens - openingTokens) * 4);
        String body = "{\"model\":\"chat\",\"stream\":true,\"max_tokens\":16,\"messages\":[{\"role\":\"system\",\"content\":\"" + shared
                + "\"},{\"role\":\"user\",\"content\":\"" + own + "\"}]}";
        return request(id, kind, deadline, "prefix=" + name + ",prompt_len=" + tokens + ",prefix_len=" + openingTokens + ",max_out=16", body);
    }

    static String prompt(String text) {
        return "{\"model\":\"chat\",\"stream\":true,\"max_tokens\":16,\"messages\":[{\"role\":\"user\",\"content\":\"" + text + "\"}]}";
    }

    /** Sends a request and reads its answer; a request that crosses the close of a kept connection is sent once more on a new one. */
    Answer ask(String id, String kind, double deadline, String request) {
        boolean kept = socket != null;
        Answer answer = tryOnce(id, kind, deadline, request);
        if (answer.status == 0 && kept && !gaveUp) {
            record.line("client sends %s once more, on a new connection", id);
            answer = tryOnce(id, kind, deadline, request);
        }
        return answer;
    }

    private Answer tryOnce(String id, String kind, double deadline, String request) {
        long from = System.nanoTime();
        gaveUp = false;
        int status = 0;
        long headAt = 0;
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        boolean whole = false;
        try {
            if (socket == null) {
                socket = connect(router);
                in = new BufferedInputStream(socket.getInputStream());
            }
            socket.setSoTimeout((int) (deadline * 1000) + GIVES_UP_AFTER_MS);
            socket.getOutputStream().write(Http.bytes(request));
            record.line("client sent %s (%s, %.3f s)", id, kind, deadline);
            Http.Head head = Http.head(in);
            status = head.status();
            headAt = System.nanoTime();
            socket.setSoTimeout(STREAM_MS);
            if (head.isChunked()) {
                for (byte[] chunk = Http.chunk(in); chunk != null; chunk = Http.chunk(in)) {
                    text.writeBytes(chunk);
                }
            } else {
                text.writeBytes(Http.body(head, in));
            }
            whole = true;
            if (head.closes()) {
                close();
            }
        } catch (SocketTimeoutException e) {
            gaveUp = true;
            close();
        } catch (IOException e) {
            close();
        }
        Answer answer = new Answer(status, text.toString(StandardCharsets.UTF_8), whole, (headAt - from) / 1e9, (System.nanoTime() - from) / 1e9,
                contents(text.toString(StandardCharsets.UTF_8)));
        record.line("client got for %s: %s after %.4f s%s", id, status == 0 ? gaveUp ? "nothing, and it gives up" : "nothing, and the end of the connection" : status + (whole ? "" : ", cut off"),
                answer.seconds, answer.contents.isEmpty() ? "" : ", text " + answer.contents);
        return answer;
    }

    /** The different texts in a stream. */
    private static List<String> contents(String stream) {
        List<String> all = new ArrayList<>();
        java.util.regex.Matcher found = java.util.regex.Pattern.compile("\"content\":\"([^\"]*)\"").matcher(stream);
        while (found.find()) {
            if (!all.contains(found.group(1))) {
                all.add(found.group(1));
            }
        }
        return all;
    }

    @Override public void close() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // it has ended
        }
        socket = null;
    }
}
