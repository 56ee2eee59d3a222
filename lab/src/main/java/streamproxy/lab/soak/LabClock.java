package streamproxy.lab.soak;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

/** Notes when this process itself was held up, so that its own lateness is told from a router's. */
final class LabClock implements AutoCloseable {
    /** One time at which it was held up. */
    private record Gap(long from, long to) { }

    private static final long TICK_MS = 5;
    private static final long LATE_NS = TimeUnit.MILLISECONDS.toNanos(15);

    private final Queue<Gap> gaps = new ConcurrentLinkedQueue<>();
    private final Thread ticks = new Thread(this::tick, "lab clock");

    LabClock() {
        ticks.setDaemon(true);
        ticks.start();
    }

    private void tick() {
        try {
            for (long last = System.nanoTime();;) {
                TimeUnit.MILLISECONDS.sleep(TICK_MS);
                long now = System.nanoTime();
                if (now - last > LATE_NS) {
                    gaps.add(new Gap(last, now));
                }
                last = now;
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** For how long it was held up between these times, as far as it noticed. */
    long lateWithin(long from, long to) {
        return gaps.stream().mapToLong(gap -> Math.max(0, Math.min(gap.to, to) - Math.max(gap.from, from))).sum();
    }

    @Override public void close() { ticks.interrupt(); }
}
