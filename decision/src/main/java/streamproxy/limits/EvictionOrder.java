package streamproxy.limits;

/**
 * Which connection is closed for the sake of others, in order of willingness: one that was served and waits loses
 * nothing, the longest idle before others; then one that has said nothing yet, the longest connected first; then one
 * whose request has been coming for too long and may be the only one left. Each rank is a ring in order of entry, so
 * that entering, leaving and finding the next cost the same however many there are. Not thread-safe.
 */
public final class EvictionOrder {
    /** What a connection is at; the most willing first. */
    public enum Rank { SERVED, MUTE, READING }

    /** A connection's place among them. */
    public abstract static class Place extends IntrusiveList.Link {
        private long since;
    }

    private final IntrusiveList<Place> served = new IntrusiveList<>();
    private final IntrusiveList<Place> mute = new IntrusiveList<>();
    private final IntrusiveList<Place> reading = new IntrusiveList<>();
    private final long slowNs;

    /** Requests that have been coming for less than {@code slowNs} are not given up for others. */
    public EvictionOrder(long slowNs) { this.slowNs = slowNs; }

    /** It is at this from now on, whatever it was at before; it goes last of its rank. */
    public void enter(Place place, Rank rank, long now) {
        place.since = now;
        ring(rank).addLast(place);
    }

    /** It cannot be spared any more; false where it could not before. */
    public boolean leave(Place place) { return IntrusiveList.leave(place); }

    /** The one that goes most gladly, which stays where it is; null where all must stay. */
    public Place first(long now) {
        if (!served.isEmpty()) {
            return served.first();
        }
        if (!mute.isEmpty()) {
            return mute.first();
        }
        Place slowest = reading.first();
        return slowest != null && now - slowest.since >= slowNs ? slowest : null;
    }

    /** How many are at this. */
    public int count(Rank rank) { return ring(rank).size(); }

    private IntrusiveList<Place> ring(Rank rank) {
        return switch (rank) {
            case SERVED -> served;
            case MUTE -> mute;
            case READING -> reading;
        };
    }
}
