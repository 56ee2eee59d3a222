package streamproxy.syslog;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import java.util.zip.CRC32C;

/**
 * Messages on disk until a collector has them: segments of records, of bounded size in all; the oldest segment is given
 * up first. A record is its length, a checksum, its sequence number and the message. What a kill has torn is found by
 * the checksum and left out with all behind it in that segment; after a start a new segment is begun.
 */
public final class Spool implements AutoCloseable {
    /** A place between two records. */
    record Place(long segment, long offset) { }

    /** One record and the place behind it. */
    record Entry(int sequence, byte[] message, Place after) { }

    private static final int HEAD = 12;
    private static final int SEGMENTS = 8;
    private static final int LEAST_SEGMENT = 64 * 1024;
    private static final int MOST_MESSAGE = 1 << 20;
    private static final String NAME = "spool-%016d.log";
    private static final String PATTERN = "spool-\\d{16}\\.log";

    private final Path folder;
    private final long mostBytes;
    private final long segmentBytes;
    private final TreeMap<Long, Long> sizes = new TreeMap<>(); // whole records of each segment, in bytes
    private final TreeMap<Long, Long> counts = new TreeMap<>(); // records of each segment
    private FileChannel writing;
    private long writingAt;
    private FileChannel reading;
    private long readingAt = -1;
    private Place place;
    private int sequence;
    private long givenUp;
    private long torn;

