package streamproxy.lab.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/**
 * A client that sends small requests on one connection as fast as it can, and opens another where that is closed. Prompts go one
 * at a time, as the protocol page has it, all else without waiting for an answer.
 */
final class SoakFlood implements AutoCloseable {
    /** What it sends. */
    enum Kind {
        NONE,
        /** Questions whether the router is ready. */
        READY,
        /** Requests of ever new ids without any time left. */
        NO_TIME,
        /** Requests of ever new classes. */
        NEW_CLASSES,
        /** The same id again and again. */
        ONE_ID,
        /** What is no request. */
        NOISE,
        /** Many at once with bodies as large as they may be, of as many values as they hold, and without their last byte. */
        LARGE;

        boolean isAnsweredFirst() { return this == NO_TIME || this == NEW_CLASSES || this == ONE_ID || this == LARGE; }
    }

    /** The id of those that may reach a replica. */
    static final String ID = "flood";
    private static final int AT_A_TIME = 50;
    private static final int LARGE_AT_ONCE = 60;
    private static final int LARGE_EVERY_MS = 500;
    private static final String LARGE_BODY = "{\"a\":[" + "{},".repeat(85_000) + "{}]";
    private static final int CONNECT_MS = 1_000;
    private static final int DISCARD_BYTES = 64 * 1024;

    private final InetSocketAddress router;
    private final Kind kind;
    private volatile boolean over;
    private volatile Socket open;
    private long sent;

    SoakFlood(InetSocketAddress router, Kind kind) {
        this.router = router;
        this.kind = kind;
    }

    /** Sends until it is closed, on threads of its own. */
    void start() {
        for (int i = 0; i < (kind == Kind.LARGE ? LARGE_AT_ONCE : 1) && kind != Kind.NONE; i++) {
            thread("flood", this::flood);
        }
    }

    private static void thread(String name, Runnable work) {
        Thread thread = new Thread(null, work, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    private void flood() {
        while (!over) {
            try (Socket socket = new Socket()) {
                open = socket;
                socket.connect(router, CONNECT_MS);
                if (kind.isAnsweredFirst()) {
                    ask(socket);
                } else {
                    thread("flood's answers", () -> discard(socket));
                    send(socket);
                }
            } catch (IOException e) {
                pause(); // closed for its mistakes: again on another
            }
        }
    }

    private void send(Socket socket) throws IOException {
        while (!over) {
            StringBuilder requests = new StringBuilder();
            for (int i = 0; i < AT_A_TIME; i++) {
                requests.append(request());
            }
            socket.getOutputStream().write(requests.toString().getBytes(StandardCharsets.US_ASCII));
        }
    }

    private void ask(Socket socket) throws IOException {
        byte[] some = new byte[DISCARD_BYTES];
        int read = 0;
        while (!over && read >= 0) {
            socket.getOutputStream().write(request().getBytes(StandardCharsets.US_ASCII));
            read = socket.getInputStream().read(some);
            if (kind == Kind.LARGE) {
                pause(LARGE_EVERY_MS);
            }
        }
    }

    private static void pause() { pause(1); }

    private static void pause(int ms) {
        try {
            TimeUnit.MILLISECONDS.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void discard(Socket socket) {
        byte[] some = new byte[DISCARD_BYTES];
        try {
            while (socket.getInputStream().read(some) >= 0) {
                continue;
            }
        } catch (IOException e) {
            // closed
        }
    }

    private synchronized String request() {
        sent++;
        return switch (kind) {
            case READY -> "GET /ready HTTP/1.1\r\nHost: lab\r\n\r\n";
            case NO_TIME -> prompt(ID + "-" + sent, "chat", "0.001");
            case NEW_CLASSES -> prompt(ID + "-" + sent, "class-" + sent, "1.000");
            case ONE_ID -> prompt(ID, "chat", "0.300");
            case LARGE -> prompt(ID + "-" + sent, "chat", "3.000", LARGE_BODY);
            default -> "noise " + sent + "\r\n\r\n";
        };
    }

    private static String prompt(String id, String clazz, String deadline) { return prompt(id, clazz, deadline, "{}"); }

    private static String prompt(String id, String clazz, String deadline, String body) {
        return String.format(Locale.ROOT, "POST /v1/chat/completions HTTP/1.1\r\nHost: lab\r\nReq-Id: %s\r\nReq-Kind: %s\r\nReq-Key: 1\r\n"
                + "Req-Deadline: %s\r\nReq-Extra: prompt_len=20,max_out=20\r\nContent-Length: %d\r\n\r\n%s", id, clazz, deadline, body.length(), body);
    }

    @Override public void close() throws IOException {
        over = true;
        Socket last = open;
        if (last != null) {
            last.close();
        }
    }
}
