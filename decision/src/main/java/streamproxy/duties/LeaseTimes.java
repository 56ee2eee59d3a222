package streamproxy.duties;

/**
 * What leases are reckoned by, alike in the whole fleet.
 *
 * @param leaseNs  how long a duty is held from one asking to the next, in nanoseconds
 * @param driftPpm how much faster or slower a monotonic clock may run than true time, in parts per million
 * @param actNs    how long an act of a holder may take, in nanoseconds: none begins later than that before the lease's end
 */
public record LeaseTimes(long leaseNs, int driftPpm, long actNs) {
    private static final int WHOLE = 1_000_000;
    /** Beyond this a clock is broken, and so would be the reckoning. */
    private static final int DRIFT_MOST = 200_000;
    private static final long LEASE_MOST = 3_600_000_000_000L;

    public LeaseTimes {
        if (driftPpm < 0 || driftPpm > DRIFT_MOST) {
            throw new IllegalArgumentException("drift of " + driftPpm + " ppm, not 0 to " + DRIFT_MOST);
        }
        if (leaseNs <= 0 || leaseNs > LEASE_MOST || actNs < 0 || 4 * actNs > leaseNs) {
            throw new IllegalArgumentException("acts of " + actNs + " ns in leases of " + leaseNs + " ns: at most a quarter of at most an hour");
        }
    }

    /** How long a holder may think it holds, by its own clock: never longer than the lease in true time. */
    public long heldNs() { return leaseNs - share(); }

    /** How long a successor waits by its own clock: never shorter than the lease in true time. */
    public long waitedNs() { return leaseNs + share(); }

    private long share() { return (leaseNs * driftPpm + WHOLE - 1) / WHOLE; }
}
