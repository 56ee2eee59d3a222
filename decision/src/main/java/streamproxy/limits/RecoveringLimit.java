package streamproxy.limits;

import java.util.concurrent.TimeUnit;

/**
 * A limit that is lowered where the system gives less than was configured, and rises again by itself, step by step, until it
 * is what was configured. The caller brings the time, in nanoseconds of one monotonic clock. Not thread-safe.
 */
public final class RecoveringLimit {
    /** How often a lowered limit rises by a step. */
    static final long RISES_EVERY_NS = TimeUnit.SECONDS.toNanos(1);
    /** So many steps lead from nothing to the configured limit. */
    static final int STEPS = 32;

    private int configured;
    private int now;
    private long changedAt;

    /** @param configured the limit while nothing lowers it, at least 1 */
    public RecoveringLimit(int configured) {
        this.configured = configured;
        now = configured;
    }

    /** Another configured limit, which is in force at once. */
    public void configure(int newlyConfigured) {
        configured = newlyConfigured;
        now = newlyConfigured;
    }

    /** The limit in force. */
    public int get() { return now; }

    /** Whether less is in force than what was configured. */
    public boolean isLowered() { return now < configured; }

    /** The system has given less: no more than {@code most}, but at least 1, from now on. */
    public void lower(int most, long at) {
        now = Math.max(1, Math.min(now, most));
        changedAt = at;
    }

    /** Rises by the steps that are due; true where that brought it back to what was configured. */
    public boolean rise(long at) {
        long steps = isLowered() ? (at - changedAt) / RISES_EVERY_NS : 0;
        if (steps <= 0) {
            return false;
        }
        changedAt += steps * RISES_EVERY_NS;
        long step = Math.max(1, configured / STEPS);
        now = (int) Math.min(configured, now + Math.min(steps, configured) * step);
        return !isLowered();
    }
}
