package streamproxy.lab.fleet;

import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/**
 * What a stand-in saw, one line of JSON each, in its own order and by one clock: nanoseconds since it began. The format
 * is docs/observed.md's. One thread at a time writes.
 */
public final class Observed implements AutoCloseable {
    private final long from = System.nanoTime();
    private final BufferedWriter out;

    public Observed(Path file) throws IOException { out = Files.newBufferedWriter(file); }

    /** Now, by the clock of all lines. */
    public long now() { return System.nanoTime() - from; }

    /**
     * An act on what a duty is about.
     *
     * @param asked when its actor began to ask whether it may act
     * @param done  whether it was done; it was refused else, as its fence is lower than one seen before
     * @return when it was written, which is when it was
     */
    public synchronized long act(String duty, String who, long fence, long asked, boolean done) throws IOException {
        long at = now();
        line("{\"t\":%d,\"kind\":\"act\",\"duty\":\"%s\",\"who\":\"%s\",\"fence\":%d,\"asked\":%d,\"done\":%b}", at, duty, who, fence, asked, done);
        return at;
    }

    /** A fault was begun or ended by the rig: for charts and for those who read along; no guarantee is judged by it. */
    public synchronized long fault(String what, String whom, boolean begins) throws IOException {
        long at = now();
        line("{\"t\":%d,\"kind\":\"fault\",\"what\":\"%s\",\"whom\":\"%s\",\"begins\":%b}", at, what, whom, begins);
        return at;
    }

    private void line(String format, Object... values) throws IOException {
        out.write(String.format(Locale.ROOT, format, values));
        out.newLine();
    }

    @Override public synchronized void close() throws IOException { out.close(); }
}
