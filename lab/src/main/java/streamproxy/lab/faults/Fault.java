package streamproxy.lab.faults;

/**
 * What a system call meets.
 *
 * @param errno     what it fails with; {@link Errno#NONE} where it is made
 * @param most      how many bytes it reads or writes at most, or how many threads may run; 0 for as many as it is asked to
 * @param delayMs   how long it waits before anything else
 * @param every     each so many'th call is met
 */
public record Fault(Errno errno, int most, int delayMs, int every) {
    public Fault {
        if (most < 0 || delayMs < 0 || every < 1) {
            throw new IllegalArgumentException("fault of at most " + most + ", " + delayMs + " ms, at every " + every);
        }
    }

    /** Each so many'th call fails with that. */
    public static Fault failing(Errno errno, int every) { return new Fault(errno, 0, 0, every); }

    /** No thread is made while so many run. */
    public static Fault threadsMost(int most) { return new Fault(Errno.EAGAIN, most, 0, 1); }

    /** Each call moves so few bytes, after so long. */
    public static Fault slow(int mostBytes, int delayMs) { return new Fault(Errno.NONE, mostBytes, delayMs, 1); }

    /** Each so many'th call comes so late. */
    public static Fault late(int delayMs, int every) { return new Fault(Errno.NONE, 0, delayMs, every); }
}
