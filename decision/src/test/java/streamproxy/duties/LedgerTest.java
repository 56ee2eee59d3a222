package streamproxy.duties;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import streamproxy.duties.Command.From;
import streamproxy.duties.Result.Why;

class LedgerTest {
    private static final LeaseTimes TERMS = new LeaseTimes(1_000, 50_000, 10);
    private static final Result DONE = new Result.Done();
    private Ledger ledger = new Ledger();

    private static From from(String member, long session, long number) { return new From(member, session, number); }

    private Result open(String member, long session, long folder, long start, boolean replace) {
        return ledger.apply(new Command.Open(from(member, session, 1), folder, start, TERMS, replace));
    }

    private static Result refused(Why why) { return new Result.Refused(why); }

    @Test void fencesGrowOverEveryHandOverRestartAndSnapshot() {
        open("a", 11, 1, 1, false);
        open("b", 21, 2, 1, false);
        assertEquals(new Result.Granted(1, true), ledger.apply(new Command.Take(from("a", 11, 2), "d", 0, 0)));
        assertEquals(DONE, ledger.apply(new Command.Release(from("a", 11, 3), "d", 1, "b")));
        assertEquals(new Result.Granted(2, true), ledger.apply(new Command.Take(from("b", 21, 2), "d", 1, 2)));
        ledger = new Ledger(ledger.image());
        open("a", 12, 1, 2, false);
        assertEquals(new Result.Granted(3, false), ledger.apply(new Command.Take(from("a", 12, 2), "d", 2, 3)));
        assertEquals(refused(Why.CHANGED), ledger.apply(new Command.Renew(from("b", 21, 3), "d", 2)));
    }

    @Test void aCommandThatComesTwiceIsDoneOnceAndAnsweredAlike() {
        open("a", 11, 1, 1, false);
        Command take = new Command.Take(from("a", 11, 2), "d", 0, 0);
        Result first = ledger.apply(take);
        Ledger.Image before = ledger.image();
        assertEquals(first, ledger.apply(take));
        ledger = new Ledger(ledger.image());
        assertEquals(first, ledger.apply(take), "over a snapshot, too");
        assertEquals(before, ledger.image());
        for (int number = 3; number < 3 + Ledger.ANSWERS; number++) {
            ledger.apply(new Command.Renew(from("a", 11, number), "d", 1));
        }
        assertEquals(refused(Why.TOO_OLD), ledger.apply(take), "known no more, and still not done again");
    }

    @Test void aMemberThatHasAskedForNothingYetIsKnownOverASnapshot() {
        open("a", 11, 1, 1, false);
        ledger = new Ledger(ledger.image());
        assertEquals(new Result.Granted(1, true), ledger.apply(new Command.Take(from("a", 11, 2), "d", 0, 0)));
    }

    @Test void earlierProcessesOtherFoldersAndOtherTermsAreRefusedPlainly() {
        assertEquals(DONE, open("a", 11, 1, 1, false));
        assertEquals(DONE, open("a", 12, 1, 2, false));
        assertEquals(refused(Why.NO_SESSION), open("a", 11, 1, 1, false), "the earlier process, heard late");
        assertEquals(refused(Why.NO_SESSION), open("a", 13, 1, 2, false), "one from a copy of the folder");
        assertEquals(refused(Why.NO_SESSION), ledger.apply(new Command.Take(from("a", 11, 2), "d", 0, 0)));
        assertEquals(refused(Why.OTHER_FOLDER), open("a", 14, 9, 7, false));
        assertEquals(refused(Why.OTHER_TERMS), ledger.apply(new Command.Open(from("b", 21, 1), 2, 1, new LeaseTimes(2_000, 0, 0), false)));
        long epoch = ledger.epoch();
        assertEquals(DONE, open("a", 14, 9, 1, true));
        assertEquals(epoch + 1, ledger.epoch(), "replaced by one with an empty folder");
    }

    @Test void whoLeavesForGoodHasNoSayAndItsDutyIsTakenOnceItHasLapsed() {
        open("a", 11, 1, 1, false);
        open("b", 21, 2, 1, false);
        ledger.apply(new Command.Take(from("a", 11, 2), "d", 0, 0));
        assertEquals(DONE, ledger.apply(new Command.Depart(from("b", 21, 2), "a")));
        assertEquals(refused(Why.NO_SESSION), ledger.apply(new Command.Renew(from("a", 11, 3), "d", 1)));
        assertEquals("a", ledger.duty("d").holder(), "it may act until its lease is over");
        assertEquals(new Result.Granted(2, false), ledger.apply(new Command.Take(from("b", 21, 3), "d", 1, 1)));
        assertEquals(DONE, open("a", 12, 5, 1, false), "its name may come again");
    }

    @Test void termsThatNoReckoningHoldsForAreRefused() {
        assertThrows(IllegalArgumentException.class, () -> new LeaseTimes(1_000, 50_000, 251));
        assertThrows(IllegalArgumentException.class, () -> new LeaseTimes(0, 0, 0));
        assertThrows(IllegalArgumentException.class, () -> new LeaseTimes(1_000, 200_001, 0));
        LeaseTimes odd = new LeaseTimes(999, 50_000, 0);
        assertTrue(odd.heldNs() <= 999 * 0.95 && odd.waitedNs() >= 999 * 1.05, "rounded to the safe side");
    }
}
