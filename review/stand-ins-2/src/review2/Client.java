package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** A usual client: one connection, kept, with one request at a time. */
public final class Client implements AutoCloseable {
    /** What became of a request. */
    public record Answer(String id, int status, String body, boolean whole, String why, double sentMs, double endMs, double retryAfter) {
        public boolean served() { return status == 200 && whole; }
    }

    private final Rig rig;
    private final int port;
    private final String name;
    public Socket socket;
    public boolean loud = true;
    private BufferedInputStream in;

    public Client(Rig rig, String name, int port) {
        this.rig = rig;
        this.name = name;
        this.port = port;
    }

    public void open() throws IOException {
        if (socket == null || socket.isClosed()) {
            socket = Rig.connect(port);
            in = new BufferedInputStream(socket.getInputStream());
        }
    }

    public static byte[] request(String id, String kind, String key, double deadlineS, int promptChars) {
        String body = "{\"model\":\"chat\",\"stream\":true,\"max_tokens\":200,\"messages\":[{\"role\":\"user\",\"content\":\"" + "x".repeat(promptChars) + "\"}]}";
        return Rig.ascii("POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nReq-Id: " + id + "\r\nReq-Kind: " + kind + "\r\nReq-Key: " + key
                + String.format(Locale.ROOT, "\r\nReq-Deadline: %.3f", deadlineS) + "\r\nReq-Extra: prompt_len=" + Math.max(1, promptChars / 4)
                + ",max_out=200\r\nContent-Type: application/json\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }

    /** Sends a request and reads its answer to the end. */
    public Answer ask(String kind, String key, double deadlineS, int promptChars) throws IOException {
        return ask(Rig.newId(), kind, key, deadlineS, promptChars);
    }

    public Answer ask(String id, String kind, String key, double deadlineS, int promptChars) throws IOException {
        open();
        double sent = rig.ms();
        if (loud) rig.note(name + " sends " + id + " (" + kind + ", " + String.format(Locale.ROOT, "%.3f", deadlineS) + " s)");
        socket.getOutputStream().write(request(id, kind, key, deadlineS, promptChars));
        return answer(id, sent, deadlineS);
    }

    /** Reads the next answer on the connection. */
    public Answer answer(String id, double sent, double deadlineS) {
        int status = 0;
        StringBuilder body = new StringBuilder();
        boolean whole = false;
        String why = "";
        double retryAfter = 0;
        try {
            socket.setSoTimeout((int) (deadlineS * 1_000) + 10_000);
            Rig.Head head = Rig.Head.read(in);
            status = head.status();
            retryAfter = head.field("Retry-After") == null ? 0 : Double.parseDouble(head.field("Retry-After"));
            if (head.chunked()) {
                for (byte[] chunk = Rig.chunk(in); chunk != null; chunk = Rig.chunk(in)) {
                    body.append(new String(chunk, StandardCharsets.ISO_8859_1));
                }
            } else {
                body.append(new String(in.readNBytes(Integer.parseInt(head.field("Content-Length"))), StandardCharsets.ISO_8859_1));
            }
            whole = true;
            if (head.closes()) {
                socket.close();
            }
        } catch (SocketTimeoutException e) {
            why = "no answer";
            closeQuietly();
        } catch (IOException e) {
            why = String.valueOf(e.getMessage());
            closeQuietly();
        }
        Answer answer = new Answer(id, status, body.toString(), whole, why, sent, rig.ms(), retryAfter);
        if (loud) rig.note(name + " has of " + id + ": " + (status == 0 ? "nothing" : status) + (whole ? ", whole" : ", broken off: " + why) + ", "
                + body.length() + " bytes after " + Math.round(answer.endMs - sent) + " ms" + (status == 200 || !whole ? "" : ": " + body));
        return answer;
    }

    private void closeQuietly() {
        try {
            socket.close();
        } catch (IOException e) {
            // it is closed
        }
    }

    @Override public void close() {
        if (socket != null) {
            closeQuietly();
        }
    }
}
