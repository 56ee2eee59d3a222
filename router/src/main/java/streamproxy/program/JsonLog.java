package streamproxy.program;

import java.util.function.Consumer;
import org.tinylog.Logger;
import org.tinylog.TaggedLogger;
import streamproxy.records.Event;
import streamproxy.records.JsonLine;
import streamproxy.records.EventFormatter;
import streamproxy.syslog.RecordQueue;

/** Records as JSON lines on standard error, through tinylog, by a thread of its own. */
final class JsonLog implements Consumer<Event> {
    private static final int QUEUE = 4_096;
    private static final long REST_MS = 5;
    private static final long CLOSE_MS = 1_000;

    private final TaggedLogger log = Logger.tag("records");
    private final RecordQueue queue = new RecordQueue(QUEUE);
    private final Thread thread = new Thread(null, this::run, "records as lines", 256 * 1024);
    private volatile boolean over;
    private long saidDropped;

    void start() {
        thread.setDaemon(true);
        thread.start();
    }

    @Override public void accept(Event event) { queue.offer(event); }

    private void run() {
        try {
            while (true) {
                boolean last = over; // what is offered before it is over is written
                Event event = queue.poll();
                if (event != null) {
                    log.info(JsonLine.of(EventFormatter.of(event)));
                } else if (queue.dropped() > saidDropped) {
                    log.info("{\"kind\":\"queue\",\"collector\":\"standard error\",\"dropped\":" + (queue.dropped() - saidDropped) + "}");
                    saidDropped = queue.dropped();
                } else if (last) {
                    return;
                } else {
                    Thread.sleep(REST_MS);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    void close() throws InterruptedException {
        over = true;
        thread.join(CLOSE_MS);
    }
}
