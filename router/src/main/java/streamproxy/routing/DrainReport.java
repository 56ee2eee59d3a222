package streamproxy.routing;

import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.tinylog.Logger;
import streamproxy.transport.Threads;

/**
 * Tells in the log how a drain of clients' connections goes on: how many are held when it begins, what is still held a
 * second later and then ever more seldom, and when the last one has ended. It has a thread of its own only while
 * something is drained, so that no other thread waits for the log.
 */
final class DrainReport {
    private static final long FIRST_LOOK_NS = TimeUnit.SECONDS.toNanos(1);
    private static final long LAST_LOOK_NS = TimeUnit.SECONDS.toNanos(16);

    private final Supplier<String> held;
    private String cause; // null while nothing is drained
    private long beganAt;
    private long pauseNs;
    private long nextLookAt;
    private boolean running;

    /** @param held describes the connections that are held now */
    DrainReport(Supplier<String> held) { this.held = held; }

    /** A drain begins; one that is under way goes on under its new cause. */
    synchronized void begin(String why, long now) {
        cause = why;
        beganAt = now;
        pauseNs = FIRST_LOOK_NS;
        nextLookAt = now + pauseNs;
        Logger.info("drain by {}: {}", cause, held.get());
        if (!running) {
            startThread();
        }
    }

    private void startThread() {
        try {
            Threads.startOnReserve("drain report", this::run);
            running = true;
        } catch (OutOfMemoryError e) {
            Logger.warn(e, "no thread to report the drain");
        }
    }

    /** Clients are taken back: nothing is drained any more. */
    synchronized void cancel() {
        cause = null;
        notifyAll();
    }

    /** The last connection that was held has ended. */
    synchronized void noneHeld(long now) {
        if (cause != null) {
            Logger.info("drain by {}: no connection is held any more, {} ms after it began", cause, msSince(now));
            cancel();
        }
    }

    private synchronized void run() {
        try {
            while (cause != null) {
                long leftNs = nextLookAt - System.nanoTime();
                if (leftNs > 0) {
                    TimeUnit.NANOSECONDS.timedWait(this, leftNs);
                } else {
                    look();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            running = false;
        }
    }

    private void look() {
        long now = System.nanoTime();
        Logger.info("drain by {}: after {} ms {}", cause, msSince(now), held.get());
        pauseNs = Math.min(LAST_LOOK_NS, 2 * pauseNs);
        nextLookAt = now + pauseNs;
    }

    private long msSince(long now) { return TimeUnit.NANOSECONDS.toMillis(now - beganAt); }
}
