package streamproxy.duties;

import java.util.ArrayDeque;
import java.util.TreeMap;

/**
 * A steward's side of one cold box: it divides what the box can bear among the members that ask, in shares that lapse by
 * themselves, so that what is out never sums to more, whatever becomes of answers, members and stewards.
 *
 * <p>Why it never does. A member reckons a share from before it asked ({@link Share}); the steward from when it gave it,
 * which is later, and longer by the drift: what a member still uses the steward still counts. An answer may be lost, and
 * the member go on with the share before: so of all shares given to a member that may still run, the largest counts. A new
 * steward knows nothing of what the one before gave, and gives nothing before all of that has lapsed; an answer of the one
 * before that comes later still is over by the member's own reckoning, as its asking lies further back.
 *
 * <p>What is shared is a rate, so many prompts a second; its caller keeps the part that members may use without a steward
 * out of it. It has no clock and no thread; one thread at a time may use it.
 */
public final class Shares {
    /** What a member may use: so much a second, for so long from its asking. */
    public record Grant(double perS, long forNs) { }

    private record Out(double perS, long until) { }

    private static final class Asker {
        private double wants;
        private long askedAt;
        private final ArrayDeque<Out> out = new ArrayDeque<>();
    }

    private final TreeMap<String, Asker> askers = new TreeMap<>();
    private double perS;
    private final long lengthNs;
    private final long countedNs;
    private final long givesFrom;

    /**
     * @param perS     what may be out in all, a second
     * @param lengthNs how long a share lasts, in nanoseconds
     * @param driftPpm how much faster or slower a clock may run than true time, in parts per million
     * @param now      when this steward began, by its own clock
     * @param first    whether there was certainly no steward for that box before
     */
    public Shares(double perS, long lengthNs, int driftPpm, long now, boolean first) {
        LeaseTimes terms = new LeaseTimes(lengthNs, driftPpm, 0);
        this.perS = perS;
        this.lengthNs = lengthNs;
        countedNs = terms.waitedNs();
        givesFrom = first ? now : now + countedNs;
    }

    /** From now on so much may be out, a second; what is out already runs on until it lapses. */
    public void bears(double all) { perS = all; }

    /** Whether anything is given yet; before, what another steward gave may still be out. */
    public boolean gives(long now) { return now >= givesFrom; }

    /** What a member gets that would use so much a second: its fair part of what is not out at others. */
    public Grant ask(long now, String member, double wants) {
        lapse(now);
        Asker asker = askers.computeIfAbsent(member, name -> new Asker());
        asker.wants = Math.max(0, wants);
        asker.askedAt = now;
        if (!gives(now)) {
            return new Grant(0, lengthNs);
        }
        double others = askers.entrySet().stream().filter(e -> !e.getKey().equals(member)).mapToDouble(e -> out(e.getValue())).sum();
        double gets = Math.max(0, Math.min(fair(asker.wants), perS - others));
        if (gets > 0) {
            asker.out.addLast(new Out(gets, now + countedNs));
        }
        return new Grant(gets, lengthNs);
    }

    /** What may still be in use, a second. */
    public double out(long now) {
        lapse(now);
        return askers.values().stream().mapToDouble(Shares::out).sum();
    }

    /** Of a member's shares that may still run it uses one: the largest, for all that is known here. */
    private static double out(Asker asker) { return asker.out.stream().mapToDouble(Out::perS).max().orElse(0); }

    /** The most that anyone gets of it while all that ask for less get what they ask for. */
    private double fair(double wants) {
        double left = perS;
        double[] all = askers.values().stream().mapToDouble(a -> a.wants).sorted().toArray();
        for (int i = 0; i < all.length; i++) {
            double equal = left / (all.length - i);
            if (all[i] >= equal) {
                return Math.min(wants, equal);
            }
            left -= all[i];
        }
        return wants;
    }

    private void lapse(long now) {
        askers.values().forEach(a -> a.out.removeIf(one -> one.until <= now));
        askers.values().removeIf(a -> a.out.isEmpty() && now - a.askedAt > countedNs);
    }
}
