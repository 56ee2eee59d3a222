package streamproxy.syslog;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import org.tinylog.Logger;
import streamproxy.records.Event;
import streamproxy.records.EventFormatter;

/** The thread that sends one collector's records, or those of several that stand in for each other. */
final class Delivery {
    /**
     * Times, in nanoseconds.
     *
     * @param stalled how long a write may wait before its connection is given up
     * @param report  how often the queue's state is a record
     */
    record Times(long failBack, long backoffLeast, long backoffMost, long stalled, long report) { }

    private static final long REST = 5_000_000L;
    /** A collector's close is looked for once nothing was sent for so long. */
    private static final long QUIET = 50_000_000L;
    private static final int BATCH = 64;

    private final List<Collector> collectors;
    private final Message message;
    private final RecordQueue queue;
    private final Source source;
    private final Times times;
    private final FailOver failOver;
    private final Thread thread;
    private volatile Channel channel;
    private volatile boolean rereadKeys;
    private volatile long stopBy; // 0 while it goes on
    private volatile long connects;
    private volatile long reported; // records about the queue itself that were sent
    private Collector to;
    private long sentAt;
    private long reportAt;
    private long sentBefore;
    private long connectsBefore;
    private boolean saidDown;
    private int reports;

    Delivery(List<Collector> collectors, Message message, RecordQueue queue, Source source, Times times, long seed) {
        this.collectors = List.copyOf(collectors);
        this.message = message;
        this.queue = queue;
        this.source = source;
        this.times = times;
        failOver = new FailOver(collectors.size(), times.failBack, new Backoff(times.backoffLeast, times.backoffMost, seed));
        thread = new Thread(null, this::run, "syslog " + collectors.get(0).name(), 256 * 1024);
        thread.setDaemon(true);
    }

    void start() { thread.start(); }

    RecordQueue queue() { return queue; }

    long sent() { return source.sent(); }

    long connects() { return connects; }

    long reported() { return reported; }

    /** Certificates and keys were exchanged: the next records go over a connection made with the new ones. */
    void rereadKeys() { rereadKeys = true; }

    /** Sends what waits, until that time of {@link System#nanoTime} at most; {@link #join} waits for its end. */
    void stop(long by) {
        stopBy = by | 1;
        LockSupport.unpark(thread);
    }

    void join() throws InterruptedException {
        long left = Math.max(1, (stopBy - System.nanoTime()) / 1_000_000 + 1);
        thread.join(left);
        Channel open = channel;
        if (thread.isAlive() && open != null) {
            open.close(); // its write waits
        }
        thread.join(1_000);
    }

    /** Gives up a connection whose write has waited for too long; called now and then by another thread. */
    void look(long now) {
        Channel open = channel;
        long since = open == null ? 0 : open.writingSince;
        if (since != 0 && now - since > times.stalled) {
            open.close();
        }
    }

    private void run() {
        reportAt = System.nanoTime() + times.report;
        while (true) {
            try {
                long now = System.nanoTime();
                boolean stopping = stopBy != 0;
                if (stopping && (now - stopBy >= 0 || queue.isClosed() && source.waiting() == 0)) {
                    break;
                }
                if (stopping && source.waiting() == 0) {
                    queue.close();
                    continue; // once more, for what came in this moment
                }
                if (channel == null && !connect(now)) {
                    continue;
                }
                if (!sendSome(now)) {
                    report(now);
                    rest(REST);
                }
            } catch (IOException e) {
                lost(e);
            } catch (RuntimeException e) {
                Logger.error(e, "the sending of log records goes on after");
                lost(new IOException(e));
            }
        }
        end();
    }

    private void end() {
        queue.close();
        try {
            if (channel != null) {
                channel.flush();
                source.flushed(System.nanoTime());
            }
        } catch (IOException e) {
            source.again();
        }
        closeChannel();
        source.giveUp();
    }

    private static void rest(long ns) { LockSupport.parkNanos(ns); }

    private boolean connect(long now) throws IOException {
        long wait = failOver.waitNs(now);
        if (wait > 0) {
            rest(Math.min(wait, REST));
            return false;
        }
        to = collectors.get(failOver.collector());
        rereadKeys = false;
        channel = Channel.open(to);
        connects++;
        sentAt = now;
        failOver.connected(now);
        if (saidDown) {
            Logger.info("collector {} takes log records again", to.name());
            saidDown = false;
        }
        return true;
    }

    private void lost(IOException e) {
        closeChannel();
        source.again();
        failOver.failed(System.nanoTime());
        if (!saidDown) {
            Logger.warn("collector {} takes no log records: {}", to.name(), e.getMessage());
            saidDown = true;
        }
    }

    private void closeChannel() {
        Channel open = channel;
        channel = null;
        if (open != null) {
            open.close();
        }
    }

    /** Sends what there is, up to a batch; false where there was nothing. */
    private boolean sendSome(long now) throws IOException {
        if (rereadKeys || failOver.failsBack(now)) {
            flush();
            closeChannel();
            if (!rereadKeys) {
                failOver.failBack();
            }
            return true;
        }
        int n = 0;
        for (byte[] next = source.next(to.mostBytes()); next != null; next = source.next(to.mostBytes())) {
            if (n == 0 && now - sentAt > QUIET && channel.closedByPeer()) {
                throw new IOException("it has closed the connection");
            }
            channel.send(to.framing().frame(next));
            if (++n == BATCH) {
                break;
            }
        }
        if (n > 0) {
            flush();
            sentAt = System.nanoTime();
        } else {
            source.flushed(now);
        }
        return n > 0;
    }

    private void flush() throws IOException {
        channel.flush();
        source.flushed(System.nanoTime());
        failOver.worked();
    }

    /** What became of the records is a record, each while and whenever some were dropped and there is room again. */
    private void report(long now) throws IOException {
        List<Long> dropped = queue.takeDropped();
        boolean some = dropped.stream().anyMatch(count -> count > 0);
        if (!some && now - reportAt < 0) {
            return;
        }
        long sent = source.sent();
        Event.QueueState state = new Event.QueueState(System.currentTimeMillis(), to.name(), sent - sentBefore, dropped,
                queue.waiting(), connects - connectsBefore);
        try {
            reports = reports == Integer.MAX_VALUE ? 1 : reports + 1;
            channel.send(to.framing().frame(message.of(EventFormatter.of(state), reports, to.mostBytes())));
            channel.flush();
        } catch (IOException e) {
            queue.putBack(dropped);
            throw e;
        }
        reported++;
        sentBefore = sent;
        connectsBefore = connects;
        reportAt = now + times.report;
    }
}
