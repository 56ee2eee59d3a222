package streamproxy.lab.soak;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import streamproxy.lab.RepeatRule;

/** Which rule for repeats bound a process's requests, and when, as reloads brought others. One thread notes, others may ask. */
final class RulesInForce {
    /** A reload binds requests that come so long after it; before that either rule may. */
    private static final long BINDS_NS = TimeUnit.MILLISECONDS.toNanos(1_200);

    /** @param isSure whether its file stayed for long enough to be read for certain */
    private record Change(RepeatRule to, long at, boolean isSure) { }

    private final List<Change> changes = new ArrayList<>();

    RulesInForce(RepeatRule first) { changes.add(new Change(first, Long.MIN_VALUE, true)); }

    synchronized void reloaded(RepeatRule next, long at) { changes.add(new Change(next, at, true)); }

    /** The file cannot be used any more: whether those that were written just before have been read is not known. */
    synchronized void spoilt(long at) {
        changes.replaceAll(change -> change.at > at - BINDS_NS ? new Change(change.to, change.at, false) : change);
    }

    /** The rules that may bind a request of which something came between those times. */
    synchronized Set<RepeatRule> between(long from, long to) {
        Set<RepeatRule> may = EnumSet.noneOf(RepeatRule.class);
        for (int i = 0; i < changes.size(); i++) {
            boolean over = changes.subList(i + 1, changes.size()).stream().anyMatch(next -> next.isSure && next.at + BINDS_NS < from);
            if (changes.get(i).at <= to && !over) {
                may.add(changes.get(i).to);
            }
        }
        return may;
    }
}
