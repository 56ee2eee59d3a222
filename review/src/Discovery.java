import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Discovery after the protocol page: the full list, and watches with an empty line every 2 s while nothing changes. */
class Discovery implements AutoCloseable {
    final String name;
    final Record record;
    final Http.Server server;
    private final List<String> changes = new ArrayList<>(); // entry i came with version first + i + 1
    private final List<Engine> engines;
    private final List<String> states = new ArrayList<>();
    private final int first;
    /** While this is set each call waits for so long and ends in 503. */
    volatile long busyMs;
    volatile long emptyLineAt; // of the last watch that was written to
    private final AtomicInteger asked = new AtomicInteger();

    Discovery(String name, Record record, int first, List<Engine> engines) throws IOException {
        this.name = name;
        this.record = record;
        this.first = first;
        this.engines = engines;
        engines.forEach(engine -> states.add("ready"));
        server = new Http.Server(this::serve);
    }

    String address() { return server.address(); }

    /** How many calls it has got. */
    int asked() { return asked.get(); }

    synchronized void change(int engine, String state) {
        states.set(engine, state);
        changes.add(engines.get(engine).entry(state));
        record.line("discovery %s: %s is %s from version %d on", name, engines.get(engine).uid, state, first + changes.size());
        notifyAll();
    }

    synchronized String whole() {
        StringBuilder targets = new StringBuilder();
        for (int i = 0; i < engines.size(); i++) {
            if (!states.get(i).equals("gone")) {
                targets.append(targets.length() > 0 ? "," : "").append(engines.get(i).entry(states.get(i)));
            }
        }
        return "{\"rev\":" + (first + changes.size()) + ",\"all\":true,\"targets\":[" + targets + "]}";
    }

    private void serve(Socket socket, InputStream in, OutputStream out) throws IOException, InterruptedException {
        while (true) {
            Http.Head head = Http.head(in);
            String target = head.first().split(" ")[1];
            asked.incrementAndGet();
            record.line("discovery %s is asked: %s", name, target);
            if (busyMs > 0) {
                Thread.sleep(busyMs);
                record.line("discovery %s answers 503 to %s", name, target);
                out.write(Http.bytes(Http.whole("503 Service Unavailable", "", "busy")));
                continue;
            }
            if (!target.contains("follow=1")) {
                record.line("discovery %s tells the whole list", name);
                out.write(Http.bytes(Http.whole("200 OK", "Content-Type: application/json\r\n", whole())));
                continue;
            }
            watch(Integer.parseInt(target.replaceAll(".*since=(\\d+).*", "$1")), out);
        }
    }

    private void watch(int since, OutputStream out) throws IOException, InterruptedException {
        out.write(Http.bytes("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"));
        int told = since;
        if (since < first) {
            synchronized (this) {
                told = first + changes.size();
                out.write(Http.bytes(Http.asChunk(whole() + "\n")));
            }
        }
        while (true) {
            String line = "\n";
            synchronized (this) {
                if (first + changes.size() == told) {
                    long by = System.nanoTime() + 2_000_000_000L;
                    while (first + changes.size() == told && System.nanoTime() < by) {
                        wait(Math.max(1, (by - System.nanoTime()) / 1_000_000));
                    }
                }
                if (first + changes.size() > told) {
                    line = "{\"rev\":" + (first + changes.size()) + ",\"all\":false,\"targets\":["
                            + String.join(",", changes.subList(told - first, changes.size())) + "]}\n";
                    told = first + changes.size();
                }
            }
            out.write(Http.bytes(Http.asChunk(line)));
            record.line("discovery %s writes to a watch: %s", name, line.isBlank() ? "an empty line" : line.strip());
            emptyLineAt = System.nanoTime();
        }
    }

    @Override public void close() throws IOException { server.close(); }
}
