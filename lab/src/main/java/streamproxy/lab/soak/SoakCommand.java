package streamproxy.lab.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import streamproxy.lab.Setup;

/** {@code soak}. */
@Command(name = "soak", mixinStandardHelpOptions = true,
        description = {"Plays short lives of a router as a real process under load: clients use each connection for as long as it is open,",
                "signals and operators' calls come in series, and the kill comes at its earliest. Each life is drawn from a seed and judged."},
        footer = {"", "Exit codes: 0 no rule was broken, 1 one was, 2 wrong usage, 3 faults that cannot be read.", "", "Examples:",
                "  lab soak --seed 1 --lives 50 --at-once 3 --out out", "  lab soak --seed 17 --out out     # one life alone",
                "  lab soak --seed 1 --lives 50 --routers 24 --out out     # fleets under faults"})
public final class SoakCommand implements Callable<Integer> {
    private static final int UNUSABLE = 3;

    @Option(names = "--seed", defaultValue = "1", description = "Of the first life; those after it count on. ${DEFAULT-VALUE} by default.")
    private long seed;

    @Option(names = "--lives", defaultValue = "1", description = "How many are played; ${DEFAULT-VALUE} by default.")
    private int lives;

    @Option(names = "--at-once", defaultValue = "1", description = "How many are played at a time; ${DEFAULT-VALUE} by default.")
    private int atOnce;

    @Option(names = "--routers", defaultValue = "0", paramLabel = "N",
            description = "Plays that many routers beside each other in each life, over the same replicas, while system calls and links fail; "
                    + "0, the default, plays one router without faults.")
    private int routers;

    @Option(names = "--replicas", defaultValue = "0", paramLabel = "N",
            description = "With --routers: so many replicas, with kills and want of threads as routers start, in place of a few behind "
                    + "proxies; 0, the default, for those.")
    private int replicas;

    @Option(names = "--faults", paramLabel = "FOLDER",
            description = "With --routers: plays the faults of an earlier run again, from its folder, in place of those that the seed draws.")
    private Path faults;

    @Option(names = "--jar", defaultValue = "router/target/streamproxy.jar", paramLabel = "FILE",
            description = "The router's jar; ${DEFAULT-VALUE} by default.")
    private Path jar;

    @Option(names = "--flags", defaultValue = Setup.FLAGS, paramLabel = "FLAGS",
            description = "Its JVM's flags; those of the deploy file by default.")
    private String flags;

    @Option(names = "--out", paramLabel = "FOLDER", description = "Where the processes' logs are kept; a temporary folder by default.")
    private Path out;

    @Override public Integer call() throws Exception {
        Path folder = out == null ? Files.createTempDirectory("streamproxy-soak") : out;
        if (routers > 0) {
            return playFleets(folder);
        }
        List<SoakRun.Outcome> outcomes = play(jar, flags, seed, lives, atOnce, folder);
        outcomes.forEach(SoakCommand::print);
        long broken = outcomes.stream().filter(outcome -> !outcome.breaks().isEmpty()).count();
        System.out.printf("%d lives, %d with a break (%d breaks), %d requests, %d of them crossed by a close; logs in %s%n", outcomes.size(), broken,
                outcomes.stream().mapToInt(outcome -> outcome.breaks().size()).sum(), outcomes.stream().mapToInt(SoakRun.Outcome::requests).sum(),
                outcomes.stream().mapToInt(SoakRun.Outcome::crossed).sum(), folder);
        return broken == 0 ? 0 : 1;
    }

    private int playFleets(Path folder) throws Exception {
        int broken = 0;
        for (long life = seed; life < seed + lives; life++) {
            List<FaultPlan> plans;
            try {
                plans = faults == null ? FleetSoak.draw(life, routers) : plans(faults, routers);
            } catch (FaultPlan.Malformed | NoSuchFileException e) {
                System.err.println("lab soak: " + e.getMessage());
                return UNUSABLE;
            }
            Path own = Files.createDirectories(folder.resolve("seed-" + life));
            FleetSoak.Outcome outcome = replicas > 0 ? new LargeFleetSoak(life, routers, replicas, command(jar, flags), own).play()
                    : new FleetSoak(life, plans, command(jar, flags), own).play();
            System.out.printf("seed %d: %d routers, %d requests, %d served, %d late by the lab, %d breaks%n", life, routers, outcome.requests(),
                    outcome.served(), outcome.late(), outcome.breaks().size());
            outcome.breaks().forEach(found -> System.out.println("  " + found));
            broken += outcome.breaks().isEmpty() ? 0 : 1;
        }
        System.out.printf("%d fleets, %d with a break; logs in %s%n", lives, broken, folder);
        return broken == 0 ? 0 : 1;
    }

    /** The faults that a run's folder has written down. */
    private static List<FaultPlan> plans(Path folder, int routers) throws IOException, FaultPlan.Malformed {
        List<FaultPlan> plans = new ArrayList<>();
        for (int router = 0; router < routers; router++) {
            plans.add(FaultPlan.read(Files.readAllLines(folder.resolve("router-" + router).resolve("plan.txt"))));
        }
        return plans;
    }

    /** What starts a router of that jar. */
    static List<String> command(Path jar, String flags) {
        List<String> command = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString()));
        command.addAll(Arrays.stream(flags.split(" ")).filter(flag -> !flag.isBlank()).toList());
        command.addAll(List.of("-jar", jar.toAbsolutePath().toString(), "serve"));
        return command;
    }

    /** Plays so many lives with seeds from that one on. */
    static List<SoakRun.Outcome> play(Path jar, String flags, long seed, int lives, int atOnce, Path folder) throws Exception {
        List<String> command = command(jar, flags);
        ExecutorService players = Executors.newFixedThreadPool(atOnce);
        try {
            List<Future<SoakRun.Outcome>> under = new ArrayList<>();
            for (long life = seed; life < seed + lives; life++) {
                SoakPlan plan = SoakPlan.of(life);
                Path own = folder.resolve("seed-" + life);
                under.add(players.submit(() -> SoakRun.alone(plan, command, own)));
            }
            List<SoakRun.Outcome> outcomes = new ArrayList<>();
            for (Future<SoakRun.Outcome> future : under) {
                outcomes.add(future.get());
            }
            return outcomes;
        } finally {
            players.shutdownNow();
        }
    }

    private static void print(SoakRun.Outcome outcome) {
        System.out.printf("seed %d: %d requests, %d served, %d refused, %d failed, %d crossed, %d copies answered, ended %d ms after SIGTERM, %d breaks%n",
                outcome.seed(), outcome.requests(), outcome.served(), outcome.refused(), outcome.failed(), outcome.crossed(), outcome.copied(),
                outcome.endedAfterMs(), outcome.breaks().size());
        outcome.breaks().forEach(found -> System.out.println("  " + found));
    }
}
