package streamproxy.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import streamproxy.duties.Command;
import streamproxy.duties.Ledger;
import streamproxy.duties.Presence;
import streamproxy.duties.Result;
import streamproxy.duties.LeaseTimes;

/** One member's duties against a ledger in the same thread: what it sends, and what it tells its router of who lives. */
class DutiesTest {
    private static final long LEASE = 1_000_000_000L;
    private static final LeaseTimes TERMS = new LeaseTimes(LEASE, 1_000, 10_000_000L);

    private final Ledger ledger = new Ledger();
    private final List<Command> sent = new ArrayList<>();
    private final List<MemberDivision> told = new ArrayList<>();
    private long now = 1_000 * LEASE;
    private long at;
    private Duties duties;

    @BeforeEach void open() {
        ledger.apply(new Command.Open(new Command.From("r0", 5, 1), 1, 1, TERMS, false));
        duties = new Duties("r0", 5, TERMS, () -> now, (commands, from) -> sent.addAll(commands), (duty, before, state, fence) -> { }, told::add);
        duties.sees(ledger.duty(Presence.of("r0")));
    }

    private void turn() throws InterruptedException { assertTrue(duties.turn()); }

    /** Agrees on what was sent; the answer may be first, as from a leader, or the replica. */
    private void agree(boolean answerFirst) {
        for (Command command : List.copyOf(sent)) {
            Result result = ledger.apply(command);
            long place = ++at;
            if (answerFirst) {
                duties.answered(command, result, place);
            }
            duties.applied(ledger, Set.of(command.duty()), place);
            if (!answerFirst) {
                duties.answered(command, result, place);
            }
        }
        sent.clear();
    }

    @Test void aPresenceCountsOnceTheReplicaHasItAndOneThatComesWaitsALease() throws Exception {
        turn();
        Command take = sent.get(0);
        duties.answered(take, ledger.apply(take), 7);
        turn();
        assertFalse(told.stream().anyMatch(MemberDivision::settled));
        assertEquals(0, duties.living().view().live().size(), "the leader says so; nothing was applied here");
        duties.applied(ledger, Set.of(take.duty()), 7);
        sent.clear();
        turn();
        assertEquals(List.of("r0"), duties.living().view().live());
        assertFalse(duties.living().may(now), "it has just come");
        at = 7;
        for (long until = now + TERMS.waitedNs(); now < until; now += LEASE / 4) {
            turn();
            agree(true);
        }
        turn();
        assertTrue(duties.living().may(now));
        assertFalse(duties.living().may(now + LEASE), "not by what was told so far");
    }

    @Test void theDivisionIsToldAnewWhenItsClockIs() throws Exception {
        turn();
        agree(false);
        turn();
        int before = told.size();
        assertTrue(before > 0);
        duties.ahead(77);
        turn();
        assertEquals(before + 1, told.size());
        assertEquals(List.of("r0"), told.get(before).view().live());
    }

    @Test void whoseReplicaStopsHoldsNothingThoughTheLeaderStillAnswers() throws Exception {
        duties.seek("d", 0, 0);
        duties.sees(ledger.duty("d"));
        turn();
        agree(true);
        assertEquals(1, duties.fence("d"));
        duties.stopped();
        assertEquals(-1, duties.fence("d"));
        for (long until = now + 2 * LEASE; now < until; now += LEASE / 4) {
            turn();
            agree(true);
        }
        assertEquals(-1, duties.fence("d"));
        assertTrue(ledger.duty("d").isFree(), "it was given back");
    }

    @Test void whoLeavesGoesByNoDivisionFromThenOn() throws Exception {
        turn();
        agree(false);
        for (long until = now + TERMS.waitedNs(); now < until; now += LEASE / 4) {
            turn();
            agree(false);
        }
        turn();
        MemberDivision held = duties.living();
        assertTrue(held.may(now));
        duties.leaves();
        assertFalse(held.may(now), "what the router was told of before, too");
        turn();
        assertFalse(duties.living().settled());
    }
}
