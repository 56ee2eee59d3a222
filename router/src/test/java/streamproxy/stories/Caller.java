package streamproxy.stories;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client that speaks to the router byte by byte. */
final class Caller implements AutoCloseable {
    private static final int PATIENCE_MS = 15_000;

    private final Socket socket;

    Caller(InetSocketAddress router) throws IOException {
        socket = new Socket(router.getAddress(), router.getPort());
        socket.setSoTimeout(PATIENCE_MS);
        socket.setTcpNoDelay(true);
    }

    static String prompt(String id, String body) {
        return "POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nReq-Id: " + id + "\r\nReq-Kind: chat\r\n"
                + "Req-Key: 7f3a9c21e0b4d655\r\nReq-Deadline: 3.000\r\nReq-Extra: prompt_len=100,max_out=50\r\n"
                + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    Caller send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
        return this;
    }

    /** Reads until the text that has come ends so. */
    String readTo(String end) throws IOException {
        StringBuilder all = new StringBuilder();
        InputStream in = socket.getInputStream();
        while (!all.toString().endsWith(end)) {
            int c = in.read();
            if (c < 0) {
                throw new IOException("closed after: " + all);
            }
            all.append((char) c);
        }
        return all.toString();
    }

    /** Reads until the router closes. */
    String readAll() throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    @Override public void close() throws IOException { socket.close(); }
}
