package streamproxy.lab;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** {@code start}: how long a router takes until it is ready, and what memory it has then. */
@Command(name = "start", mixinStandardHelpOptions = true, versionProvider = Lab.Version.class,
        description = {"Measures, in alternating runs, the time from a router's start until it is ready and its memory two seconds later,",
                "without an operator's file and, where its version knows one, with one."},
        footer = {"", "Example:", "  lab start --runs 10 --former /tmp/former/streamproxy.jar --out docs/measurements"})
final class StartCommand implements Callable<Integer> {
    private static final int BOXES = 4;
    private static final int DESCRIPTORS = 1024;

    @Mixin private Setup setup;

    @Option(names = "--runs", defaultValue = "10", description = "Runs of each; ${DEFAULT-VALUE} by default.")
    private int runs;

    @Option(names = "--former", paramLabel = "FILE", description = "The jar of a former version, to be measured beside.")
    private Path former;

    @Override public Integer call() throws Exception {
        Results results = new Results("router", "run", "ready_s", "cpu_s", "resident_kb", "threads");
        try (StandIns fleet = new StandIns(BOXES)) {
            for (int run = 1; run <= runs; run++) {
                if (former != null) {
                    measure("former", former, null, run, fleet, results);
                }
                measure("plain", setup.jar, null, run, fleet, results);
                measure("operator", setup.jar, "[connections]\nclient_idle_s = 10\n", run, fleet, results);
            }
        }
        System.out.println(results.text(setup.json));
        for (String router : List.of("former", "plain", "operator")) {
            List<Double> ready = results.figures("ready_s", "router", router).stream().sorted().toList();
            List<Double> resident = results.figures("resident_kb", "router", router).stream().sorted().toList();
            if (!ready.isEmpty() && !setup.json) {
                System.out.printf("%s: ready after %.3f s, %.1f MB (medians)%n", router, ready.get(ready.size() / 2),
                        resident.get(resident.size() / 2) / 1024);
            }
        }
        if (setup.out != null) {
            results.csv(setup.out, "start");
        }
        return 0;
    }

    private void measure(String name, Path jar, String operator, int run, StandIns fleet, Results results) throws Exception {
        long from = System.nanoTime();
        try (RouterProcess router = RouterProcess.start(jar, setup.flags, DESCRIPTORS, setup.memoryMb, operator, fleet)) {
            double ready = (System.nanoTime() - from) / 1e9;
            TimeUnit.SECONDS.sleep(2);
            results.add(name, run, ready, router.cpuS(), router.residentKb(), router.threads());
            Lab.progress(name + ", run " + run);
        }
    }
}
