package streamproxy.fleet;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.StringJoiner;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import org.tinylog.Logger;
import streamproxy.fleet.wire.KeptGap;
import streamproxy.fleet.wire.KeptLine;
import streamproxy.fleet.wire.KeptRecord;
import streamproxy.protocol.EndpointEntry;
import streamproxy.protocol.Json;
import streamproxy.recovery.KnownReplicas;

/**
 * The box list as it was told, on this router's own disk: what it knew when the power went. Lines are written in the order in
 * which the router took them, by a thread of its own, and synced together; a line is on the disk some milliseconds after it
 * was heeded, and what the power took before that was never claimed to be kept. Nobody waits for the disk.
 */
final class KeptList implements AutoCloseable {
    /** The list as the lines have it so far; {@code whole} where none of them is missing. */
    record Known(String service, long version, boolean whole, Map<String, EndpointEntry> boxes) {
        static final Known NOTHING = new Known("", -1, false, Map.of());

        Known with(KeptLine line) {
            EndpointEntry.News news = EndpointEntry.news(Json.parse(line.getText()));
            boolean follows = service.equals(line.getService());
            Map<String, EndpointEntry> next = new LinkedHashMap<>(follows && !news.full() ? boxes : Map.of());
            if (news.full()) {
                news.kept().stream().filter(boxes::containsKey).forEach(uid -> next.put(uid, boxes.get(uid)));
            }
            news.boxes().forEach(box -> next.put(box.uid(), box));
            if (news.full()) {
                next.values().removeIf(EndpointEntry::isGone);
            }
            return new Known(line.getService(), line.getListVersion(), news.full() || follows && whole, next);
        }

        Known broken() { return new Known(service, version, false, boxes); }

        KnownReplicas.Told told() {
            return new KnownReplicas.Told(service, version, whole, boxes.values().stream().collect(Collectors.toMap(EndpointEntry::uid,
                    box -> box.isGone() ? KnownReplicas.State.GONE : box.isReady() ? KnownReplicas.State.READY : KnownReplicas.State.DRAINING)));
        }

        /** The same as one line of the service's; boxes that are gone stay named, as drains are believed. */
        KeptLine line() {
            StringJoiner targets = new StringJoiner(",", "{\"rev\":" + version + ",\"all\":" + whole + ",\"targets\":[", "]}");
            for (EndpointEntry box : boxes.values()) {
                targets.add("{\"uid\":" + FleetNode.text(box.uid()) + (box.endpoint() == null ? "" : ",\"endpoint\":" + FleetNode.text(text(box.endpoint())))
                        + ",\"az\":" + FleetNode.text(box.centre()) + ",\"model\":" + FleetNode.text(box.kind()) + ",\"pod_group\":" + box.cell()
                        + ",\"state\":" + FleetNode.text(box.state()) + ",\"capacity_hint\":" + box.weight() + ",\"boot_ms\":" + box.bootMs() + "}");
            }
            return KeptLine.newBuilder().setService(service).setListVersion(version).setFull(whole).setText(targets.toString()).build();
        }
    }

    /** What a file holds, and what of it is wrong; {@code wrong} null where nothing is. */
    record Read(Known known, RecordFile.Found found) { }

    static final String FILE = "list.kept";
    private static final String ASIDE = "damaged-";
    private static final int SCHEMA = 1;
    private static final int WAITING_MOST = 256;
    private static final long COMPACT_FROM = 256 * 1024;

    private final Path file;
    private final BlockingQueue<KeptLine> waiting = new ArrayBlockingQueue<>(WAITING_MOST);
    private final AtomicLong dropped = new AtomicLong();
    private Known atStart;
    private RecordFile records; // null: nothing is kept any more. Touched by the writer alone, once it runs
    private volatile Known known;
    private volatile long syncedVersion;
    private volatile String wrong; // why nothing is kept any more; null: it is
    private volatile boolean closed;

    private KeptList(Path file, RecordFile records, Known known, String wrong) {
        this.file = file;
        this.records = records;
        this.known = known;
        this.wrong = wrong;
        atStart = known;
        syncedVersion = known.version;
    }

    /** Reads what is there; it changes nothing. A line that cannot be read counts as missing. */
    static Read read(Path file) throws IOException {
        if (!Files.exists(file)) {
            return new Read(Known.NOTHING, null);
        }
        RecordFile.Found found = RecordFile.read(file);
        Known known = taken(Known.NOTHING, found.before());
        if (found.wrong() != null && !found.torn()) { // what was between may have been anything
            known = taken(known.broken(), found.after()).broken();
        }
        return new Read(known, found);
    }

