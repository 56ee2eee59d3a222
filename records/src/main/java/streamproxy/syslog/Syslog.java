package streamproxy.syslog;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import streamproxy.records.Event;

/**
 * Sends records to collectors. {@link #accept} may be called by any thread and never waits: what the collectors do not
 * take in time is dropped and counted.
 */
public final class Syslog implements Consumer<Event>, AutoCloseable {
    /**
     * What the operator sets.
     *
     * @param all        whether each collector gets each record; else the first that works gets all
     * @param queueMost  records that may wait for a collector
     * @param drainNs    how long {@link #close} may take to send what waits
     * @param spool      a folder for records that wait on disk; null for none
     * @param spoolBytes the most that may wait there
     */
    public record Wishes(Message.Origin origin, List<Collector> collectors, boolean all, int queueMost, long failBackNs,
            long drainNs, long reportNs, long stalledNs, Path spool, long spoolBytes, long seed) {
        public Wishes {
            collectors = List.copyOf(collectors);
            if (collectors.isEmpty()) {
                throw new IllegalArgumentException("no collector");
            }
        }
    }

    /** What became of all records so far; made = sent + dropped + waiting once nothing is on its way. */
    public record Counts(long made, long sent, long dropped, long waiting, long connects, long reported) { }

    private static final long BACKOFF_LEAST = 100_000_000L;
    private static final long BACKOFF_MOST = 30_000_000_000L;
    private static final long LOOK_MS = 100;

    private final List<Delivery> deliveries = new ArrayList<>();
    private final List<Source> sources = new ArrayList<>();
    private final long drainNs;
    private final Thread watch;
    private volatile boolean over;

    public Syslog(Wishes wishes) throws IOException {
        Message message = new Message(wishes.origin);
        drainNs = wishes.drainNs;
        Delivery.Times times = new Delivery.Times(wishes.failBackNs, BACKOFF_LEAST, BACKOFF_MOST, wishes.stalledNs, wishes.reportNs);
        List<List<Collector>> groups = wishes.all ? wishes.collectors.stream().map(List::of).toList() : List.of(wishes.collectors);
        for (List<Collector> group : groups) {
            RecordQueue queue = new RecordQueue(wishes.queueMost);
            Source source = wishes.spool == null ? new Source.OfQueue(queue, message)
                    : new SpoolSource(new Spool(wishes.all ? wishes.spool.resolve(group.get(0).name()) : wishes.spool,
                            wishes.spoolBytes / groups.size()), queue, message,
                            group.stream().mapToInt(Collector::mostBytes).min().orElseThrow());
            sources.add(source);
            deliveries.add(new Delivery(group, message, queue, source, times, wishes.seed + deliveries.size()));
        }
        watch = new Thread(null, this::watch, "syslog watch", 128 * 1024);
        watch.setDaemon(true);
    }

    public void start() {
        deliveries.forEach(Delivery::start);
        watch.start();
    }

    private void watch() {
        try {
            while (!over) {
                Thread.sleep(LOOK_MS);
                long now = System.nanoTime();
                deliveries.forEach(delivery -> delivery.look(now));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override public void accept(Event event) {
        for (Delivery delivery : deliveries) {
            delivery.queue().offer(event);
        }
    }

    /** Certificates and keys are read anew; no record is lost by it. */
    public void rereadKeys() { deliveries.forEach(Delivery::rereadKeys); }

    /** All counts of all collectors together. */
    public Counts counts() {
        long made = 0;
        long waiting = 0;
        long lost = 0;
        for (int i = 0; i < deliveries.size(); i++) {
            made += deliveries.get(i).queue().made();
            lost += deliveries.get(i).queue().dropped();
            waiting += sources.get(i).waiting();
        }
        return new Counts(made, deliveries.stream().mapToLong(Delivery::sent).sum(), lost, waiting,
                deliveries.stream().mapToLong(Delivery::connects).sum(), deliveries.stream().mapToLong(Delivery::reported).sum());
    }

    /** Sends what waits, within the time that the operator grants; the rest is counted as dropped, or stays in the spool. */
    @Override public void close() {
        long by = System.nanoTime() + drainNs;
        deliveries.forEach(delivery -> delivery.stop(by));
        try {
            for (Delivery delivery : deliveries) {
                delivery.join();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        over = true;
        watch.interrupt();
    }
}
