package streamproxy.program;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import streamproxy.transport.Threads;

/**
 * Standard error behind a bounded queue and a thread of its own, so that whoever logs never waits for a disk, a pipe or a
 * terminal. What finds the queue full is dropped, and the log says how many bytes were.
 */
final class LogStream extends OutputStream {
    /** So many bytes wait at most. */
    static final int MOST_BYTES = 256 * 1024;

    /** How long the last lines of the log may take to be written. */
    private static final long LAST_LINES_NS = TimeUnit.MILLISECONDS.toNanos(100);

    private static volatile LogStream installed; // null before

    private final OutputStream to;
    private final ArrayDeque<byte[]> waiting = new ArrayDeque<>();
    private int waitingBytes; // those that are being written included
    private long dropped;

    LogStream(OutputStream to) { this.to = to; }

    /** Puts the process's standard error behind a queue. */
    static LogStream replaceStandardError() {
        LogStream log = new LogStream(System.err);
        Threads.startAtStart("log", log::run);
        System.setErr(new PrintStream(log, false, StandardCharsets.UTF_8));
        installed = log;
        return log;
    }

    /** Waits a moment for the last lines to be written, before the process ends. */
    static void awaitLastLines() {
        LogStream log = installed;
        if (log != null) {
            try {
                log.awaitWritten(LAST_LINES_NS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    @Override public void write(int oneByte) { write(new byte[] {(byte) oneByte}, 0, 1); }

    @Override public synchronized void write(byte[] bytes, int from, int length) {
        if (length > MOST_BYTES - waitingBytes) {
            dropped += length;
            return;
        }
        waiting.add(Arrays.copyOfRange(bytes, from, from + length));
        waitingBytes += length;
        notifyAll();
    }

    /** Waits until all is written, so long at most; false where some is not. */
    synchronized boolean awaitWritten(long ns) throws InterruptedException {
        long until = System.nanoTime() + ns;
        while (waitingBytes > 0 && until - System.nanoTime() > 0) {
            TimeUnit.NANOSECONDS.timedWait(this, until - System.nanoTime());
        }
        return waitingBytes == 0;
    }

    /** Writes what comes, for as long as the process runs. */
    void run() {
        try {
            while (true) {
                byte[] next = next();
                try {
                    to.write(next);
                    to.flush();
                } catch (IOException e) {
                    // there is nowhere left to say so
                } finally {
                    written(next.length);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized byte[] next() throws InterruptedException {
        while (waiting.isEmpty()) {
            wait();
        }
        if (dropped > 0) {
            byte[] note = ("WARN LogStream: " + dropped + " bytes of the log were dropped\n").getBytes(StandardCharsets.US_ASCII);
            dropped = 0;
            waitingBytes += note.length;
            return note;
        }
        return waiting.poll();
    }

    private synchronized void written(int length) {
        waitingBytes -= length;
        notifyAll();
    }
}
