package streamproxy.lab.timers;

import io.netty.util.HashedWheelTimer;
import io.netty.util.Timeout;
import io.netty.util.TimerTask;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import org.agrona.DeadlineTimerWheel;
import streamproxy.timing.TimerWheel;

/** The kinds of timers that are compared, each behind the same few calls. */
final class Kinds {
    /** Numbered timers. */
    interface Kind {
        void set(int timer, long at);

        void end(int timer);

        /** Moves on to that time; how many went off. */
        int advance(long now);
    }

    private static final long TICK = 1L << 20;

    private Kinds() { }

    static Kind of(String kind, int timers) {
        return switch (kind) {
            case "wheel" -> new Wheel(timers);
            case "agrona" -> new Agrona(timers);
            case "netty" -> new Netty(timers);
            case "heap" -> new Heap(timers);
            case "scan" -> new Scan(timers);
            default -> throw new IllegalArgumentException(kind);
        };
    }

    private static final class Wheel implements Kind {
        private final TimerWheel wheel = new TimerWheel(20, 0);
        private final TimerWheel.Timer[] all;
        private int fired;

        Wheel(int timers) {
            all = new TimerWheel.Timer[timers];
            for (int i = 0; i < timers; i++) {
                all[i] = new TimerWheel.Timer() {
                    @Override protected void due(long now) { fired++; }
                };
            }
        }

        @Override public void set(int timer, long at) { wheel.set(all[timer], at); }

        @Override public void end(int timer) { wheel.end(all[timer]); }

        @Override public int advance(long now) {
            wheel.advance(now);
            return fired;
        }
    }

    /** Slots of an array a spoke; the id says where, so ending is a write. Its manual wants the poll repeated a tick. */
    private static final class Agrona implements Kind {
        private final DeadlineTimerWheel wheel;
        private final long[] ids;

        Agrona(int timers) {
            wheel = new DeadlineTimerWheel(TimeUnit.NANOSECONDS, 0, TICK, 4096,
                    Math.max(16, Integer.highestOneBit(timers / 2048 + 1)));
            ids = new long[timers];
        }

        @Override public void set(int timer, long at) { ids[timer] = wheel.scheduleTimer(at); }

        @Override public void end(int timer) { wheel.cancelTimer(ids[timer]); }

        @Override public int advance(long now) {
            return wheel.poll(now, (unit, at, id) -> true, Integer.MAX_VALUE);
        }
    }

    /**
     * Netty's has a thread of its own and no call to move on: a change is measured as its caller sees it, the tick is
     * left out, as what its thread does meanwhile cannot be timed from outside.
     */
    private static final class Netty implements Kind, TimerTask {
        private static final HashedWheelTimer TIMER = new HashedWheelTimer(runnable -> {
            Thread thread = new Thread(runnable, "netty timer");
            thread.setDaemon(true);
            return thread;
        }, 1, TimeUnit.MILLISECONDS, 4096);

        private final Timeout[] all;

        Netty(int timers) { all = new Timeout[timers]; }

        @Override public void set(int timer, long at) { all[timer] = TIMER.newTimeout(this, at, TimeUnit.NANOSECONDS); }

        @Override public void end(int timer) { all[timer].cancel(); }

        @Override public int advance(long now) { return 0; }

        @Override public void run(Timeout timeout) { }
    }

    /** What the module's actor had: what is ended stays until it falls due. */
    private static final class Heap implements Kind {
        private record Due(long at, int timer) { }

        private final PriorityQueue<Due> heap = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
        private final Due[] all;

        Heap(int timers) { all = new Due[timers]; }

        @Override public void set(int timer, long at) {
            all[timer] = new Due(at, timer);
            heap.add(all[timer]);
            if (heap.size() > 4 * all.length) {
                heap.poll(); // in service the ended ones leave when they fall due; here no time passes
            }
        }

        @Override public void end(int timer) { all[timer] = null; }

        @Override public int advance(long now) {
            int fired = 0;
            while (!heap.isEmpty() && heap.peek().at <= now) {
                Due due = heap.poll();
                fired += all[due.timer] == due ? 1 : 0;
            }
            return fired;
        }
    }

    /** What the watch of quiet connections did: a look at each. */
    private static final class Scan implements Kind {
        private final long[] all;

        Scan(int timers) { all = new long[timers]; }

        @Override public void set(int timer, long at) { all[timer] = at; }

        @Override public void end(int timer) { all[timer] = Long.MAX_VALUE; }

        @Override public int advance(long now) {
            int fired = 0;
            for (long at : all) {
                fired += at <= now ? 1 : 0;
            }
            return fired;
        }
    }
}
