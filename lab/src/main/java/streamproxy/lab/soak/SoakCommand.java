package streamproxy.lab.soak;

import java.io.IOException;
import java.nio.file.Files;
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
        footer = {"", "Exit codes: 0 no rule was broken, 1 one was, 2 wrong usage.", "", "Examples:",
                "  lab soak --seed 1 --lives 50 --at-once 3 --out out", "  lab soak --seed 17 --out out     # one life alone"})
public final class SoakCommand implements Callable<Integer> {
    @Option(names = "--seed", defaultValue = "1", description = "Of the first life; those after it count on. ${DEFAULT-VALUE} by default.")
    private long seed;

    @Option(names = "--lives", defaultValue = "1", description = "How many are played; ${DEFAULT-VALUE} by default.")
    private int lives;

    @Option(names = "--at-once", defaultValue = "1", description = "How many are played at a time; ${DEFAULT-VALUE} by default.")
    private int atOnce;

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
        List<SoakRun.Outcome> outcomes = play(jar, flags, seed, lives, atOnce, folder);
        outcomes.forEach(SoakCommand::print);
        long broken = outcomes.stream().filter(outcome -> !outcome.breaks().isEmpty()).count();
        System.out.printf("%d lives, %d with a break (%d breaks), %d requests, %d of them crossed by a close; logs in %s%n", outcomes.size(), broken,
                outcomes.stream().mapToInt(outcome -> outcome.breaks().size()).sum(), outcomes.stream().mapToInt(SoakRun.Outcome::requests).sum(),
                outcomes.stream().mapToInt(SoakRun.Outcome::crossed).sum(), folder);
        return broken == 0 ? 0 : 1;
    }

    /** Plays so many lives with seeds from that one on. */
    static List<SoakRun.Outcome> play(Path jar, String flags, long seed, int lives, int atOnce, Path folder) throws Exception {
        List<String> command = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString()));
        command.addAll(Arrays.stream(flags.split(" ")).filter(flag -> !flag.isBlank()).toList());
        command.addAll(List.of("-jar", jar.toAbsolutePath().toString(), "serve"));
        ExecutorService players = Executors.newFixedThreadPool(atOnce);
        try {
            List<Future<SoakRun.Outcome>> under = new ArrayList<>();
            for (long life = seed; life < seed + lives; life++) {
                SoakRun run = run(life, command, folder);
                under.add(players.submit(run::play));
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

    private static SoakRun run(long life, List<String> command, Path folder) throws IOException {
        return new SoakRun(SoakPlan.of(life), command, folder.resolve("seed-" + life));
    }

    private static void print(SoakRun.Outcome outcome) {
        System.out.printf("seed %d: %d requests, %d served, %d refused, %d failed, %d crossed, ended %d ms after SIGTERM, %d breaks%n", outcome.seed(),
                outcome.requests(), outcome.served(), outcome.refused(), outcome.failed(), outcome.crossed(), outcome.endedAfterMs(), outcome.breaks().size());
        outcome.breaks().forEach(found -> System.out.println("  " + found));
    }
}
