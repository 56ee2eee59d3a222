package streamproxy.fleet;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** Files that are there whole, or as they were, whenever the power goes. */
final class DurableFiles {
    private DurableFiles() { }

    /** Writes the file anew: beside it, synced, put in its place, the folder synced. */
    static void write(Path file, byte[] bytes) throws IOException {
        Path beside = file.resolveSibling(file.getFileName() + ".new");
        try (FileChannel channel = FileChannel.open(beside, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
                StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer rest = ByteBuffer.wrap(bytes);
            while (rest.hasRemaining()) {
                channel.write(rest);
            }
            channel.force(true);
        }
        Files.move(beside, file, StandardCopyOption.ATOMIC_MOVE);
        folder(file.toAbsolutePath().getParent());
    }

    /** Syncs the names in a folder. */
    static void folder(Path folder) throws IOException {
        try (FileChannel names = FileChannel.open(folder, StandardOpenOption.READ)) {
            names.force(true);
        }
    }
}
