package streamproxy.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class RecentRequestIdsTest {
    private static final int FLOOD = 3 * RecentRequestIds.MOST;

    private final RecentRequestIds taken = new RecentRequestIds();

    /** At 137 requests a second or more the memory filled up, and from then on each request was closed unanswered. */
    @Test void aFullMemoryForgetsTheOldestAndGoesOn() {
        for (int i = 0; i < FLOOD; i++) {
            assertTrue(taken.add("id" + i), "id" + i);
        }
        for (int i = FLOOD - RecentRequestIds.MOST; i < FLOOD; i++) {
            assertFalse(taken.add("id" + i), "one that was taken lately is known: id" + i);
        }
        assertTrue(taken.add("id0"), "one of long ago is not");
    }

    /** A flood of new ids drove an id out within seconds, and its request ran twice. */
    @Test void aFloodOfNewIdsDrivesNoneOutWithinItsRequestsTime() {
        taken.add("first");
        for (int i = 0; i < 100_000; i++) { // 5,000 a second for 20 s
            taken.add("flood" + i);
        }
        assertFalse(taken.add("first"));
    }

    /** Against a plain queue of the last ids, with some that come again. */
    @Test void itKnowsJustTheLastIds() {
        SplittableRandom random = new SplittableRandom(7);
        ArrayDeque<Integer> last = new ArrayDeque<>();
        boolean[] known = new boolean[2 * FLOOD];
        for (int i = 0; i < 2 * FLOOD; i++) {
            int id = random.nextInt(known.length);
            assertEquals(!known[id], taken.add("id" + id), "the " + i + "th, id" + id);
            if (!known[id]) {
                known[id] = true;
                last.add(id);
                if (last.size() > RecentRequestIds.MOST) {
                    known[last.poll()] = false;
                }
            }
        }
    }
}
