package streamproxy.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import streamproxy.transport.Threads;

@Timeout(60)
class LogStreamTest {
    private static final long PATIENCE_NS = TimeUnit.SECONDS.toNanos(20);

    private final ByteArrayOutputStream disk = new ByteArrayOutputStream();
    private final CountDownLatch begun = new CountDownLatch(1);
    private final CountDownLatch go = new CountDownLatch(1);

    /** A disk on which a write takes until it is let go on. */
    private final OutputStream stuck = new OutputStream() {
        @Override public void write(int oneByte) throws IOException { write(new byte[] {(byte) oneByte}, 0, 1); }

        @Override public void write(byte[] bytes, int from, int length) throws IOException {
            begun.countDown();
            try {
                go.await();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            disk.write(bytes, from, length);
        }
    };

    @Test void whoLogsDoesNotWaitForTheDiskAndWhatFindsNoRoomIsCounted() throws Exception {
        LogStream log = new LogStream(stuck);
        Threads.start("log", log::run);
        byte[] line = "0123456789abcdef".getBytes(StandardCharsets.US_ASCII);
        log.write(line);
        begun.await(); // the disk is stuck with it, and this thread goes on
        int fit = LogStream.MOST_BYTES / line.length;
        for (int i = 1; i < fit + 10; i++) {
            log.write(line);
        }
        assertFalse(log.awaitWritten(1));
        go.countDown();
        assertTrue(log.awaitWritten(PATIENCE_NS));
        String text = disk.toString(StandardCharsets.US_ASCII);
        assertTrue(text.contains("160 bytes of the log were dropped"), "what was dropped is said");
        assertEquals(fit, text.split("0123456789abcdef", -1).length - 1, "all the rest is there");
    }

    @Test void aWriteThatFailsLosesThatLineAndNoMore() throws Exception {
        int[] calls = new int[1];
        LogStream log = new LogStream(new OutputStream() {
            @Override public void write(int oneByte) { disk.write(oneByte); }

            @Override public void write(byte[] bytes, int from, int length) throws IOException {
                if (calls[0]++ == 0) {
                    throw new IOException("No space left on device");
                }
                disk.write(bytes, from, length);
            }
        });
        Threads.start("log", log::run);
        log.write("one".getBytes(StandardCharsets.US_ASCII));
        log.write("two".getBytes(StandardCharsets.US_ASCII));
        assertTrue(log.awaitWritten(PATIENCE_NS));
        assertEquals("two", disk.toString(StandardCharsets.US_ASCII));
    }
}
