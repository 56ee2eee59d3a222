package streamproxy.lab.timers;

import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** One thread, so many timers set for within the next ten minutes, as idle connections have them. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class TimersBenchmark {
    private static final long SPAN = 600_000_000_000L;
    /** Nothing falls due while it is measured: what moving on costs by itself. */
    private static final long FAR = 3_600_000_000_000L;
    private static final long TICK = 1L << 20;
    private static final int CHANGING = 1024;

    @Param({"wheel", "agrona", "netty", "heap", "scan"}) public String kind;

    @Param({"1000", "100000", "1000000"}) public int timers;

    private Kinds.Kind measured;
    private int next;
    private long now;
    private long[] spans;

    @Setup(Level.Iteration) public void set() {
        SplittableRandom random = new SplittableRandom(42);
        now = 0;
        next = 0;
        measured = Kinds.of(kind, timers);
        spans = new long[CHANGING];
        for (int i = 0; i < CHANGING; i++) {
            spans[i] = FAR + random.nextLong(SPAN);
        }
        for (int i = 0; i < timers; i++) {
            measured.set(i, FAR + random.nextLong(SPAN));
        }
    }

    /** Ends one timer and sets it anew: a connection was used. */
    @Benchmark public void change() {
        int one = next++ % timers;
        measured.end(one);
        measured.set(one, now + spans[one % CHANGING]);
    }

    /** Moves on by a tick in which nothing falls due. */
    @Benchmark public int tick() {
        now += TICK;
        if (now > FAR / 2) {
            now = TICK; // the kinds take a time that has passed as nothing to do; it is rare
        }
        return measured.advance(now);
    }
}
