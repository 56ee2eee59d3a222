package streamproxy.fleet;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import java.util.zip.CRC32C;

/**
 * Looks through a member's log and snapshots before the consensus opens them, so that damage is named by file and offset and
 * a write that a power loss tore is told from bytes that changed later.
 *
 * <p>The library writes a segment as eight bytes of head and, for each entry, its length, its bytes and the CRC-32C of both; the
 * segment in use is filled up with zeros. What was never synced may be gone sector by sector, and then reads as the zeros
 * that were there: so a record at the end that does not fit counts as torn if a sector of it is all zeros, or if the file
 * ends in it, and as damaged else. A torn one was never acknowledged, and is cut off; a damaged one may have been.
 */
final class DiskCheck {
    /** What was acknowledged may be gone: this member must not vote by what is left. */
    static final class Damaged extends IOException {
        private static final long serialVersionUID = 1;

        Damaged(String what) { super(what); }
    }

    private static final int HEAD = 8;
    private static final int SECTOR = 512;
    private static final int SUM = 4;
    private static final int LENGTH_MOST = 5;
    private static final int RECORD_MOST = 4 << 20;
    /** Longer records than that are not searched for beyond one that does not fit. */
    private static final int SEARCHED_MOST = 4096;
    private static final Pattern SEGMENT = Pattern.compile("log_(?:inprogress_(\\d+)|(\\d+)-(\\d+))");
    private static final Pattern SNAPSHOT = Pattern.compile("snapshot\\.(\\d+)_(\\d+)");
    private static final String ASIDE = "damaged-";

    private record Snapshot(Path file, long term, long index) { }

    private DiskCheck() { }

    /**
     * Looks, and puts right what can be.
     *
     * @param storage the library's folder for the group
     * @return what was put right, a line each
     * @throws Damaged where something cannot be
     */
    static List<String> of(Path storage) throws IOException { return look(storage, true); }

    /** The same without changing anything: the lines say what would be put right. */
    static List<String> look(Path storage, boolean mends) throws IOException {
        List<String> done = new ArrayList<>();
        long from = Long.MAX_VALUE;
        for (Path file : files(storage.resolve("current"))) {
            Matcher named = SEGMENT.matcher(file.getFileName().toString());
            if (named.matches()) {
                boolean inUse = named.group(1) != null;
                from = Math.min(from, Long.parseLong(inUse ? named.group(1) : named.group(2)));
                segment(file, inUse, done, mends);
            }
        }
        snapshots(storage.resolve("sm"), from, done, mends);
        return done;
    }

    private static List<Path> files(Path folder) throws IOException {
        if (!Files.isDirectory(folder)) {
            return List.of();
        }
        try (Stream<Path> all = Files.list(folder)) {
            return all.sorted().toList();
        }
    }

    private static void segment(Path file, boolean inUse, List<String> done, boolean mends) throws IOException {
        byte[] bytes = Files.readAllBytes(file);
        int at = Math.min(HEAD, bytes.length);
        for (int next = after(bytes, at); next > at; next = after(bytes, at)) {
            at = next;
        }
        if (at == bytes.length || inUse && zeros(bytes, at, bytes.length)) {
            return;
        }
        if (!inUse || !torn(bytes, at)) {
            throw new Damaged(file + ": offset " + at + ": an entry of the log does not fit its checksum");
        }
        if (mends) {
            try (FileChannel out = FileChannel.open(file, StandardOpenOption.WRITE)) {
                out.truncate(at);
                out.force(true);
            }
        }
        done.add(file + ": offset " + at + ": cut off an entry that was never wholly written");
    }

    /** The place after the record that begins there; that place itself where there is none that fits. */
    private static int after(byte[] bytes, int at) {
        int p = bytesAt(bytes, at);
        int end = end(bytes, at);
        if (end <= p + SUM || end > bytes.length) {
            return at;
        }
        CRC32C sum = new CRC32C();
        sum.update(bytes, at, end - SUM - at);
        return ByteBuffer.wrap(bytes, end - SUM, SUM).getInt() == (int) sum.getValue() ? end : at;
    }

    /** Where the bytes of the record that begins there begin: after its length. */
    private static int bytesAt(byte[] bytes, int at) {
        int p = at;
        while (p < bytes.length && p - at < LENGTH_MOST && bytes[p] < 0) {
            p++;
        }
        return p + 1;
    }

    /** Where that record ends by what it says of its length; -1 where that is none. */
    private static int end(byte[] bytes, int at) {
        int p = bytesAt(bytes, at);
        long length = 0;
        for (int i = Math.min(p, bytes.length) - 1; i >= at; i--) {
            length = length << 7 | bytes[i] & 0x7f;
        }
        return length <= 0 || length > RECORD_MOST ? -1 : (int) (p + length + SUM);
    }

    /**
     * Whether the record there lacks a sector or goes on beyond the file, with none that fits after it: what came later would
     * say that this one had been synced.
     */
    private static boolean torn(byte[] bytes, int at) {
        int said = end(bytes, at);
        boolean lacks = said > bytes.length;
        for (int p = at; p < Math.min(bytes.length, Math.max(said, at + 1)); p = p / SECTOR * SECTOR + SECTOR) {
            lacks |= zeros(bytes, p, Math.min(bytes.length, p / SECTOR * SECTOR + SECTOR));
        }
        for (int p = at + 1; lacks && p < bytes.length; p++) {
            int end = end(bytes, p);
            lacks = end < 0 || end - p > SEARCHED_MOST || after(bytes, p) == p;
        }
        return lacks;
    }

    private static boolean zeros(byte[] bytes, int from, int to) {
        for (int i = from; i < to; i++) {
            if (bytes[i] != 0) {
                return false;
            }
        }
        return true;
    }

    /** A damaged snapshot is put aside where the log, or an older one and the log, go back far enough. */
    private static void snapshots(Path folder, long logFrom, List<String> done, boolean mends) throws IOException {
        List<Snapshot> newestFirst = new ArrayList<>();
        for (Path file : files(folder)) {
            Matcher named = SNAPSHOT.matcher(file.getFileName().toString());
            if (named.matches()) {
                newestFirst.add(new Snapshot(file, Long.parseLong(named.group(1)), Long.parseLong(named.group(2))));
            }
        }
        newestFirst.sort(Comparator.comparingLong(Snapshot::index).reversed());
        List<String> wrong = new ArrayList<>();
        long reaches = -1; // what a whole one reaches; the log has to go on from there
        for (Snapshot one : newestFirst) {
            try {
                LedgerMachine.read(one.file);
                reaches = one.index;
                break;
            } catch (IOException e) {
                wrong.add(e.getMessage());
            }
        }
        if (wrong.isEmpty()) {
            return;
        }
        if (logFrom > reaches + 1) {
            throw new Damaged(wrong.get(0) + "; the log begins at " + logFrom + " only");
        }
        for (int i = 0; i < wrong.size(); i++) {
            Path file = newestFirst.get(i).file;
            if (mends) {
                Files.move(file, file.resolveSibling(ASIDE + file.getFileName()), StandardCopyOption.REPLACE_EXISTING);
                Files.deleteIfExists(file.resolveSibling(file.getFileName() + ".md5"));
            }
            done.add(wrong.get(i) + "; put aside, as the log goes back far enough");
        }
    }
}
