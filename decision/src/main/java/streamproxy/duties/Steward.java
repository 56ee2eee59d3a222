package streamproxy.duties;

import java.util.HashMap;
import java.util.Map;

/**
 * What a router gives of the cold boxes whose steward it is. A box can bear a share of the prompts that warm boxes
 * begin of all routers ({@link #cold}); what is begun of its own each says as it asks, and gets that share of it, within
 * {@link Shares}.
 *
 * <p>Who is steward is not decided here: it must be one router at a time, as the first owner of the box is by
 * {@link Presence}. One that becomes it anew begins a new book, and so gives nothing until all that another may have given
 * has lapsed; until then members go by their own rule, of which the box bears as much beside.
 *
 * <p>It has no clock and no thread; one thread at a time may use it.
 */
public final class Steward {
    /** A box that nobody has called cold for so long is none any more. */
    static final long COLD_FOR_NS = 1_000_000_000L;

    private record Cold(double share, long at) { }

    private record Has(double begunPerS, long at) { }

    private final Map<Long, Cold> cold = new HashMap<>();
    private final Map<Long, Shares> books = new HashMap<>();
    private final Map<String, Has> members = new HashMap<>();
    private final long lengthNs;
    private final int driftPpm;

    /** @param lengthNs how long a share lasts, in nanoseconds */
    public Steward(long lengthNs, int driftPpm) {
        this.lengthNs = lengthNs;
        this.driftPpm = driftPpm;
    }

    /** As this router sees it the box is cold, and can bear that share of the prompts that warm boxes begin. */
    public void cold(long now, long box, double share) { cold.put(box, new Cold(share, now)); }

    /** This router is not the steward of that box, or not any more: what it gave it knows no longer. */
    public void isNot(long box) { books.remove(box); }

    /** This router is the steward of that box, from now on where it was not before. */
    public void is(long now, long box) { books.computeIfAbsent(box, b -> new Shares(0, lengthNs, driftPpm, now, false)); }

    /**
     * What a member gets of a box, of whose own prompts warm ones begin so many a second; null where nothing can be said: the box is not
     * cold as far as is known here, or this router is not its steward or not for long enough.
     */
    public Shares.Grant ask(long now, long box, String member, double begunPerS) {
        Shares book = books.get(box);
        Cold known = cold.get(box);
        members.put(member, new Has(Math.max(0, begunPerS), now));
        if (book == null || known == null || now - known.at > COLD_FOR_NS || !book.gives(now)) {
            return null;
        }
        members.values().removeIf(has -> now - has.at > 2 * lengthNs);
        book.bears(known.share * members.values().stream().mapToDouble(Has::begunPerS).sum());
        return book.ask(now, member, known.share * Math.max(0, begunPerS));
    }

    /** Forgets boxes that are cold no more, once nothing of them is out. */
    public void tidy(long now) {
        cold.values().removeIf(one -> now - one.at > COLD_FOR_NS);
        books.entrySet().removeIf(one -> !cold.containsKey(one.getKey()) && one.getValue().gives(now) && one.getValue().out(now) == 0);
    }

    /** What is out of all boxes, a second. */
    public double out(long now) { return books.values().stream().mapToDouble(book -> book.out(now)).sum(); }
}
