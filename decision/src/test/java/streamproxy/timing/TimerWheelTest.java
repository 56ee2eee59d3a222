package streamproxy.timing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class TimerWheelTest {
    private static final int SHIFT = 18;
    private static final long TICK = 1L << SHIFT;
    private static final long DAY = 86_400_000_000_000L;

    private final List<String> rung = new ArrayList<>();

    private final class Bell extends TimerWheel.Timer {
        private final String name;
        private final Runnable then;
        private long at = -1;

        Bell(String name) { this(name, () -> { }); }

        Bell(String name, Runnable then) {
            this.name = name;
            this.then = then;
        }

        @Override protected void due(long now) {
            rung.add(name);
            at = now;
            then.run();
        }
    }

    /** A timer for each distance, from under a tick to months: none early, all within a tick. */
    @Test void eachGoesOffInItsTickWhateverItsDistance() {
        for (long distance : new long[] {0, 1, TICK, TICK + 1, 63 * TICK, 64 * TICK, 65 * TICK, 4095 * TICK, 4096 * TICK,
                (1L << 30) + 7, DAY, 90 * DAY}) {
            long start = 1_790_000_000_000_000_000L;
            TimerWheel wheel = new TimerWheel(SHIFT, start);
            wheel.advance(start + 12_345);
            Bell bell = new Bell("bell");
            wheel.set(bell, start + 12_345 + distance);
            while (bell.isSet()) {
                long next = wheel.nextAt();
                assertTrue(next < Long.MAX_VALUE);
                wheel.advance(next - 1);
                if (bell.isSet()) {
                    wheel.advance(next);
                }
            }
            long late = bell.at - (start + 12_345 + distance);
            assertTrue(late >= 0 && late <= 2 * TICK, "distance " + distance + ": late by " + late);
            assertEquals(Long.MAX_VALUE, wheel.nextAt());
        }
    }

    @Test void whatGoesOffMayEndTheNextAndSetItselfAgain() {
        TimerWheel wheel = new TimerWheel(SHIFT, 0);
        Bell second = new Bell("second");
        Bell[] first = new Bell[1];
        first[0] = new Bell("first", () -> {
            wheel.end(second);
            if (rung.size() < 3) {
                wheel.set(first[0], 0); // long past: with the next tick, not at once, else it would never end
            }
        });
        wheel.set(first[0], 5 * TICK);
        wheel.set(second, 5 * TICK);
        wheel.advance(6 * TICK);
        assertEquals(List.of("first", "first"), rung);
        wheel.advance(100 * TICK);
        assertEquals(List.of("first", "first", "first"), rung);
        assertEquals(0, wheel.size());
    }

    @Test void anEndedOneStaysSilentAndAMovedOneGoesOffOnce() {
        TimerWheel wheel = new TimerWheel(SHIFT, 0);
        Bell ended = new Bell("ended");
        Bell moved = new Bell("moved");
        wheel.set(ended, 70 * TICK);
        wheel.set(moved, 70 * TICK);
        wheel.set(moved, 5000 * TICK);
        assertTrue(wheel.end(ended));
        assertFalse(wheel.end(ended));
        wheel.advance(4999 * TICK);
        assertEquals(List.of(), rung);
        wheel.advance(5000 * TICK);
        assertEquals(List.of("moved"), rung);
    }

    /** One that throws must not take those behind it along, nor go off again. */
    @Test void oneThatThrowsLeavesTheWheelWhole() {
        TimerWheel wheel = new TimerWheel(SHIFT, 0);
        wheel.set(new Bell("bad", () -> {
            throw new IllegalStateException("bad");
        }), TICK);
        wheel.set(new Bell("good"), TICK);
        assertThrows(IllegalStateException.class, () -> wheel.advance(2 * TICK));
        wheel.advance(2 * TICK);
        assertEquals(List.of("bad", "good"), rung);
        assertEquals(0, wheel.size());
    }

    /** Against a sorted list, over some hundred thousand random steps in all; the seeds are jqwik's and printed by it. */
    @Property(tries = 60, seed = "4711") void itDoesWhatASortedListDoes(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        long now = random.nextLong(1L << 61);
        TimerWheel wheel = new TimerWheel(SHIFT, now);
        TreeMap<Long, List<Integer>> sorted = new TreeMap<>();
        Map<Integer, Long> ticks = new HashMap<>();
        List<Integer> heard = new ArrayList<>();
        long origin = now;
        TimerWheel.Timer[] timers = new TimerWheel.Timer[200];
        for (int i = 0; i < timers.length; i++) {
            int number = i;
            timers[i] = new TimerWheel.Timer() {
                @Override protected void due(long at) { heard.add(number); }
            };
        }
        long tick = 0;
        for (int step = 0; step < 5_000; step++) {
            int one = random.nextInt(timers.length);
            switch (random.nextInt(4)) {
                case 0, 1 -> {
                    long at = now + random.nextLong(1L << random.nextInt(10, 44)) - 1000;
                    remove(sorted, ticks, one);
                    long due = Math.max(tick + 1, Math.floorDiv(at - origin + TICK - 1, TICK));
                    ticks.put(one, due);
                    sorted.computeIfAbsent(due, t -> new ArrayList<>()).add(one);
                    wheel.set(timers[one], at);
                }
                case 2 -> assertEquals(remove(sorted, ticks, one), wheel.end(timers[one]));
                default -> {
                    now += random.nextLong(1L << random.nextInt(10, 40));
                    tick = (now - origin) / TICK;
                    wheel.advance(now);
                    List<Integer> expected = new ArrayList<>();
                    while (!sorted.isEmpty() && sorted.firstKey() <= tick) {
                        List<Integer> due = sorted.pollFirstEntry().getValue();
                        due.forEach(ticks::remove);
                        // Within one tick the order is open: both are compared as sets, tick by tick.
                        assertTrue(heard.size() >= expected.size() + due.size(), "not all went off");
                        List<Integer> got = new ArrayList<>(heard.subList(expected.size(), expected.size() + due.size()));
                        got.sort(null);
                        due.sort(null);
                        assertEquals(due, got);
                        expected.addAll(due);
                    }
                    assertEquals(expected.size(), heard.size(), "some went off early");
                    heard.clear();
                }
            }
            assertEquals(ticks.size(), wheel.size());
            if (sorted.isEmpty()) {
                assertEquals(Long.MAX_VALUE, wheel.nextAt());
            } else {
                assertTrue(wheel.nextAt() <= origin + sorted.firstKey() * TICK, "it would sleep past a timer");
            }
        }
    }

    private static boolean remove(TreeMap<Long, List<Integer>> sorted, Map<Integer, Long> ticks, int one) {
        Long tick = ticks.remove(one);
        if (tick == null) {
            return false;
        }
        List<Integer> there = sorted.get(tick);
        there.remove(Integer.valueOf(one));
        if (there.isEmpty()) {
            sorted.remove(tick);
        }
        return true;
    }
}
