import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;

/** An engine after the protocol page: prompts are answered with a stream of events, probes with a load report. */
class Engine implements AutoCloseable {
    static final String STREAM_HEAD = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

    final String uid;
    final Record record;
    final Http.Server server;
    final AtomicInteger inHand = new AtomicInteger();
    final AtomicInteger started = new AtomicInteger();
    volatile boolean draining;
    volatile long firstTokenMs = 20;
    volatile long tokenMs = 5;
    volatile int tokens = 4;

    Engine(String uid, Record record) throws IOException {
        this.uid = uid;
        this.record = record;
        server = new Http.Server(this::serve);
    }

    String address() { return server.address(); }

    String entry(String state) {
        return "{\"uid\":\"" + uid + "\",\"endpoint\":\"" + address() + "\",\"az\":\"a\",\"model\":\"gpu\",\"pod_group\":0,\"state\":\"" + state
                + "\",\"capacity_hint\":1.0,\"boot_ms\":0}";
    }

    private void serve(Socket socket, InputStream in, OutputStream out) throws IOException, InterruptedException {
        while (true) {
            in.mark(1);
            if (in.read() < 0) {
                return;
            }
            in.reset();
            long firstByteAt = System.nanoTime();
            Http.Head head = Http.head(in);
            byte[] body = Http.body(head, in);
            if (head.first().startsWith("GET ")) {
                probe(out);
                continue;
            }
            inHand.incrementAndGet();
            try {
                prompt(head, body, firstByteAt, out);
            } finally {
                inHand.decrementAndGet();
            }
        }
    }

    void probe(OutputStream out) throws IOException {
        String report = "{\"lat_ms\":" + firstTokenMs + ",\"rif\":" + inHand.get() + ",\"q\":0,\"x1\":0}";
        out.write(Http.bytes(Http.whole(draining ? "503 Service Unavailable" : "200 OK", "Content-Type: application/json\r\n", report)));
    }

    /** What it does with a prompt: turned away while it drains, else its stream, whose text is the id of the request. */
    void prompt(Http.Head head, byte[] body, long firstByteAt, OutputStream out) throws IOException, InterruptedException {
        String id = head.get("req-id");
        record.line("engine %s got %s, first byte at %.4f%s", uid, id, record.seconds(firstByteAt), draining ? ", turned away: draining" : "");
        if (draining) {
            out.write(Http.bytes(Http.whole("503 Service Unavailable", "Srv-Declined: 1\r\n", "draining")));
            return;
        }
        started.incrementAndGet();
        answer(id, out);
        record.line("engine %s has answered %s", uid, id);
    }

    void answer(String id, OutputStream out) throws IOException, InterruptedException {
        Thread.sleep(firstTokenMs);
        out.write(Http.bytes(STREAM_HEAD + Http.asChunk(text(id, false))));
        for (int i = 1; i < tokens; i++) {
            Thread.sleep(tokenMs);
            out.write(Http.bytes(Http.asChunk(text(id, i == tokens - 1))));
        }
        out.write(Http.bytes(ending()));
    }

    static String text(String id, boolean last) {
        return "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + id + "\"},\"finish_reason\":" + (last ? "\"stop\"" : "null") + "}]}\n\n";
    }

    static String ending() {
        return Http.asChunk("data: {\"choices\":[],\"usage\":{\"prompt_tokens\":64,\"completion_tokens\":4,\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\n")
                + Http.asChunk("data: [DONE]\n\n") + "0\r\n\r\n";
    }

    @Override public void close() throws IOException { server.close(); }
}
