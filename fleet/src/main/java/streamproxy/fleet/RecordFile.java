package streamproxy.fleet;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * Records one after another in a file, each with its length and the CRC-32C of both; what was synced is read again whatever
 * becomes of the power, and what does not fit is named by its offset.
 *
 * <p>No library: those that write such files bring segments, indexes or a store, and read on from damage in their own ways; these
 * are some hundred lines that are read once at a start.
 */
final class RecordFile implements AutoCloseable {
    /** "SPKR" and the version of this form. */
    private static final int MAGIC = 0x53504b52;
    private static final int VERSION = 1;
    static final int HEAD = 8;
    private static final int FRAME = 8;
    static final int RECORD_MOST = 1 << 20;

    /**
     * What a file holds.
     *
     * @param before   records up to the first that does not fit, or all
     * @param after    whole records found beyond that one; what was between is not known
     * @param wholeTo  where {@code before} ends
     * @param wrong    where it does not fit, and why; null where all does
     */
    record Found(List<byte[]> before, List<byte[]> after, int wholeTo, String wrong) {
        /** Whether it is only that the last writing was not wholly on the disk: nothing that fits comes after. */
        boolean torn() { return wrong != null && after.isEmpty() && wholeTo >= HEAD; }
    }

    private final FileChannel channel;
    private long size;

    private RecordFile(FileChannel channel, long size) {
        this.channel = channel;
        this.size = size;
    }

    /** Reads a file through; it changes nothing. */
    static Found read(Path file) throws IOException {
        byte[] bytes = Files.readAllBytes(file);
        ByteBuffer head = ByteBuffer.wrap(bytes);
        if (bytes.length < HEAD || head.getInt() != MAGIC || head.getInt() != VERSION) {
            return new Found(List.of(), bytes.length < HEAD ? List.of() : wholeAfter(bytes, HEAD), 0,
                    file + ": offset 0: not the head of a file of records of version " + VERSION);
        }
        List<byte[]> before = new ArrayList<>();
        int at = HEAD;
        for (int next = after(bytes, at); next > at; next = after(bytes, at)) {
            before.add(record(bytes, at, next));
            at = next;
        }
        return at == bytes.length ? new Found(before, List.of(), at, null)
                : new Found(before, wholeAfter(bytes, at + 1), at, file + ": offset " + at + ": a record does not fit its checksum");
    }

    private static List<byte[]> wholeAfter(byte[] bytes, int from) {
        List<byte[]> whole = new ArrayList<>();
        for (int at = from; at < bytes.length;) {
            int next = after(bytes, at);
            if (next > at) {
                whole.add(record(bytes, at, next));
            }
            at = Math.max(next, at + 1);
        }
        return whole;
    }

    private static byte[] record(byte[] bytes, int at, int next) { return Arrays.copyOfRange(bytes, at + FRAME, next); }

    /** The place after the record that begins there; that place itself where none fits. */
    private static int after(byte[] bytes, int at) {
        if (bytes.length - at < FRAME) {
            return at;
        }
        ByteBuffer frame = ByteBuffer.wrap(bytes, at, FRAME);
        int length = frame.getInt();
        int sum = frame.getInt();
        boolean fits = length > 0 && length <= RECORD_MOST && length <= bytes.length - at - FRAME && sum == sum(length, bytes, at + FRAME);
        return fits ? at + FRAME + length : at;
    }

    private static int sum(int length, byte[] bytes, int at) {
        CRC32C sum = new CRC32C();
        sum.update(ByteBuffer.allocate(Integer.BYTES).putInt(length).flip());
        sum.update(bytes, at, length);
        return (int) sum.getValue();
    }

    /** Makes the file anew with these records; it is there whole, or as it was, whenever the power goes. */
    static RecordFile create(Path file, List<byte[]> records) throws IOException {
        int size = HEAD + records.stream().mapToInt(r -> FRAME + r.length).sum();
        ByteBuffer all = ByteBuffer.allocate(size).putInt(MAGIC).putInt(VERSION);
        records.forEach(record -> frame(all, record));
        DurableFiles.write(file, all.array());
        return new RecordFile(FileChannel.open(file, StandardOpenOption.WRITE), size);
    }

    /** Opens a file to go on at that place; what is after it is cut off. */
    static RecordFile open(Path file, int wholeTo) throws IOException {
        FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE);
        if (channel.size() > wholeTo) {
            channel.truncate(wholeTo);
            channel.force(true);
        }
        return new RecordFile(channel, wholeTo);
    }

    private static void frame(ByteBuffer to, byte[] record) {
        to.putInt(record.length).putInt(sum(record.length, record, 0)).put(record);
    }

    /** Adds records; they are on the disk when this comes back. */
    void add(List<byte[]> records) throws IOException {
        ByteBuffer all = ByteBuffer.allocate(records.stream().mapToInt(r -> FRAME + r.length).sum());
        records.forEach(record -> frame(all, record));
        all.flip();
        long at = size;
        while (all.hasRemaining()) {
            at += channel.write(all, at);
        }
        channel.force(false);
        size = at;
    }

    long size() { return size; }

    @Override public void close() throws IOException { channel.close(); }
}
