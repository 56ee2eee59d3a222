import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** What was sent, answered and run, one line each with the seconds since the start of the case. */
final class Record implements AutoCloseable {
    private final long startedAt = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException { out = new PrintWriter(Files.newBufferedWriter(file)); }

    synchronized void line(String format, Object... args) {
        out.printf(Locale.ROOT, "%9.4f ", seconds(System.nanoTime()));
        out.printf(Locale.ROOT, format, args);
        out.println();
        out.flush();
    }

    double seconds(long at) { return (at - startedAt) / 1e9; }

    @Override public synchronized void close() { out.close(); }
}
