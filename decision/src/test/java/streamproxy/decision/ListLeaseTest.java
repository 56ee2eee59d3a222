package streamproxy.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static streamproxy.decision.Rig.MS;
import static streamproxy.decision.Rig.S;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

class ListLeaseTest {
    private static final long START = 1_000 * S;
    private static final long ASK_EVERY = 10 * S;
    private static final long CALL = 2_500 * MS;

    private static ListLease asked() { return ListLease.asked(START, ASK_EVERY, CALL, true); }

    @Test void aListOfUnknownAgeBindsNotAtAll() {
        assertEquals(START, asked().endsAt());
        assertEquals(START, asked().provenSince());
    }

    @Test void whereNothingCanBeProvedTheConfiguredListBindsFromTheStart() {
        assertEquals(START + 6 * S, ListLease.asked(START, ASK_EVERY, CALL, false).endsAt());
    }

    @Test void eachConfirmationRenewsItAndAnOlderOneTakesNothingBack() {
        ListLease lease = asked();
        lease.confirmed(START + 3 * S);
        lease.confirmed(START + 2 * S);
        assertEquals(START + 9 * S, lease.endsAt());
    }

    /** A call that was turned away, hangs or got lost says nothing of the list: only what came does. */
    @Test void aWatchThatEndedLeavesItAsItsLastLineHadIt() {
        ListLease lease = asked();
        lease.confirmed(START + 3 * S);
        lease.watchEnded(START + 4 * S, false);
        assertEquals(START + 9 * S, lease.endsAt());
        assertEquals(START + 4 * S, lease.provenSince(), "before, a change may have been written to that watch");
    }

    @Test void aServiceThatRefusesConnectionsCouldTellNothingBefore() {
        ListLease lease = asked();
        lease.confirmed(START + 3 * S);
        lease.watchEnded(START + 4 * S, false);
        lease.refused(START + 8 * S);
        assertEquals(START + 14 * S, lease.endsAt());
    }

    /** What a silent watch missed counts as told 6 s after it fell silent, whether or not the service can be reached then. */
    @Test void behindASilentWatchARefusalRenewsNothingUntilTheListIsConfirmed() {
        ListLease lease = asked();
        lease.confirmed(START + 3 * S);
        lease.watchEnded(START + 6 * S, true);
        lease.refused(START + 7 * S);
        assertEquals(START + 9 * S, lease.endsAt());
        lease.confirmed(START + 10 * S);
        lease.watchEnded(START + 11 * S, false);
        lease.refused(START + 12 * S);
        assertEquals(START + 18 * S, lease.endsAt());
    }

    /**
     * Without a watch a list binds for the settings' pause from the last call, four times as long once that has failed, and never
     * for more than 6 s; with one, whatever the pause, for 6 s from its last line.
     */
    @Property(seed = "38") void withoutAWatchItIsNeverLongerThanTheSettingsAllow(@ForAll @LongRange(min = 1, max = 20_000) long askEveryMs) {
        ListLease lease = ListLease.asked(START, askEveryMs * MS, CALL, true);
        lease.confirmed(START + S);
        assertEquals(START + 7 * S, lease.endsAt());
        lease.watchEnded(START + 2 * S, false);
        long most = Math.min(6 * S, (askEveryMs * MS > CALL ? 4 : 1) * askEveryMs * MS);
        assertEquals(START + S + most, lease.endsAt());
        assertEquals(most, lease.provenForNs());
    }

    /** Each call that fails behind a watch says no more of the watch: what was proved since it ended goes on counting. */
    @Test void furtherFailuresTakeNoProofsBack() {
        ListLease lease = asked();
        lease.confirmed(START + 3 * S);
        lease.watchEnded(START + 4 * S, true);
        lease.watchEnded(START + 6 * S, false);
        assertEquals(START + 4 * S, lease.provenSince());
        lease.refused(START + 7 * S);
        assertEquals(START + 9 * S, lease.endsAt(), "it was silence that ended it");
    }

    /** Where lists are pushed, what the agent has counts as told at once where no watch is open. */
    @Test void wherePushedAListBindsNoLongerThanItsWatch() {
        ListLease lease = ListLease.pushed(START, 500 * MS, true);
        assertEquals(START, lease.endsAt());
        lease.confirmed(START + 3 * S);
        assertEquals(START + 9 * S, lease.endsAt(), "a watch that is not known to be silent");
        lease.watchEnded(START + 4 * S, false);
        assertEquals(START + 4 * S, lease.endsAt());
        assertEquals(250 * MS, lease.provenForNs(), "half of the grace to stop sending");
        lease.refused(START + 5 * S);
        assertEquals(START + 5 * S, lease.endsAt(), "an agent that is down learns nothing, and tells at once what it gets");
    }

    @Test void wherePushedASilentWatchBindsAsOneThatIsAskedFor() {
        ListLease lease = ListLease.pushed(START, 500 * MS, true);
        lease.confirmed(START + 3 * S);
        lease.watchEnded(START + 6 * S, true);
        assertEquals(START + 6 * S, lease.endsAt());
    }

    /** It may have had changes while it was up and crowded; that it is down now takes none of them back. */
    @Test void behindACallThatWasTurnedAwayARefusalRenewsNothing() {
        ListLease lease = asked();
        lease.confirmed(START + 3 * S);
        lease.watchEnded(START + 4 * S, false);
        lease.refused(START + 5 * S);
        lease.unanswered();
        lease.refused(START + 20 * S);
        assertEquals(START + 11 * S, lease.endsAt());
    }

    @Test void aRefusalSaysNothingOfAListOfUnknownAge() {
        ListLease lease = asked();
        lease.refused(START + S);
        assertEquals(START, lease.endsAt());
    }
}
