package streamproxy.stories;

import static org.junit.Assert.assertNotNull;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** The lines that a started program writes to its standard error. Each wait for one ends with a message, whatever the program does. */
final class ProgramLog {
    private static final long PATIENCE_NS = TimeUnit.SECONDS.toNanos(30);

    private final BlockingQueue<String> lines = new LinkedBlockingQueue<>();

    ProgramLog(Process program) {
        BufferedReader reader = program.errorReader();
        Thread reads = new Thread(() -> {
            try (reader) {
                reader.lines().forEach(lines::add);
            } catch (IOException | UncheckedIOException e) {
                // the program has ended
            }
        }, "program log");
        reads.setDaemon(true);
        reads.start();
    }

    /** The next line that contains the text; those before it are passed over. */
    String await(String text) throws InterruptedException {
        long until = System.nanoTime() + PATIENCE_NS;
        String line;
        do {
            line = lines.poll(Math.max(0, until - System.nanoTime()), TimeUnit.NANOSECONDS);
            assertNotNull("no line in the program's log in time: " + text, line);
        } while (!line.contains(text));
        return line;
    }
}
