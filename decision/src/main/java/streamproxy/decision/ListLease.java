package streamproxy.decision;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * Until when a router may begin attempts on the word of its endpoint list, reckoned from what its calls of service discovery
 * have shown.
 *
 * <p>A change counts as told {@link #TOLD_WITHIN_NS} after service discovery had it and could be reached, whether or not the
 * router heard of it. So a list that is known to be complete as of some moment is a lease of that length: each line of a
 * watch and each answer renews it, and behind its end an endpoint may be used only if it has proved by itself to be ready
 * ({@link EndpointTrust}). Neither the size of a fleet, nor a service that is slow, crowded or cut off, nor an answer that
 * is lost changes that.
 *
 * <p>Some events set a moment by which all that service discovery has counts as told: {@link #MOVED_TOLD_NS} after a new
 * configuration moves it, {@link #UPGRADED_TOLD_NS} after a process is ready that takes over from another one. A list, or an
 * endpoint's proof, that is older than such a moment binds no longer than until then ({@link Cutoff}). Of all spans the one that ends first holds.
 *
 * <p>It has no clock; times are nanoseconds of the caller's monotonic clock. One thread at a time may use it.
 */
public final class ListLease {
    /** A change counts as told so long after service discovery had it and could be reached. */
    public static final long TOLD_WITHIN_NS = 6_000_000_000L;
    /** So long after a new configuration has moved service discovery (SIGHUP). */
    public static final long MOVED_TOLD_NS = 4_000_000_000L;
    /** So long after the new process of an upgrade has said that it is ready. */
    public static final long UPGRADED_TOLD_NS = 2_000_000_000L;
    /** Moments that lie closer together are kept as one, so that configurations in quick succession take no more room. */
    static final long MERGED_NS = 100_000_000L;
    /** After a failed call a list binds for so many times the settings' pause between calls. */
    private static final int PAUSES_AFTER_FAILURE = 4;

    private final long lengthNs;
    private final long unwatchedLengthNs;
    private final long provenForNs;
    private final long graceNs;
    /** By when all counts as told; each with the last of the moments that it stands for. Those that the list is newer than are left out. */
    private final TreeMap<Long, Long> toldBy = new TreeMap<>();
    private long completeAt;
    private long unwatchedSince;
    private boolean watched;
    /** Nothing but refusals has come since a watch ended that had told all until then. */
    private boolean onlyRefused;

    private ListLease(long now, long lengthNs, long unwatchedLengthNs, long provenForNs, long graceNs, boolean canBeProved) {
        this.graceNs = graceNs;
        this.lengthNs = lengthNs;
        this.unwatchedLengthNs = unwatchedLengthNs;
        this.provenForNs = provenForNs;
        completeAt = canBeProved ? now - unwatchedLengthNs : now + lengthNs - unwatchedLengthNs;
        unwatchedSince = now;
    }

    /**
     * A lease on a list of unknown age, where service discovery has to be asked.
     *
     * @param now           when the process started
     * @param askEveryNs    the settings' pause between calls
     * @param longestCallNs how long a call may wait for its answer; within the pause, each has failed before the next is due
     * @param canBeProved   whether endpoints can prove by themselves to be ready; else that list is taken to be complete as
     *                      of the start, since nothing could be sent at all
     */
    public static ListLease asked(long now, long askEveryNs, long longestCallNs, boolean canBeProved) {
        return asked(now, askEveryNs, longestCallNs, 0, canBeProved);
    }

    /** @param graceNs the time in which sending has to stop once a change is told; half of it is used where a new answer is on its way */
    public static ListLease asked(long now, long askEveryNs, long longestCallNs, long graceNs, boolean canBeProved) {
        long bindsFor = askEveryNs > longestCallNs ? PAUSES_AFTER_FAILURE * askEveryNs : askEveryNs;
        long unwatched = Math.min(TOLD_WITHIN_NS, bindsFor);
        return new ListLease(now, TOLD_WITHIN_NS, unwatched, unwatched, graceNs / 2, canBeProved);
    }

    /**
     * The same where an agent pushes the list: what it has counts as told at once, unless a watch has fallen silent. So
     * without a watch the list binds no longer, and a proof for a part of the grace in which sending has to stop.
     *
     * @param graceNs the time in which sending has to stop once a change is told
     */
    public static ListLease pushed(long now, long graceNs, boolean canBeProved) {
        return new ListLease(now, TOLD_WITHIN_NS, 0, graceNs / 2, graceNs / 2, canBeProved);
    }

    /** The list has each change that service discovery had at that moment: when a call began that was answered, or a line came. */
    public void confirmed(long at) {
        if (at - completeAt > 0) {
            isCompleteAt(at);
        }
        watched = true;
        onlyRefused = false;
    }

    private void isCompleteAt(long at) {
        completeAt = at;
        while (!toldBy.isEmpty() && toldBy.firstEntry().getValue() <= at) {
            toldBy.pollFirstEntry();
        }
    }

    /**
     * Service discovery is at another address. What it refuses there says nothing of the time before.
     *
     * @param since when the new configuration was announced
     */
    public void moved(long now, long since) {
        watchEnded(now, false);
        onlyRefused = false;
        countsAsToldAt(since + MOVED_TOLD_NS);
    }

    /** This process has been ready since then, and takes over from another one of the same router. */
    public void upgraded(long since) { countsAsToldAt(since + UPGRADED_TOLD_NS); }

    private void countsAsToldAt(long moment) {
        if (moment <= completeAt) {
            return;
        }
        Map.Entry<Long, Long> before = toldBy.floorEntry(moment);
        if (before != null && moment - before.getKey() < MERGED_NS) {
            toldBy.put(before.getKey(), Math.max(before.getValue(), moment));
        } else {
            toldBy.put(moment, moment);
        }
    }

    /** When a list that is watched has to be asked for once more, for the watch may have fallen silent; empty where it need not be. */
    public OptionalLong askAgainAt() {
        return watched && !toldBy.isEmpty() ? OptionalLong.of(toldBy.firstEntry().getValue()) : OptionalLong.empty();
    }

    /** What ends the word of the list, and of proofs, sooner; in the order of time. */
    public List<Cutoff> cutoffs() {
        return toldBy.entrySet().stream().map(entry -> new Cutoff(entry.getKey() + graceNs, entry.getValue())).toList();
    }

    /**
     * The watch has ended, or what it tells is no longer what counts. Says nothing where there was none.
     *
     * @param bySilence whether it had fallen silent: what it missed counts as told from its silence on, reachable or not
     */
    public void watchEnded(long now, boolean bySilence) {
        if (!watched) {
            return;
        }
        watched = false;
        unwatchedSince = now;
        onlyRefused = !bySilence;
        if (unwatchedLengthNs == 0) {
            isCompleteAt(now); // an agent tells no more than its watch did, as long as that was open
        }
    }

    /**
     * Service discovery refused a connection at that moment: it is down. Right behind a watch that worked it has been so since,
     * and the list is complete still; behind anything else it may have had changes before.
     */
    public void refused(long at) {
        if (onlyRefused && at - completeAt > 0) {
            isCompleteAt(at);
        }
    }

    /** A call ended without an answer and was not refused: service discovery may be up, and have changes. */
    public void unanswered() { onlyRefused = false; }

    /** Attempts may begin on the list's word before this moment. */
    public long endsAt() {
        long end = completeAt + (watched ? lengthNs : unwatchedLengthNs);
        return toldBy.isEmpty() ? end : Math.min(end, toldBy.firstKey() + graceNs);
    }

    /** Since when an endpoint's own proof counts: before, a change may have been written to a watch that was silent already. */
    public long provenSince() { return unwatchedSince; }

    /** For how long after an endpoint has proved to be ready attempts may begin there. */
    public long provenForNs() { return provenForNs; }
}
