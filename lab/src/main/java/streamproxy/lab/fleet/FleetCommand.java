package streamproxy.lab.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.StringJoiner;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code fleet}. */
@Command(name = "fleet", mixinStandardHelpOptions = true,
        description = {"Starts a fleet of real routers on loopback, plays a plan of faults, and judges what its stand-ins saw.",
                "The last line of standard output is one JSON object; all else is kept in the folder, each fleet in one by its seed."},
        footer = {"", "Exit codes: 0 no breach of a guarantee, 1 a breach or a failure, 2 wrong usage.", "", "Example:",
                "  lab fleet --plan duties --routers 5 --seconds 60 --seed 7 --out out"})
public final class FleetCommand implements Callable<Integer> {
    @Option(names = "--plan", defaultValue = "duties", paramLabel = "NAME|FILE.ini", description = "What fails; ${DEFAULT-VALUE} by default.")
    private String plan;

    @Option(names = "--routers", defaultValue = "3", description = "How many; ${DEFAULT-VALUE} by default.")
    private int routers;

    @Option(names = "--seconds", defaultValue = "60", description = "For how long faults are begun; ${DEFAULT-VALUE} by default.")
    private int seconds;

    @Option(names = "--lease-s", defaultValue = "1", description = "The lease; ${DEFAULT-VALUE} by default.")
    private double leaseS;

    @Option(names = "--fleets", defaultValue = "1", description = "How many fleets are played at once, with seeds from --seed on; ${DEFAULT-VALUE} by default.")
    private int fleets;

    @Option(names = "--seed", defaultValue = "1", description = "Draws the faults; ${DEFAULT-VALUE} by default.")
    private long seed;

    @Option(names = "--act-ms", defaultValue = "4", description = "Pause between acts; times without a holder are known to so much; ${DEFAULT-VALUE} by default.")
    private long actMs;

    @Option(names = "--out", required = true, paramLabel = "FOLDER", description = "Where everything is kept; must be empty or not there.")
    private Path out;

    @Option(names = "--jar", defaultValue = "fleet/target/streamproxy-fleet.jar", paramLabel = "FILE",
            description = "The fleet's jar; ${DEFAULT-VALUE} by default.")
    private Path jar;

    @Override public Integer call() throws Exception {
        List<Play> plays = new ArrayList<>();
        List<Callable<Audit.Found>> runs = new ArrayList<>();
        for (int i = 0; i < fleets; i++) {
            Play play = new Play(jar.toAbsolutePath(), routers, leaseS, seed + i, actMs, out.toAbsolutePath().resolve(String.valueOf(seed + i)));
            plays.add(play);
            runs.add(() -> play.run(plan, seconds));
        }
        ExecutorService threads = Executors.newFixedThreadPool(fleets);
        List<Audit.Found> found = new ArrayList<>();
        List<String> broken = new ArrayList<>();
        try {
            for (Future<Audit.Found> one : threads.invokeAll(runs)) {
                try {
                    found.add(one.get());
                } catch (ExecutionException e) {
                    broken.add(String.valueOf(e.getCause()));
                    System.err.println("fleet " + (seed + found.size() + broken.size() - 1) + ": " + e.getCause());
                }
            }
        } finally {
            threads.shutdownNow();
        }
        write(plays);
        FaultChart.handOvers(plays.stream().flatMap(one -> one.handOvers().stream()).toList(), leaseS, out);
        System.out.println(summary(plays, found, broken));
        return broken.isEmpty() && found.stream().allMatch(one -> one.breaches().isEmpty()) ? 0 : 1;
    }

    /** {@code hand-overs.csv}: each of them, for whoever would count again. */
    private void write(List<Play> plays) throws IOException {
        try (CSVPrinter csv = new CSVPrinter(Files.newBufferedWriter(out.resolve("hand-overs.csv")), CSVFormat.DEFAULT)) {
            csv.printRecord("lease_s", "routers", "seed", "fault", "ms");
            for (Play play : plays) {
                for (Play.HandOver one : play.handOvers()) {
                    csv.printRecord(leaseS, routers, one.seed(), word(one.kind()), one.ms());
                }
            }
        }
    }

    private static String word(Plan.Kind kind) { return kind.name().toLowerCase(Locale.ROOT); }

    private String summary(List<Play> plays, List<Audit.Found> found, List<String> broken) {
        Map<Plan.Kind, Integer> faults = new EnumMap<>(Plan.Kind.class);
        Map<Plan.Kind, Histogram> times = new EnumMap<>(Plan.Kind.class);
        for (Play play : plays) {
            play.faults().forEach((kind, n) -> faults.merge(kind, n, Integer::sum));
            play.handOvers().forEach(one -> times.computeIfAbsent(one.kind(), kind -> new Histogram(3)).recordValue(Math.max(0, one.ms())));
        }
        StringJoiner kinds = new StringJoiner(",", "{", "}");
        faults.forEach((kind, n) -> kinds.add("\"" + word(kind) + "\":" + n));
        StringJoiner each = new StringJoiner(",", "{", "}");
        times.forEach((kind, h) -> each.add(String.format(Locale.ROOT, "\"%s\":{\"n\":%d,\"p50\":%d,\"p99\":%d,\"most\":%d}", word(kind),
                h.getTotalCount(), h.getValueAtPercentile(50), h.getValueAtPercentile(99), h.getMaxValue())));
        Map<Integer, Long> breaches = found.stream().flatMap(one -> one.breaches().stream())
                .collect(Collectors.groupingBy(Audit.Breach::guarantee, TreeMap::new, Collectors.counting()));
        StringJoiner guarantees = new StringJoiner(",", "{", "}");
        breaches.forEach((guarantee, n) -> guarantees.add("\"" + guarantee + "\":" + n));
        return String.format(Locale.ROOT, "{\"plan\":\"%s\",\"seed\":%d,\"fleets\":%d,\"broken\":%d,\"routers\":%d,\"lease_s\":%s,\"faults\":%s,"
                + "\"hand_overs\":%d,\"acts\":%d,\"stale_refused\":%d,\"breaches\":%s,\"hand_over_ms\":%s}", plan.replace("\\", "/"), seed,
                fleets, broken.size(), routers, leaseS, kinds, plays.stream().mapToInt(one -> one.handOvers().size()).sum(),
                found.stream().mapToLong(Audit.Found::acts).sum(), found.stream().mapToLong(Audit.Found::stale).sum(), guarantees, each);
    }
}
