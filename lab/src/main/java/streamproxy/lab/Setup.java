package streamproxy.lab;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import picocli.CommandLine.Option;

/** What the measuring commands have in common: which router, with which flags. */
public final class Setup {
    /** As in deploy/balancer.toml; the heap is the measured thing, so it is the same. */
    public static final String FLAGS = "-Djava.net.preferIPv4Stack=true -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xms48m -Xmx48m -Xmn24m -XX:MaxMetaspaceSize=32m "
            + "-XX:ReservedCodeCacheSize=24m -XX:MaxDirectMemorySize=16m -Djdk.nio.maxCachedBufferSize=16384 -Xshare:auto "
            + "-XX:-UsePerfData";

    @Option(names = "--jar", paramLabel = "FILE", defaultValue = "router/target/streamproxy.jar",
            description = "The router's jar; ${DEFAULT-VALUE} by default.")
    Path jar;

    @Option(names = "--flags", paramLabel = "FLAGS", defaultValue = FLAGS,
            description = "Its JVM's flags; those of the deploy file by default.")
    String flags;

    @Option(names = "--memory-mb", defaultValue = "192", description = "The memory its configuration states; ${DEFAULT-VALUE} by default.")
    int memoryMb;

    @Option(names = "--core", paramLabel = "N", description = "Binds the router to that core (taskset); to none by default.")
    Integer core;

    @Option(names = "--busy", defaultValue = "100", description = "Busy clients; ${DEFAULT-VALUE} by default.")
    int busy;

    @Option(names = "--per-s", defaultValue = "500", description = "Requests a second from all of them; ${DEFAULT-VALUE} by default.")
    double perS;

    @Option(names = "--out", paramLabel = "FOLDER", description = "Where CSV files and charts go; nowhere by default.")
    Path out;

    @Option(names = "--json", description = "Prints JSON lines in place of tables.")
    boolean json;

    /** A router that keeps so many idle clients for an hour. */
    RouterProcess router(StandIns fleet, int clients, String more) throws IOException, InterruptedException {
        int descriptors = Math.min(descriptors(), (clients + busy) * 8 / 7 + 1500); // an eighth is for the model boxes
        String operator = String.format(Locale.ROOT, "[connections]%nclients_most = %d%nclient_idle_s = 3600%n%s%n", clients + busy + 20, more);
        List<String> bound = core == null ? List.of() : List.of("taskset", "-c", String.valueOf(core));
        return RouterProcess.start(bound, jar, flags, descriptors, memoryMb, operator, fleet);
    }

    /** The most descriptors that a process may hold here. */
    static int descriptors() throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/self/limits"))) {
            if (line.startsWith("Max open files")) {
                String hard = line.replaceAll(" {2,}", "\t").split("\t")[2];
                return hard.equals("unlimited") ? Integer.MAX_VALUE : Integer.parseInt(hard);
            }
        }
        throw new IOException("no limit of open files in /proc/self/limits");
    }

    /** Memory that the kernel's caches of objects take, sockets among them, in KB: for all processes together. */
    static long slabKb() throws IOException {
        List<String> lines = Files.readAllLines(Path.of("/proc/meminfo"));
        return lines.stream().filter(line -> line.startsWith("Slab:")).mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                .findFirst().orElseThrow();
    }
}
