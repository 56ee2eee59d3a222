package streamproxy.timing;

/**
 * Notices that something which ought to take turns has not taken one for too long, and tells so once. It is looked at
 * now and then, and has neither a clock nor a thread. Time in which nobody could look, as the whole process stood still,
 * is counted as one look's worth: it is no fault of the one that is watched.
 */
public final class StallDetector {
    /** What a look has found. */
    public enum Found {
        /** Nothing that is not known already. */
        NOTHING,
        /** It stands still, for as long as it may by now. */
        STANDS,
        /** It had been told to stand still, and turns again. */
        TURNS_AGAIN
    }

    private final long longestNs;
    private final long lookNs;
    private long turns = -1;
    private long lookedAt;
    private long stoodNs;
    private boolean told;

    /**
     * @param longestNs how long it may stand still, in nanoseconds
     * @param lookNs    how often it is looked at, in nanoseconds
     */
    public StallDetector(long longestNs, long lookNs) {
        if (lookNs <= 0 || longestNs < lookNs) {
            throw new IllegalArgumentException("longest " + longestNs + " ns, looked at every " + lookNs + " ns");
        }
        this.longestNs = longestNs;
        this.lookNs = lookNs;
    }

    /**
     * A look at it.
     *
     * @param now     nanoseconds of the caller's clock, which never goes back
     * @param turnsBy how many turns it has taken by now
     * @param due     whether it has something to do: it may rest for as long as it likes where it has not
     */
    public Found look(long now, long turnsBy, boolean due) {
        boolean turned = turnsBy != turns || !due;
        stoodNs = turned ? 0 : stoodNs + Math.min(now - lookedAt, 2 * lookNs);
        turns = turnsBy;
        lookedAt = now;
        if (turned) {
            boolean again = told;
            told = false;
            return again ? Found.TURNS_AGAIN : Found.NOTHING;
        }
        if (told || stoodNs < longestNs) {
            return Found.NOTHING;
        }
        told = true;
        return Found.STANDS;
    }

    /** How long it has stood still as far as looks have shown, in nanoseconds; 0 once it has turned. */
    public long stoodNs() { return stoodNs; }
}
