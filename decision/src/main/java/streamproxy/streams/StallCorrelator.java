package streamproxy.streams;

import java.util.HashMap;
import java.util.Map;

/**
 * Tells streams that stall together from one that does. A box whose streams fall silent at once has one fault, and is
 * told to the module once, not once for each. Times are nanoseconds of the caller's clock. Not thread-safe.
 */
public final class StallCorrelator {
    private static final class Box {
        int flowing;
        int stalled;
        long since;
        long toldAt = Long.MIN_VALUE;
    }

    private final Map<Long, Box> boxes = new HashMap<>();
    private final long windowNs;
    private final double share;
    private final int least;

    /** A box is told of once, within the window, at least {@code least} and that share of its streams have stalled. */
    public StallCorrelator(long windowNs, double share, int least) {
        this.windowNs = windowNs;
        this.share = share;
        this.least = least;
    }

    /** A stream of that box has begun. */
    public void began(long box) { boxes.computeIfAbsent(box, b -> new Box()).flowing++; }

    /** A stream of that box has ended, however. */
    public void ended(long box) {
        Box at = boxes.get(box);
        if (at != null && --at.flowing <= 0) {
            boxes.remove(box);
        }
    }

    /** A stream of that box has stalled, and is about to end; true where the box is to be told of now. */
    public boolean stalled(long box, long now) {
        Box at = boxes.get(box);
        if (at == null) {
            return false;
        }
        if (now - at.since > windowNs) {
            at.since = now;
            at.stalled = 0;
        }
        at.stalled++;
        // Those that stalled before have ended by now, and count among the streams that it had.
        boolean all = at.stalled >= least && at.stalled >= share * (at.flowing + at.stalled - 1);
        boolean tell = all && (at.toldAt == Long.MIN_VALUE || now - at.toldAt > windowNs);
        at.toldAt = tell ? now : at.toldAt;
        return tell;
    }
}
