package streamproxy.routing;

/**
 * The module's clock: nanoseconds since 1970 at the program's start, run on by the monotonic clock. So a
 * box's {@code boot_ms} lies on it as it is, and no step of the system's clock moves an interval.
 */
public final class Clock {
    private static final long MS = 1_000_000;

    private final long offset = System.currentTimeMillis() * MS - System.nanoTime();

    public long now() { return ofNanoTime(System.nanoTime()); }

    /** A time of {@link System#nanoTime} on this clock. */
    public long ofNanoTime(long nanoTime) { return nanoTime + offset; }

    /** A time in Unix milliseconds on this clock; 0, long ago, stays 0. */
    public long at(long unixMs) { return unixMs * MS; }
}
