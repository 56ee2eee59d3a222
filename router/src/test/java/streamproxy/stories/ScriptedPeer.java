package streamproxy.stories;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** A model box, or any HTTP peer, that does with each request what the story says. */
final class ScriptedPeer implements AutoCloseable {
    /** The events that end a complete answer: a reason to finish, its usage and the word that no event follows. */
    static final String FINISH = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"table\"},\"finish_reason\":\"stop\"}]}\n\n";
    static final String USAGE = "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":9}}\n\n";
    static final String DONE = "data: [DONE]\n\n";
    static final String ENDING = FINISH + USAGE + DONE;

    /** What the story does with a request whose head and body have come in. */
    interface Script {
        void play(Exchange exchange) throws IOException, InterruptedException;
    }

    /** One request and the way to answer it. */
    record Exchange(String head, String body, Socket socket) {
        void write(String text) throws IOException {
            OutputStream out = socket.getOutputStream();
            out.write(text.getBytes(StandardCharsets.UTF_8));
            out.flush();
        }

        void streamHead() throws IOException {
            write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        }

        void chunk(String text) throws IOException { write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"); }

        void stream(String... events) throws IOException {
            streamHead();
            for (String event : events) {
                chunk(event);
            }
            write("0\r\n\r\n");
        }

        /** Ends a stream as complete ones end. */
        void complete() throws IOException {
            chunk(ENDING);
            write("0\r\n\r\n");
        }

        void answer(String status, String fields, String body) throws IOException {
            write("HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + body.length() + "\r\n\r\n" + body);
        }

        /** Writes that chunk again and again, a pause apart, until the router ends this connection. */
        void drip(String text, int everyMs) throws IOException {
            socket.setSoTimeout(everyMs);
            while (true) {
                try {
                    awaitClose();
                    return;
                } catch (java.net.SocketTimeoutException paced) {
                    chunk(text);
                }
            }
        }

        /** Waits until the router ends this connection. */
        void awaitClose() throws IOException {
            try {
                while (socket.getInputStream().read() >= 0) {
                    continue;
                }
            } catch (java.net.SocketException e) {
                // a reset is an end, too
            }
        }
    }

    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    private final BlockingQueue<Socket> open = new LinkedBlockingQueue<>();
    final AtomicInteger connections = new AtomicInteger();
    final AtomicInteger probes = new AtomicInteger();
    /** The requests that came, probes left out. */
    final BlockingQueue<Exchange> attempts = new LinkedBlockingQueue<>();
    private volatile Script script;
    private volatile boolean drains;
    private volatile String report = "{\"lat_ms\":5,\"rif\":0,\"q\":0,\"x1\":0}";

    ScriptedPeer(Script script) throws IOException {
        this.script = script;
        Thread accepts = new Thread(this::accept, "scripted box");
        accepts.setDaemon(true);
        accepts.start();
    }

    void play(Script next) { script = next; }

    /** From now on it answers probes as a replica does that drains; it goes on taking attempts. */
    void drain() { drains = true; }

    /** From now on it answers probes with that report. */
    void report(String next) { report = next; }

    String address() { return "127.0.0.1:" + server.getLocalPort(); }

    /** Closes what is open, as a process that dies or tidies up does. */
    void closeConnections() throws IOException {
        for (Socket s = open.poll(); s != null; s = open.poll()) {
            s.close();
        }
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                connections.incrementAndGet();
                open.add(socket);
                Thread serves = new Thread(() -> serve(socket), "scripted box connection");
                serves.setDaemon(true);
                serves.start();
            }
        } catch (IOException e) {
            // the story is over
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (String head = head(in); head != null; head = head(in)) {
                int at = head.indexOf("Content-Length: ");
                int length = at < 0 ? 0 : Integer.parseInt(head.substring(at + 16, head.indexOf('\r', at)));
                byte[] body = in.readNBytes(length);
                if (body.length < length) {
                    return; // it was called off before its last byte, and is no attempt
                }
                Exchange exchange = new Exchange(head, new String(body, StandardCharsets.UTF_8), socket);
                if (head.startsWith("GET /status/load ")) {
                    probes.incrementAndGet();
                    exchange.answer(drains ? "503 Service Unavailable" : "200 OK", "", drains ? "" : report);
                } else {
                    attempts.add(exchange);
                    script.play(exchange);
                }
            }
        } catch (IOException | InterruptedException e) {
            // the router has closed, or the story is over
        }
    }

    private static String head(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int c = in.read();
            if (c < 0) {
                return null;
            }
            head.append((char) c);
        }
        return head.toString();
    }

    @Override public void close() throws IOException {
        server.close();
        closeConnections();
    }
}
