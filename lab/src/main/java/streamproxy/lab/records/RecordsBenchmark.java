package streamproxy.lab.records;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.TearDown;
import streamproxy.records.Event;
import streamproxy.syslog.RecordQueue;

/** What a request's record costs whoever serves it: the event made and offered, as the router does it. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class RecordsBenchmark {
    private static final int QUEUE = 4_096;
    private static final long REST = 10_000L;

    /** Without syslog, with a collector that takes all, with one that takes nothing. */
    @Param({"off", "on", "dead"}) public String collector;

    private RecordQueue queue;
    private Thread sender;
    private volatile boolean over;
    private long number;

    /** Starts whoever takes the records. */
    @Setup(Level.Trial) public void start() {
        queue = collector.equals("off") ? null : new RecordQueue(QUEUE);
        over = false;
        sender = new Thread(() -> {
            while (!over) {
                while (queue.poll() != null) {
                    continue; // sent
                }
                LockSupport.parkNanos(REST);
            }
        });
        if (collector.equals("on")) {
            sender.start();
        }
    }

    @TearDown(Level.Trial) public void end() throws InterruptedException {
        over = true;
        sender.join();
    }

    /** One request with one attempt. */
    @Benchmark public boolean record() {
        if (queue == null) {
            return false;
        }
        number++;
        List<Event.Tried> tried = List.of(new Event.Tried("s-1", "ok", "list", number));
        queue.offer(new Event.Answered(System.currentTimeMillis(), "7f3a9c21e0b4d655", "chat", "", 7, Event.Final.SERVED, "s-1", "list", tried,
                3_000_000_000L, 1_000, 2_000, 3_000, number, 20, 0, 4_000, -1));
        return true;
    }
}
