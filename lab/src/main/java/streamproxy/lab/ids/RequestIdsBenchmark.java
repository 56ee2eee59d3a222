package streamproxy.lab.ids;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
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
import org.openjdk.jmh.annotations.TearDown;
import streamproxy.routing.RouterRequestIds;

/** What it costs a request to have its id remembered, by this process alone and by all processes of the router. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class RequestIdsBenchmark {
    private static final InetSocketAddress LISTEN = new InetSocketAddress("127.0.0.1", 9_400);

    /** Whether the processes have a folder in common. */
    @Param({"false", "true"}) public boolean shared;

    private Path folder;
    private RouterRequestIds ids;
    private long number;

    /** Opens them anew, with nothing in the folder. */
    @Setup(Level.Trial) public void open() throws IOException {
        folder = shared ? Files.createTempDirectory("request-ids") : null;
        ids = RouterRequestIds.open(folder, LISTEN);
    }

    /** Removes what was made. */
    @TearDown(Level.Trial) public void close() throws IOException {
        if (folder == null) {
            return;
        }
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(folder);
    }

    /** One new id, of the length that clients use. */
    @Benchmark public boolean add() { return ids.add(Long.toHexString(0x1000_0000_0000_0000L + number++)); }
}
