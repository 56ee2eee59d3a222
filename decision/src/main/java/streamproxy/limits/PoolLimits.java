package streamproxy.limits;

/**
 * How many connections one model box is asked to hold and to open. A box tells nowhere how many it accepts: it shows in
 * connections that are refused or never come up, so the limit follows from those, and is tried again step by step.
 * Connections being opened cost a box work, so only so many are opened at a time. Times are nanoseconds of the caller's
 * clock. Not thread-safe.
 */
public final class PoolLimits {
    /** After a refused connection the box is held to hold no more than so much of what was open then. */
    private static final double BACK_OFF = 0.9;
    /** How long a limit that was learned stands before it is tried for more, and what is added then. */
    private static final long TRY_AGAIN_NS = 5_000_000_000L;
    private static final double GROW = 0.1;
    /** A refusal with fewer open than this tells that the box is down, not that it is full. */
    private static final int FEW = 16;

    private int connectingMost;
    private int most;
    private int learned = Integer.MAX_VALUE;
    private long learnedAt;
    private int open;
    private int connecting;

    /** At most so many are held, and so many at a time being opened; {@link Integer#MAX_VALUE} where that is not limited. */
    public PoolLimits(int most, int connectingMost) { change(most, connectingMost); }

    /** Other limits from now on; what is open beyond them stays until it ends by itself. */
    public void change(int newMost, int newConnectingMost) {
        most = newMost;
        connectingMost = newConnectingMost;
    }

    /** Whether one more may be opened now; if so it counts as being opened. */
    public boolean tryOpen(long now) { return tryOpen(now, false); }

    /** The same; for a probe too, which leaves the last place to an attempt. */
    public boolean tryOpen(long now, boolean probe) {
        if (!mayOpen(now, probe)) {
            return false;
        }
        connecting++;
        open++;
        return true;
    }

    /** Whether one more may be opened now, for a probe if so said. */
    public boolean mayOpen(long now, boolean probe) { return hasPlace(now, probe) && connecting < connectingMost; }

    /** Whether the box would hold one more, however many are being opened. */
    public boolean hasPlace(long now, boolean probe) {
        if (learned != Integer.MAX_VALUE && now - learnedAt > TRY_AGAIN_NS) {
            learned = (int) Math.min(Integer.MAX_VALUE, learned + Math.max(1, (long) (GROW * learned)));
            learnedAt = now;
        }
        return open < Math.min(most, learned) - (probe && open > 0 ? 1 : 0);
    }

    /** When one more may be opened though nothing has ended: at the next trial of the limit that was learned. */
    public long nextTrialAt() { return learned == Integer.MAX_VALUE ? Long.MAX_VALUE : learnedAt + TRY_AGAIN_NS + 1; }

    /** One that was being opened is open. */
    public void opened() { connecting--; }

    /** One that was being opened could not be; {@code refused} where the box itself said so, or never answered. */
    public void notOpened(boolean refused, long now) {
        connecting--;
        open--;
        if (refused && open >= FEW) {
            learned = (int) Math.max(FEW, BACK_OFF * open);
            learnedAt = now;
        }
    }

    /** One that was open is closed. */
    public void closed() { open--; }

    public int open() { return open; }

    public int connecting() { return connecting; }

    /** What the box is held to hold at most; {@link Integer#MAX_VALUE} where it has refused none. */
    public int learned() { return learned; }
}
