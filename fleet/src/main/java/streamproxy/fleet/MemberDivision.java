package streamproxy.fleet;

import streamproxy.duties.Presence;
import streamproxy.duties.RendezvousOrder;
import streamproxy.program.Fleet;

/**
 * What is divided among the members that live, by one {@link Presence.View}. Once another view is known this one's end
 * is moved on no more, so whoever still goes by it stops when the presence that it was made with is over.
 */
final class MemberDivision implements Fleet.Division {
    private final Presence.View view;
    private final String me;
    private final boolean settled;
    private final long ahead; // of System.nanoTime, the clock by which it is asked
    private volatile long until;

    /**
     * @param settled whether this member may act by it at all
     * @param until   to when at first, by {@link System#nanoTime}
     * @param ahead   how far the clock by which it is asked is ahead of that, in nanoseconds
     */
    MemberDivision(Presence.View view, String me, boolean settled, long until, long ahead) {
        this.view = view;
        this.me = me;
        this.settled = settled;
        this.until = until;
        this.ahead = ahead;
    }

    Presence.View view() { return view; }

    boolean settled() { return settled; }

    void until(long later) { until = later; }

    @Override public int members() { return Math.max(1, view.live().size()); }

    @Override public int place(long thing) { return RendezvousOrder.of(Long.toHexString(thing), me, view.live()); }

    /** Who stands first; null where nobody lives. */
    String first(long thing) { return RendezvousOrder.first(Long.toHexString(thing), view.live()); }

    /** Whether this member may act now, by {@link System#nanoTime}. */
    boolean mayNow() { return may(System.nanoTime() + ahead); }

    @Override public boolean may(long now) { return settled && now - ahead - until < 0; }
}
