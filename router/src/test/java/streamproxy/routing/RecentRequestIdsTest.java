package streamproxy.routing;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class RecentRequestIdsTest {
    /** At 137 requests a second or more the memory filled up, and from then on each request was closed unanswered. */
    @Test void aFullMemoryForgetsTheOldestAndGoesOn() {
        RecentRequestIds taken = new RecentRequestIds();
        for (int i = 0; i < 20_000; i++) {
            assertTrue(taken.add("id" + i), "id" + i);
        }
        assertFalse(taken.add("id19999"), "one that was taken lately is known");
        assertFalse(taken.add("id12000"));
        assertTrue(taken.add("id0"), "one of long ago is not");
    }
}
