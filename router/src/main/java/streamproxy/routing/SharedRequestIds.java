package streamproxy.routing;

import java.io.IOException;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.LongBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.ThreadLocalRandom;

/**
 * The ids of the requests that the processes of one router took lately, in a file that each of them maps: while the router is
 * replaced, two processes take requests at one address, and a request that one has taken may not run again at the other.
 *
 * <p>The file is a header and {@value #BUCKETS} buckets of {@value #WAYS} entries. An entry is one long: {@value #TAG_BITS} bits
 * of the id's keyed hash, and above them a number that tells which of a bucket's entries is older. An id goes to the one bucket
 * that its hash names, in the place of the bucket's oldest entry, by one compare-and-set. So a process that is killed leaves no
 * entry half written and holds no lock, and one that stands still keeps nobody waiting.
 *
 * <p>Why two processes that add one id at the same time cannot both succeed: an entry is only ever replaced by a newer one.
 * Where both choose the same entry to replace, one compare-and-set fails, and its process looks again and finds the id. Both can
 * choose different entries only if an entry that one of them found newer than its own choice was older for the other; then it
 * was replaced in between, and the other's compare-and-set fails.
 */
final class SharedRequestIds implements RequestIds, AutoCloseable {
    static final int BUCKETS = 4_096;
    static final int WAYS = 64;
    private static final int TAG_BITS = 40;
    private static final long TAG_MASK = (1L << TAG_BITS) - 1;
    private static final int BUCKET_SHIFT = Long.SIZE - Integer.numberOfTrailingZeros(BUCKETS);
    private static final long EMPTY = 0;
    /** What the file begins with; another layout has another one, and another name. */
    private static final long LAYOUT = 0x7374_7265_616d_0001L;
    private static final int HEADER_LONGS = 16;
    private static final int KEY_AT = 1;
    private static final int BYTES = (HEADER_LONGS + BUCKETS * WAYS) * Long.BYTES;
    private static final VarHandle LONGS = MethodHandles.byteBufferViewVarHandle(long[].class, ByteOrder.nativeOrder());

    private final FileChannel channel; // holds the lock by which the processes know of each other
    private final boolean beside;
    private final ByteBuffer bytes;
    private final LongBuffer longs;
    private final long key;

    private SharedRequestIds(FileChannel channel) throws IOException {
        this.channel = channel;
        if (channel.size() != BYTES) {
            throw new IOException("a file of another size: " + channel.size() + " bytes");
        }
        bytes = channel.map(FileChannel.MapMode.READ_WRITE, 0, BYTES).order(ByteOrder.nativeOrder());
        longs = bytes.asLongBuffer();
        if (longs.get(0) != LAYOUT) {
            throw new IOException("a file of another layout");
        }
        key = longs.get(KEY_AT);
        beside = lockBesideOthers();
    }

    /**
     * Opens the file of that name, or makes it.
     *
     * @throws IOException where the folder is full or fails, or what lies there is not such a file
     */
    static SharedRequestIds open(Path folder, String name) throws IOException {
        Path file = folder.resolve(name);
        if (!Files.exists(file)) {
            create(folder, file);
        }
        FileChannel channel = FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE);
        try {
            return new SharedRequestIds(channel);
        } catch (IOException | RuntimeException | Error e) {
            channel.close();
            throw e;
        }
    }

    /** Each byte is written, since a mapped page for which the folder has no room would be a fault at its first use. */
    private static void create(Path folder, Path file) throws IOException {
        ByteBuffer content = ByteBuffer.allocate(BYTES).order(ByteOrder.nativeOrder());
        content.putLong(0, LAYOUT);
        content.putLong(KEY_AT * Long.BYTES, ThreadLocalRandom.current().nextLong());
        Path made = Files.createTempFile(folder, file.getFileName().toString(), ".new");
        try {
            Files.write(made, content.array());
            Files.createLink(file, made); // whole, or not at all
        } catch (FileAlreadyExistsException e) {
            return; // another process was quicker
        } catch (UnsupportedOperationException e) {
            throw new IOException("the folder has no links", e);
        } finally {
            Files.deleteIfExists(made);
        }
    }

    /** Whether another process has the file open now. */
    private boolean lockBesideOthers() throws IOException {
        boolean others;
        try (FileLock alone = channel.tryLock(0, 1, false)) {
            others = alone == null;
        } catch (OverlappingFileLockException e) {
            return true; // within this JVM
        }
        channel.tryLock(0, 1, true);
        return others;
    }

    /** Whether another process of this router was running as this one opened the file. */
    boolean startedBesideAnother() { return beside; }

    @Override public boolean add(String id) {
        long hash = KeyedHash.of(key, id);
        int first = HEADER_LONGS + (int) (hash >>> BUCKET_SHIFT) * WAYS;
        long tag = (hash & TAG_MASK) == 0 ? 1 : hash & TAG_MASK;
        while (true) {
            VarHandle.fullFence(); // what is read below is as new as the last attempt that failed
            int oldestAt = first;
            long oldest = longs.get(first);
            long newest = EMPTY;
            for (int i = first; i < first + WAYS; i++) {
                long entry = longs.get(i);
                if ((entry & TAG_MASK) == tag) {
                    return false;
                }
                if (isOlder(entry, oldest)) {
                    oldest = entry;
                    oldestAt = i;
                }
                newest = isOlder(newest, entry) ? entry : newest;
            }
            if (LONGS.compareAndSet(bytes, oldestAt * Long.BYTES, oldest, after(newest) | tag)) {
                return true;
            }
        }
    }

    /** The numbers of a bucket's entries lie close together, so that they may begin again from zero. */
    private static boolean isOlder(long entry, long other) {
        if (entry == EMPTY || other == EMPTY) {
            return entry == EMPTY && other != EMPTY;
        }
        return ((entry & ~TAG_MASK) - (other & ~TAG_MASK)) < 0;
    }

    private static long after(long entry) { return (entry & ~TAG_MASK) + (1L << TAG_BITS); }

    @Override public void close() throws IOException { channel.close(); }
}
