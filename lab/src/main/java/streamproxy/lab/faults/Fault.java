package streamproxy.lab.faults;

/**
 * What a system call meets.
 *
 * @param errno     what it fails with; {@link Errno#NONE} where it is made
 * @param mostBytes how many bytes it reads or writes at most; 0 for as many as it is asked to
 * @param delayMs   how long it waits before anything else
 * @param every     each so many'th call is met
 */
public record Fault(Errno errno, int mostBytes, int delayMs, int every) {
    public Fault {
        if (mostBytes < 0 || delayMs < 0 || every < 1) {
            throw new IllegalArgumentException("fault of " + mostBytes + " bytes, " + delayMs + " ms, at every " + every);
        }
    }

    /** Each so many'th call fails with that. */
    public static Fault failing(Errno errno, int every) { return new Fault(errno, 0, 0, every); }

    /** Each call moves so few bytes, after so long. */
    public static Fault slow(int mostBytes, int delayMs) { return new Fault(Errno.NONE, mostBytes, delayMs, 1); }

    /** Each so many'th call comes so late. */
    public static Fault late(int delayMs, int every) { return new Fault(Errno.NONE, 0, delayMs, every); }
}
