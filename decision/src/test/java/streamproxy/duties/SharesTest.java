package streamproxy.duties;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Whatever becomes of questions, answers and stewards, what members use together stays within what the box can bear. */
class SharesTest {
    /** What is broken on purpose. */
    private enum Flaw { NONE, FROM_THE_ANSWER, NEXT_STEWARD_DOES_NOT_WAIT }

    private static final long MS = 1_000_000L;
    private static final long LENGTH = 500 * MS;
    private static final int DRIFT_PPM = 50_000;
    private static final double ALL = 10;

    private static final class FromTheAnswer extends Share {
        FromTheAnswer() { super(DRIFT_PPM); }

        @Override long from(long asked, long answeredAt) { return answeredAt; }
    }

    private record Asked(int member, long number, double wants) { }

    private record Answered(int member, long number, Shares.Grant grant) { }

    private static double walk(long seed, Flaw flaw) {
        SplittableRandom random = new SplittableRandom(seed);
        int members = 2 + random.nextInt(6);
        List<Share> shares = new ArrayList<>();
        for (int i = 0; i < members; i++) {
            shares.add(flaw == Flaw.FROM_THE_ANSWER ? new FromTheAnswer() : new Share(DRIFT_PPM));
        }
        List<Asked> asked = new ArrayList<>();
        List<Answered> answered = new ArrayList<>();
        long now = 0;
        double stewardRate = rate(random);
        Shares steward = new Shares(ALL, LENGTH, DRIFT_PPM, 0, true);
        double[] rates = random.doubles(members).map(d -> 0.95 + 0.1 * d).toArray();
        double most = 0;
        for (int step = 0; step < 400; step++) {
            now += random.nextLong(40 * MS);
            int who = random.nextInt(members);
            switch (random.nextInt(12)) {
                case 0 -> { // another steward, whose clock is another
                    stewardRate = rate(random);
                    steward = new Shares(ALL, LENGTH, DRIFT_PPM, (long) (now * stewardRate), flaw == Flaw.NEXT_STEWARD_DOES_NOT_WAIT);
                }
                case 1 -> {
                    if (!asked.isEmpty()) {
                        asked.remove(0);
                    }
                }
                case 2 -> {
                    if (!answered.isEmpty()) {
                        answered.remove(random.nextInt(answered.size()));
                    }
                }
                case 3, 4, 5, 6 -> asked.add(new Asked(who, shares.get(who).asks((long) (now * rates[who])), 12 * random.nextDouble()));
                case 7, 8, 9 -> {
                    if (!asked.isEmpty()) {
                        Asked a = asked.remove(random.nextInt(asked.size()));
                        answered.add(new Answered(a.member, a.number, steward.ask((long) (now * stewardRate), "r" + a.member, a.wants)));
                    }
                }
                default -> {
                    if (!answered.isEmpty()) {
                        Answered a = answered.remove(random.nextInt(answered.size()));
                        shares.get(a.member).granted((long) (now * rates[a.member]), a.number, a.grant);
                    }
                }
            }
            double used = 0;
            for (int i = 0; i < members; i++) {
                used += shares.get(i).perS((long) (now * rates[i]));
            }
            if (used > ALL + 1e-9) {
                throw new AssertionError("seed " + seed + ": " + used + " are in use at step " + step);
            }
            most = Math.max(most, used);
        }
        return most;
    }

    private static double rate(SplittableRandom random) { return 0.95 + 0.1 * random.nextDouble(); }

    @Test void whatIsOutNeverSumsToMoreThanTheBoxCanBear() {
        double most = 0;
        for (long seed = 1; seed <= 5_000; seed++) {
            most = Math.max(most, walk(seed, Flaw.NONE));
        }
        assertTrue(most > 0.9 * ALL, "nearly all is used at times: " + most);
    }

    @ParameterizedTest @EnumSource(names = "NONE", mode = EnumSource.Mode.EXCLUDE)
    void whatIsBrokenIsFound(Flaw flaw) {
        AssertionError found = null;
        for (long seed = 1; seed <= 5_000 && found == null; seed++) {
            try {
                walk(seed, flaw);
            } catch (AssertionError e) {
                found = e;
            }
        }
        assertNotNull(found, flaw + " was not found");
    }

    @Test void whoAsksForLittleGetsItAndTheOthersShareTheRest() {
        Shares shares = new Shares(ALL, LENGTH, DRIFT_PPM, 0, true);
        assertEquals(1, shares.ask(0, "a", 1).perS(), 1e-9);
        assertEquals(9, shares.ask(0, "b", 20).perS(), 1e-9, "nobody else has asked");
        assertEquals(0, shares.ask(0, "c", 20).perS(), 1e-9, "what is out is not given twice");
        assertEquals(4.5, shares.ask(300 * MS, "b", 20).perS(), 1e-9, "b's next share leaves room for c");
        assertEquals(10, shares.out(300 * MS), 1e-9, "and its larger one counts until it has lapsed");
        assertEquals(5, shares.ask(600 * MS, "c", 20).perS(), 1e-9, "half, as two ask for more");
        assertEquals(0, shares.out(10 * LENGTH), 1e-9, "all lapse by themselves");
    }

    @Test void aStewardAfterAnotherGivesNothingUntilWhatWasOutHasLapsed() {
        Shares next = new Shares(ALL, LENGTH, DRIFT_PPM, 0, false);
        assertEquals(0, next.ask(LENGTH, "a", 5).perS(), 1e-9);
        assertEquals(5, next.ask(2 * LENGTH, "a", 5).perS(), 1e-9);
    }
}