    /** Opens what is there, or begins an empty one. */
    public Spool(Path folder, long mostBytes) throws IOException {
        this.folder = folder;
        this.mostBytes = Math.max(2 * LEAST_SEGMENT, mostBytes);
        segmentBytes = Math.max(LEAST_SEGMENT, this.mostBytes / SEGMENTS);
        Files.createDirectories(folder);
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.sorted().toList()) {
                if (file.getFileName().toString().matches(PATTERN)) {
                    recover(file);
                }
            }
        }
        place = readPlace();
        begin(sizes.isEmpty() ? place.segment + 1 : sizes.lastKey() + 1);
        if (!sizes.containsKey(place.segment)) {
            place = new Place(sizes.firstKey(), 0);
        }
    }

    private void recover(Path file) throws IOException {
        long number = Long.parseLong(file.getFileName().toString().substring(6, 22));
        long whole = 0;
        long count = 0;
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            for (Entry entry = read(channel, number, 0); entry != null; entry = read(channel, number, whole)) {
                whole = entry.after.offset;
                sequence = entry.sequence;
                count++;
            }
            if (whole < channel.size()) {
                torn++;
                channel.truncate(whole);
            }
        }
        sizes.put(number, whole);
        counts.put(number, count);
    }

    private Path file(long number) { return folder.resolve(String.format(NAME, number)); }

    private void begin(long number) throws IOException {
        if (writing != null) {
            writing.force(false);
            writing.close();
        }
        writing = FileChannel.open(file(number), StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
        writingAt = number;
        sizes.put(number, 0L);
        counts.put(number, 0L);
    }

    /** The record at that place; null where there is none that is whole. */
    static Entry read(FileChannel from, long segment, long offset) throws IOException {
        ByteBuffer head = ByteBuffer.allocate(HEAD);
        if (!fill(head, from, offset)) {
            return null;
        }
        int length = head.getInt(0);
        if (length < 0 || length > MOST_MESSAGE) {
            return null;
        }
        ByteBuffer body = ByteBuffer.allocate(length);
        if (!fill(body, from, offset + HEAD) || checksum(head.getInt(8), body.array()) != head.getInt(4)) {
            return null;
        }
        return new Entry(head.getInt(8), body.array(), new Place(segment, offset + HEAD + length));
    }

    private static boolean fill(ByteBuffer buffer, FileChannel from, long offset) throws IOException {
        while (buffer.hasRemaining()) {
            int n = from.read(buffer, offset + buffer.position());
            if (n < 0) {
                return false;
            }
        }
        return true;
    }

    private static int checksum(int sequence, byte[] message) {
        CRC32C crc = new CRC32C();
        crc.update(ByteBuffer.allocate(8).putInt(message.length).putInt(sequence).flip());
        crc.update(message);
        return (int) crc.getValue();
    }

    /** The sequence number of the next message, RFC 5424 7.3.1. */
    synchronized int nextSequence() {
        sequence = sequence == Integer.MAX_VALUE ? 1 : sequence + 1;
        return sequence;
    }

    /** Adds a message; where that needs room, the oldest segment goes, read or not. */
    synchronized void add(int number, byte[] message) throws IOException {
        ByteBuffer record = ByteBuffer.allocate(HEAD + message.length).putInt(message.length).putInt(checksum(number, message))
                .putInt(number).put(message).flip();
        if (sizes.get(writingAt) > 0 && sizes.get(writingAt) + record.limit() > segmentBytes) {
            begin(writingAt + 1);
        }
        while (sizes.size() > 1 && bytes() + record.limit() > mostBytes) {
            giveUp(sizes.firstKey());
        }
        long at = sizes.get(writingAt);
        while (record.hasRemaining()) {
            writing.write(record, at + record.position());
        }
        sizes.merge(writingAt, (long) record.limit(), Long::sum);
        counts.merge(writingAt, 1L, Long::sum);
    }

    private long bytes() { return sizes.values().stream().mapToLong(n -> n).sum(); }

    private void giveUp(long segment) throws IOException {
        if (segment >= place.segment) {
            givenUp += countFrom(segment, segment == place.segment ? place.offset : 0);
            place = new Place(sizes.higherKey(segment), 0);
        }
        drop(segment);
    }

    private long countFrom(long segment, long offset) throws IOException {
        if (offset == 0) {
            return counts.get(segment);
        }
        long count = 0;
        try (FileChannel channel = FileChannel.open(file(segment), StandardOpenOption.READ)) {
            for (Entry entry = read(channel, segment, offset); entry != null; entry = read(channel, segment, entry.after.offset)) {
                count++;
            }
        }
        return count;
    }

    private void drop(long segment) throws IOException {
        sizes.remove(segment);
        counts.remove(segment);
        if (readingAt == segment) {
            reading.close();
            readingAt = -1;
        }
        Files.deleteIfExists(file(segment));
    }

    /** The first record at that place or behind it; null where there is none yet. */
    synchronized Entry from(Place wanted) throws IOException {
        Place at = sizes.containsKey(wanted.segment) ? wanted : new Place(sizes.firstKey(), 0); // its segment was given up
        while (true) {
            if (at.offset < sizes.get(at.segment)) {
                if (readingAt != at.segment) {
                    if (readingAt >= 0) {
                        reading.close();
                    }
                    reading = FileChannel.open(file(at.segment), StandardOpenOption.READ);
                    readingAt = at.segment;
                }
                return read(reading, at.segment, at.offset);
            }
            Long next = sizes.higherKey(at.segment);
            if (next == null) {
                return null;
            }
            at = new Place(next, 0);
        }
    }

    /** Where the first record stands that no collector is known to have. */
    synchronized Place place() { return place; }

    /** All before that place have arrived: it is remembered over a restart, and whole segments before it go. */
    synchronized void arrived(Place upTo) throws IOException {
        if (upTo.segment < place.segment || upTo.segment == place.segment && upTo.offset <= place.offset) {
            return;
        }
        place = upTo;
        Path next = folder.resolve("place.next");
        Files.writeString(next, upTo.segment + " " + upTo.offset + "\n");
        Files.move(next, folder.resolve("place"), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        for (Map.Entry<Long, Long> segment : List.copyOf(sizes.headMap(upTo.segment).entrySet())) {
            drop(segment.getKey());
        }
    }

    private Place readPlace() throws IOException {
        Path file = folder.resolve("place");
        if (Files.exists(file)) {
            String[] words = Files.readString(file).strip().split(" ");
            if (words.length == 2 && words[0].matches("\\d{1,18}") && words[1].matches("\\d{1,18}")) {
                return new Place(Long.parseLong(words[0]), Long.parseLong(words[1]));
            }
        }
        return new Place(sizes.isEmpty() ? 0 : sizes.firstKey(), 0);
    }

    /** Records that wait from that place on. */
    synchronized long waitingFrom(Place from) throws IOException {
        long waiting = 0;
        for (Map.Entry<Long, Long> segment : sizes.tailMap(from.segment).entrySet()) {
            waiting += segment.getKey() == from.segment ? countFrom(from.segment, from.offset) : counts.get(segment.getKey());
        }
        return waiting;
    }

    /** Records given up unsent for want of room since the last call. */
    synchronized long takeGivenUp() {
        long taken = givenUp;
        givenUp = 0;
        return taken;
    }

    /** Torn records that were found at the start. */
    public synchronized long torn() { return torn; }

    @Override public synchronized void close() throws IOException {
        writing.force(false);
        writing.close();
        if (readingAt >= 0) {
            reading.close();
            readingAt = -1;
        }
    }

    /** The messages of all whole records in a folder, in their order; for those who look at one. */
    public static List<byte[]> messages(Path folder) throws IOException {
        List<byte[]> messages = new ArrayList<>();
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.filter(f -> f.getFileName().toString().matches(PATTERN)).sorted().toList()) {
                try (RandomAccessFile open = new RandomAccessFile(file.toFile(), "r")) {
                    long at = 0;
                    for (Entry e = read(open.getChannel(), 0, at); e != null; e = read(open.getChannel(), 0, at)) {
                        messages.add(e.message);
                        at = e.after.offset;
                    }
                }
            }
        }
        return messages;
    }
}
