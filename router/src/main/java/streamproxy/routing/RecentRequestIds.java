package streamproxy.routing;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The ids of the requests that were taken lately. An id differs with every request, a client's retry included: one
 * that comes again is another client's mistake, and passed on it would be a second copy of the first.
 */
public final class RecentRequestIds {
    /** Longer than any request stays open, and how many are kept at most. */
    private static final long MEMORY = 60_000_000_000L;
    private static final int MOST = 8192;

    private final Map<String, Long> takenAt = new LinkedHashMap<>(); // the oldest first

    /** Remembers an id; false where it was taken before. */
    synchronized boolean add(String id) {
        long now = System.nanoTime();
        Iterator<Long> oldest = takenAt.values().iterator();
        while (oldest.hasNext()) {
            long at = oldest.next(); // before anything is removed: without it a full memory ended every request
            if (takenAt.size() < MOST && now - at <= MEMORY) {
                break;
            }
            oldest.remove();
        }
        return takenAt.putIfAbsent(id, now) == null;
    }
}
