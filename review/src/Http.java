import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Messages of HTTP/1.1 on plain sockets, as far as the stand-ins need them. */
final class Http {
    /** A message's first line and fields, whose names are in lower case. */
    record Head(String first, Map<String, String> fields) {
        String get(String name) { return fields.get(name); }

        int status() { return Integer.parseInt(first.split(" ")[1]); }

        boolean isChunked() { return "chunked".equalsIgnoreCase(fields.get("transfer-encoding")); }

        boolean closes() { return "close".equalsIgnoreCase(fields.get("connection")); }
    }

    /** What a server does with one connection. */
    interface Serves {
        void serve(Socket socket, InputStream in, OutputStream out) throws IOException, InterruptedException;
    }

    /** A listening socket on a free loopback port, with a thread for each connection. */
    static final class Server implements AutoCloseable {
        private final ServerSocket socket;
        private final Set<Socket> open = ConcurrentHashMap.newKeySet();

        Server(Serves serves) throws IOException {
            socket = new ServerSocket();
            socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 1024);
            daemon(() -> {
                while (!socket.isClosed()) {
                    try {
                        Socket one = socket.accept();
                        one.setTcpNoDelay(true);
                        open.add(one);
                        daemon(() -> {
                            try (one) {
                                serves.serve(one, new BufferedInputStream(one.getInputStream(), 16 * 1024), one.getOutputStream());
                            } catch (IOException | InterruptedException e) {
                                // the peer has gone
                            } finally {
                                open.remove(one);
                            }
                        });
                    } catch (IOException e) {
                        return;
                    }
                }
            });
        }

        String address() { return "127.0.0.1:" + socket.getLocalPort(); }

        /** No new connection is accepted from now on. */
        void refuse() throws IOException { socket.close(); }

        /** Ends all connections. */
        void endAll() throws IOException {
            for (Socket one : open) {
                one.close();
            }
        }

        @Override public void close() throws IOException {
            refuse();
            endAll();
        }
    }

    private Http() { }

    static Thread daemon(Runnable work) {
        Thread thread = new Thread(null, work, "stand-in", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new EOFException();
            }
            line.write(b);
        }
        return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
    }

    static Head head(InputStream in) throws IOException {
        String first = line(in);
        Map<String, String> fields = new LinkedHashMap<>();
        for (String text = line(in); !text.isEmpty(); text = line(in)) {
            int colon = text.indexOf(':');
            fields.put(text.substring(0, colon).toLowerCase(Locale.ROOT), text.substring(colon + 1).strip());
        }
        return new Head(first, fields);
    }

    static byte[] body(Head head, InputStream in) throws IOException {
        if (head.isChunked()) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            for (byte[] chunk = chunk(in); chunk != null; chunk = chunk(in)) {
                all.writeBytes(chunk);
            }
            return all.toByteArray();
        }
        int length = head.get("content-length") == null ? 0 : Integer.parseInt(head.get("content-length"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException();
        }
        return body;
    }

    /** The next chunk; null for the last one. */
    static byte[] chunk(InputStream in) throws IOException {
        int size = Integer.parseInt(line(in).split(";")[0].strip(), 16);
        if (size == 0) {
            while (!line(in).isEmpty()) { }
            return null;
        }
        byte[] chunk = in.readNBytes(size);
        if (chunk.length < size) {
            throw new EOFException();
        }
        line(in);
        return chunk;
    }

    static byte[] bytes(String text) { return text.getBytes(StandardCharsets.UTF_8); }

    static String asChunk(String text) { return Integer.toHexString(bytes(text).length) + "\r\n" + text + "\r\n"; }

    static String whole(String status, String fields, String body) {
        return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + bytes(body).length + "\r\n\r\n" + body;
    }
}
