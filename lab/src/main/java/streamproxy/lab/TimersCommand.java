package streamproxy.lab;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import org.openjdk.jmh.results.RunResult;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import streamproxy.lab.timers.TimersBenchmark;

/** {@code timers}: what setting, ending and moving on cost with each kind of timer, by how many are set. */
@Command(name = "timers", mixinStandardHelpOptions = true, versionProvider = Lab.Version.class,
        description = {"Measures (JMH) what a timer costs: to set and end one, and to move on by a tick in which none falls due,",
                "with 1000, 100000 and 1000000 set; the router's wheel beside Agrona's, Netty's, a heap and a scan."},
        footer = {"", "Example:", "  lab timers --seconds 1 --out docs/measurements"})
final class TimersCommand implements Callable<Integer> {
    @Option(names = "--seconds", defaultValue = "1", description = "Length of an iteration; ${DEFAULT-VALUE} by default.")
    private int seconds;

    @Option(names = "--iterations", defaultValue = "3", description = "Counted iterations; ${DEFAULT-VALUE} by default.")
    private int iterations;

    @Option(names = "--out", paramLabel = "FOLDER", description = "Where timers.csv and timers-*.png go; nowhere by default.")
    private Path out;

    @Option(names = "--json", description = "Prints JSON lines in place of a table.")
    private boolean json;

    @Override public Integer call() throws Exception {
        Collection<RunResult> runs = new Runner(new OptionsBuilder().include(TimersBenchmark.class.getName()).forks(1)
                .warmupIterations(2).warmupTime(TimeValue.seconds(seconds)).measurementIterations(iterations)
                .measurementTime(TimeValue.seconds(seconds)).jvmArgs("-Xms2g", "-Xmx2g").build()).run();
        Results results = new Results("operation", "kind", "timers", "ns", "error_ns");
        Map<String, Map<String, List<double[]>>> lines = new TreeMap<>();
        for (RunResult run : runs) {
            String label = run.getPrimaryResult().getLabel();
            String kind = run.getParams().getParam("kind");
            int timers = Integer.parseInt(run.getParams().getParam("timers"));
            if (label.equals("tick") && kind.equals("netty")) {
                continue; // it moves on by a thread of its own, which nothing here can time
            }
            double ns = run.getPrimaryResult().getScore();
            results.add(label, kind, timers, ns, run.getPrimaryResult().getScoreError());
            lines.computeIfAbsent(label, l -> new LinkedHashMap<>()).computeIfAbsent(kind, k -> new ArrayList<>())
                    .add(new double[] {timers, Math.max(0.1, ns)});
        }
        System.out.println(results.text(json));
        if (out != null) {
            results.csv(out, "timers");
            for (Map.Entry<String, Map<String, List<double[]>>> e : lines.entrySet()) {
                Results.chart(out, "timers-" + e.getKey(), "Cost of " + e.getKey(), "timers set", "ns an operation", true, e.getValue());
            }
        }
        return 0;
    }
}