    private static Known taken(Known known, List<byte[]> records) {
        Known now = known;
        for (byte[] bytes : records) {
            try {
                KeptRecord record = KeptRecord.parseFrom(bytes);
                now = record.getVersion() == SCHEMA && record.hasLine() ? now.with(record.getLine()) : now.broken();
            } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
                now = now.broken();
            }
        }
        return now;
    }

    /**
     * Opens the file in that folder for this router, which has it alone. A torn end is cut off and told; a damaged file is put
     * aside and told, and what is left of it believed only as far as {@link KnownReplicas} says. A disk that cannot be written
     * costs no more than that nothing is kept.
     */
    static KeptList open(Path folder) {
        Path file = folder.resolve(FILE);
        Known known = Known.NOTHING;
        try {
            Read read = read(file);
            known = read.known;
            RecordFile.Found found = read.found;
            if (found == null || found.wrong() != null && !found.torn()) {
                if (found != null) {
                    Files.move(file, file.resolveSibling(ASIDE + FILE), StandardCopyOption.REPLACE_EXISTING);
                    Logger.warn("fleet: {}; put aside, and of the list kept there only drains are believed", found.wrong());
                }
                return new KeptList(file, RecordFile.create(file, records(known)), known, null);
            }
            if (found.torn()) {
                Logger.warn("fleet: {}; cut off, as it was never wholly written", found.wrong());
            }
            return new KeptList(file, RecordFile.open(file, found.wholeTo()), known, null);
        } catch (IOException e) {
            Logger.warn("fleet: {}: the box list is not kept: {}", file, e.toString());
            return new KeptList(file, null, known, e.toString());
        }
    }

    private static List<byte[]> records(Known known) {
        return known.version < 0 ? List.of() : known.whole ? List.of(record(known.line())) : List.of(record(known.line()), gap());
    }

    private static byte[] record(KeptLine line) { return KeptRecord.newBuilder().setVersion(SCHEMA).setLine(line).build().toByteArray(); }

    private static byte[] gap() { return KeptRecord.newBuilder().setVersion(SCHEMA).setGap(KeptGap.getDefaultInstance()).build().toByteArray(); }

    void start() {
        Thread thread = new Thread(null, this::run, "fleet kept list", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    // ---- What the router begins with ------------------------------------------------------------------

    /** What another member has is begun with where it is whole, of the same service, and newer than what is kept here. */
    synchronized void learn(Known others) {
        if (others.whole && others.version > atStart.version && (atStart.version < 0 || others.service.equals(atStart.service))) {
            atStart = others;
        }
    }

    /** What a router that was configured with that list of that service begins with; it is kept, as changes that come rest on it. */
    EndpointEntry.News begin(EndpointEntry.News configured, InetSocketAddress service) {
        EndpointEntry.News begun = believed(configured, service);
        Map<String, EndpointEntry> boxes = new LinkedHashMap<>();
        begun.boxes().forEach(box -> boxes.put(box.uid(), box));
        taken(service, begun.version(), begun.full(), new Known("", begun.version(), begun.full(), boxes).line().getText());
        return begun;
    }

    private synchronized EndpointEntry.News believed(EndpointEntry.News configured, InetSocketAddress service) {
        KnownReplicas.Told as = new KnownReplicas.Told(text(service), configured.version(), true, Map.of());
        KnownReplicas.Believed believed = KnownReplicas.of(as, atStart.version < 0 ? null : atStart.told());
        if (believed.list() == KnownReplicas.Source.KEPT) {
            Logger.info("fleet: begun with the box list kept here, version {}, {} boxes", atStart.version, atStart.boxes.size());
            return new EndpointEntry.News(atStart.version, true, atStart.boxes.values().stream().filter(box -> !box.isGone()).toList());
        }
        Set<String> nothing = new HashSet<>(believed.nothing());
        List<EndpointEntry> boxes = new ArrayList<>();
        for (EndpointEntry box : configured.boxes()) {
            boxes.add(!nothing.contains(box.uid()) ? box : new EndpointEntry(box.uid(), box.endpoint(), box.centre(), box.kind(), box.cell(), "draining",
                    box.weight(), box.bootMs()));
        }
        if (!nothing.isEmpty()) {
            Logger.info("fleet: begun with the configured box list; as kept here, nothing is sent to {}", String.join(", ", nothing));
        }
        return new EndpointEntry.News(configured.version(), configured.full(), boxes, configured.kept(), configured.faults());
    }

    // ---- What it keeps --------------------------------------------------------------------------------

    /** The router has taken that line; it waits for nothing. */
    void taken(InetSocketAddress service, long version, boolean full, String line) {
        KeptLine kept = KeptLine.newBuilder().setService(text(service)).setListVersion(version).setFull(full).setText(line).build();
        if (line.length() > RecordFile.RECORD_MOST / 4 || !waiting.offer(kept)) {
            dropped.incrementAndGet();
        }
    }

    private void run() {
        long droppedBefore = 0;
        while (!closed) {
            try {
                KeptLine first = waiting.poll(1, TimeUnit.SECONDS);
                List<KeptLine> lines = new ArrayList<>();
                if (first != null) {
                    lines.add(first);
                    waiting.drainTo(lines);
                }
                long nowDropped = dropped.get();
                if (!lines.isEmpty() || nowDropped > droppedBefore) {
                    write(lines, nowDropped > droppedBefore);
                    droppedBefore = nowDropped;
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            } catch (IOException | RuntimeException e) {
                wrong = e.toString();
                records = null;
                Logger.warn("fleet: {}: the box list is kept no more: {}", file, wrong);
            }
        }
    }

    /** Writes lines, and that some are missing after them where that is so. */
    private void write(List<KeptLine> lines, boolean missing) throws IOException {
        List<byte[]> bytes = new ArrayList<>();
        for (KeptLine line : lines) {
            known = known.with(line);
            bytes.add(record(line));
        }
        if (records == null) {
            return; // others may still ask for it
        }
        if (missing) {
            known = known.broken();
            bytes.add(gap());
        }
        if (records.size() > COMPACT_FROM || lines.stream().anyMatch(KeptLine::getFull)) {
            records.close();
            records = RecordFile.create(file, records(known));
        } else {
            records.add(bytes);
        }
        syncedVersion = known.version;
    }

    private static String text(InetSocketAddress address) { return address.getHostString() + ":" + address.getPort(); }

    /** The version that is on the disk; negative where none is. */
    long version() { return syncedVersion; }

    /** The list as this router has it now. */
    Known known() { return known; }

    /** Why nothing is kept any more; null where it is. */
    String wrong() { return wrong; }

    @Override public void close() { closed = true; }
}
