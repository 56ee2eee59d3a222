import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two toy model boxes and their box list, to try a router against; see README.md beside this file. A box answers
 * every prompt with the same few words, one event each, and a box list names both boxes for as long as it runs.
 */
public final class ToyModelBox {
    private static final int LIST_PORT = 9500;
    private static final List<Integer> BOX_PORTS = List.of(9501, 9502);
    private static final List<String> WORDS = List.of("District", " prices", " are", " in", " table", " 7", ".");
    private static final long WORD_MS = 80;
    private static final long HEARTBEAT_MS = 2000;

    private ToyModelBox() { }

    public static void main(String[] args) throws IOException {
        serve(LIST_PORT, "/v1/endpoints", ToyModelBox::list);
        for (int port : BOX_PORTS) {
            AtomicInteger inHand = new AtomicInteger();
            HttpServer box = serve(port, "/v1/chat/completions", call -> complete(call, port, inHand));
            box.createContext("/status/load", call -> text(call, "{\"lat_ms\":" + WORD_MS + ",\"rif\":" + inHand.get()
                    + ",\"q\":0,\"x1\":0}"));
        }
        System.out.println("toy boxes on 127.0.0.1 ports " + BOX_PORTS + ", box list on " + LIST_PORT);
    }

    private static HttpServer serve(int port, String path, com.sun.net.httpserver.HttpHandler handler)
            throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 0);
        server.createContext(path, handler);
        server.setExecutor(Executors.newCachedThreadPool());
        server.start();
        return server;
    }

    private static void text(HttpExchange call, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        call.sendResponseHeaders(200, bytes.length);
        call.getResponseBody().write(bytes);
        call.close();
    }

    private static void complete(HttpExchange call, int port, AtomicInteger inHand) throws IOException {
        inHand.incrementAndGet();
        try (call; OutputStream out = call.getResponseBody()) {
            System.out.println("box " + port + ": request " + call.getRequestHeaders().getFirst("Req-Id"));
            int prompt = call.getRequestBody().readAllBytes().length / 4;
            call.getResponseHeaders().set("Content-Type", "text/event-stream");
            call.sendResponseHeaders(200, 0);
            for (int i = 0; i < WORDS.size(); i++) {
                pause(WORD_MS);
                String reason = i == WORDS.size() - 1 ? "\"stop\"" : "null";
                event(out, "{\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + WORDS.get(i) + "\"},\"finish_reason\":" + reason + "}]}");
            }
            event(out, "{\"choices\":[],\"usage\":{\"prompt_tokens\":" + prompt + ",\"completion_tokens\":" + WORDS.size()
                    + ",\"prompt_tokens_details\":{\"cached_tokens\":0}}}");
            event(out, "[DONE]");
        } finally {
            inHand.decrementAndGet();
        }
    }

    private static void event(OutputStream out, String data) throws IOException {
        out.write(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    private static void list(HttpExchange call) throws IOException {
        StringBuilder boxes = new StringBuilder();
        for (int port : BOX_PORTS) {
            boxes.append(boxes.length() > 0 ? "," : "").append("{\"uid\":\"toy-").append(port)
                    .append("\",\"endpoint\":\"127.0.0.1:").append(port).append("\",\"az\":\"thu-duc\",\"model\":\"small-gpu\",")
                    .append("\"pod_group\":0,\"state\":\"ready\",\"capacity_hint\":1.0,\"boot_ms\":0}");
        }
        String all = "{\"rev\":1,\"all\":true,\"targets\":[" + boxes + "]}\n";
        if (!String.valueOf(call.getRequestURI().getQuery()).contains("follow=1")) {
            text(call, all);
            return;
        }
        call.sendResponseHeaders(200, 0);
        try (call; OutputStream out = call.getResponseBody()) {
            for (String line = all; true; line = "\n") {
                out.write(line.getBytes(StandardCharsets.UTF_8));
                out.flush();
                pause(HEARTBEAT_MS);
            }
        } catch (IOException e) {
            System.out.println("a watch has ended");
        }
    }

    private static void pause(long ms) throws IOException {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IOException("interrupted", e);
        }
    }
}
