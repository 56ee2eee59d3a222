package streamproxy.fleet;

import java.io.IOException;
import java.io.StringReader;
import java.io.StringWriter;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.security.SecureRandom;
import java.util.Properties;
import streamproxy.protocol.NodeConfig.Unusable;

/**
 * A member's folder: whose it is, which no two share, and how often a process has started from it. One process at a time
 * has it, by a lock that ends with the process.
 */
final class MemberDirectory implements AutoCloseable {
    private static final String IDENTITY = "member.properties";
    private static final String LOCK = "lock";
    private static final int VERSION = 1;

    private final Path path;
    private final FileChannel lockFile;
    private final FileLock lock;
    private final long id;
    private final long start;
    private final boolean fresh;

    private MemberDirectory(Path path, FileChannel lockFile, FileLock lock, long id, long start, boolean fresh) {
        this.path = path;
        this.lockFile = lockFile;
        this.lock = lock;
        this.id = id;
        this.start = start;
        this.fresh = fresh;
    }

    /**
     * Opens the folder for that member of that fleet, making it where it is not there; what it says is on the disk when
     * this comes back.
     *
     * @throws Unusable where another process has it, or it is another member's or another fleet's
     */
    static MemberDirectory open(Path path, String fleet, String member) throws Unusable, IOException {
        Files.createDirectories(path);
        FileChannel lockFile = FileChannel.open(path.resolve(LOCK), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        FileLock lock = null;
        try {
            try {
                lock = lockFile.tryLock();
            } catch (OverlappingFileLockException e) {
                // by this very process
            }
            if (lock == null) {
                throw new Unusable(path + ": another process runs from this folder");
            }
            Path file = path.resolve(IDENTITY);
            boolean fresh = !Files.exists(file);
            Properties said = new Properties();
            if (fresh) {
                said.setProperty("version", String.valueOf(VERSION));
                said.setProperty("fleet", fleet);
                said.setProperty("member", member);
                said.setProperty("folder", Long.toHexString(new SecureRandom().nextLong()));
                said.setProperty("starts", "0");
            } else {
                said.load(new StringReader(Files.readString(file)));
            }
            require(file, said, "version", String.valueOf(VERSION));
            require(file, said, "fleet", fleet);
            require(file, said, "member", member);
            long id = number(file, said, "folder", 16);
            long start = number(file, said, "starts", 10) + 1;
            said.setProperty("starts", String.valueOf(start));
            StringWriter text = new StringWriter();
            said.store(text, null);
            DurableFiles.write(file, text.toString().getBytes(StandardCharsets.UTF_8));
            return new MemberDirectory(path, lockFile, lock, id, start, fresh);
        } catch (Unusable | IOException e) {
            lockFile.close();
            throw e;
        }
    }

    private static void require(Path file, Properties said, String key, String wanted) throws Unusable {
        String is = said.getProperty(key);
        if (!wanted.equals(is)) {
            throw new Unusable(file + ": " + key + ": it is of " + (is == null ? "none" : is) + ", not of " + wanted);
        }
    }

    private static long number(Path file, Properties said, String key, int radix) throws Unusable {
        try {
            return Long.parseUnsignedLong(String.valueOf(said.getProperty(key)), radix);
        } catch (NumberFormatException e) {
            throw new Unusable(file + ": " + key + ": not a number: " + said.getProperty(key));
        }
    }

    Path path() { return path; }

    /** Identity of the folder, drawn when it was made. */
    long id() { return id; }

    /** How often a process has started from it, this one counted. */
    long start() { return start; }

    /** Whether it was made now. */
    boolean fresh() { return fresh; }

    @Override public void close() throws IOException {
        lock.release();
        lockFile.close();
    }
}
