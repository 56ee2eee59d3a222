package streamproxy.limits;

/**
 * A ring of links in order of entry: entering, leaving from anywhere and finding either end cost the same however many
 * there are, and nothing is allocated, as the members are its links. A link stands in one ring at a time. Not thread-safe.
 */
public final class IntrusiveList<L extends IntrusiveList.Link> {
    /** A member, or to be one. */
    public abstract static class Link {
        private Link before;
        private Link after; // null where it stands in no ring
        private IntrusiveList<?> in;

        /** The ring in which it stands; null for none. */
        public final IntrusiveList<?> ring() { return in; }
    }

    private static final class Head extends Link { }

    private final Link head = new Head();
    private int size;

    public IntrusiveList() {
        head.before = head;
        head.after = head;
    }

    public int size() { return size; }

    public boolean isEmpty() { return size == 0; }

    /** It comes last, whichever ring it stood in before. */
    public void addLast(L link) {
        leave(link);
        Link at = link;
        at.before = head.before;
        at.after = head;
        at.in = this;
        head.before.after = at;
        head.before = at;
        size++;
    }

    /** Takes a link out of the ring that it stands in; false where it stands in none. */
    public static boolean leave(Link link) {
        if (link.in == null) {
            return false;
        }
        link.before.after = link.after;
        link.after.before = link.before;
        link.in.size--;
        link.before = null;
        link.after = null;
        link.in = null;
        return true;
    }

    /** The one that entered first and stays; null where there is none. */
    public L first() { return at(head.after); }

    /** The one that entered last and stays; null where there is none. */
    public L last() { return at(head.before); }

    /** The one that entered before a member of this ring; null where that is the first. */
    public L before(L link) {
        Link at = link;
        return at(at.before);
    }

    @SuppressWarnings("unchecked") // only addLast makes members, of the ring's own type
    private L at(Link link) { return link == head ? null : (L) link; }
}
