package streamproxy.duties;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** A member that follows another's watch, through silences of each kind; and what such a member is told. */
class WatchFollowerTest {
    private static final long MS = 1_000_000;
    private static final long TICK = 50 * MS;
    private static final long LATEST = WatchFollower.WATCH_QUIET_NS + WatchFollower.STEPS_MOST_NS + 4 * TICK;

    /** One hour of a holder that dies, falls silent, loses its watch or is behind; when each version was known late, or -1. */
    private static long play(long seed, boolean heedsQuiet, boolean heedsBehind) {
        SplittableRandom random = new SplittableRandom(seed);
        WatchFollower follower = new WatchFollower(0);
        follower.rank(random.nextInt(30));
        long service = 1;
        long toldAt = 0;
        long mine = 1;
        long holders = 1;
        boolean answers = true;
        boolean watchLives = true;
        boolean goneBack = false;
        long aliveAt = 0;
        for (long now = 0; now < 3_600_000 * MS; now += TICK) {
            if (random.nextInt(200) == 0) {
                answers = random.nextInt(4) != 0;
                watchLives = random.nextInt(4) != 0;
                goneBack = random.nextInt(6) == 0;
            }
            if (random.nextInt(100) == 0) {
                service++;
                toldAt = mine < service - 1 ? toldAt : now; // since when something is not known
            }
            if (watchLives) {
                holders = goneBack ? 0 : service; // what it has lost it does not tell
                aliveAt = now / (2_000 * MS) * 2_000 * MS;
            }
            if (answers) {
                long quiet = heedsQuiet ? now - aliveAt : 0;
                follower.answered(now, now - random.nextLong(TICK), quiet, !heedsBehind || holders >= mine);
                mine = Math.max(mine, holders);
            }
            if (follower.own(now)) {
                mine = service;
            }
            if (mine < service && now - toldAt > LATEST) {
                return seed;
            }
        }
        return -1;
    }

    @Test void nothingComesMuchLaterThanByAWatchOfOnesOwn() {
        for (long seed = 0; seed < 300; seed++) {
            assertEquals(-1, play(seed, true, true), "seed " + seed);
        }
    }

    @Test void aFollowerThatHeedsNoQuietWatchOrNoOneBehindIsFound() {
        boolean quiet = false;
        boolean behind = false;
        for (long seed = 0; seed < 300; seed++) {
            quiet |= play(seed, false, true) >= 0;
            behind |= play(seed, true, false) >= 0;
        }
        assertTrue(quiet && behind);
    }

    @Test void aWatchIsKeptUntilTheHolderHasBeenGoodForAWhile() {
        WatchFollower follower = new WatchFollower(0);
        assertTrue(!follower.own(WatchFollower.SILENT_NS - 1) && follower.own(WatchFollower.SILENT_NS));
        long now = WatchFollower.SILENT_NS + MS;
        follower.answered(now, now, 0, true);
        assertTrue(follower.own(now) && follower.own(now + WatchFollower.SETTLED_NS - 1) && !follower.own(now + WatchFollower.SETTLED_NS));
    }

    /** Any follower, asking at any time, comes to know exactly the boxes that the service named last. */
    @Test void whoeverAsksIsToldAllThatItLacksOrThatItNeedsTheWhole() {
        for (long seed = 0; seed < 200; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            ListLog log = new ListLog();
            List<TreeSet<Integer>> states = new ArrayList<>(List.of(new TreeSet<>()));
            log.begin(0);
            for (int version = 1; version < 200; version++) {
                TreeSet<Integer> now = new TreeSet<>(states.get(version - 1));
                int box = random.nextInt(20);
                boolean in = !now.remove(box) && now.add(box);
                states.add(now);
                log.told(random.nextInt(30) == 0 ? new ListLog.Line(version, true, now.toString())
                        : new ListLog.Line(version, false, (in ? "+" : "-") + box + " ".repeat(random.nextInt(4_000))));
                int has = random.nextInt(version + 1);
                List<ListLog.Line> lines = log.since(has);
                if (lines == null) {
                    assertTrue(!log.whole(), "the whole list is there");
                } else {
                    assertEquals(now, taken(states.get(has), lines), "seed " + seed + " version " + version + " from " + has);
                }
            }
        }
        assertNull(new ListLog().since(-1));
    }

    private static TreeSet<Integer> taken(TreeSet<Integer> before, List<ListLog.Line> lines) {
        TreeSet<Integer> now = new TreeSet<>(before);
        for (ListLog.Line line : lines) {
            String text = line.text().strip();
            if (line.full()) {
                now.clear();
                List.of(text.replaceAll("[\\[\\] ]", "").split(",")).stream().filter(t -> !t.isEmpty()).forEach(t -> now.add(Integer.parseInt(t)));
            } else if (text.charAt(0) == '+') {
                now.add(Integer.parseInt(text.substring(1)));
            } else {
                now.remove(Integer.parseInt(text.substring(1)));
            }
        }
        return now;
    }
}
