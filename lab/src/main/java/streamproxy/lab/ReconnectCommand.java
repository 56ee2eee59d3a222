package streamproxy.lab;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** {@code reconnect}: all clients go and come back at once. */
@Command(name = "reconnect", mixinStandardHelpOptions = true, versionProvider = Lab.Version.class,
        description = {"Has all idle clients go in one moment and come back at once, as after a restart of a front layer, and measures",
                "how long it takes until all were answered again and what busy clients saw meanwhile."},
        footer = {"", "Example:", "  lab reconnect --clients 1000,5000,15000 --accepts-per-s 0,5000 --out docs/measurements"})
final class ReconnectCommand implements Callable<Integer> {
    private static final int BOXES = 4;

    @Mixin private Setup setup;

    @Option(names = "--clients", split = ",", defaultValue = "1000,5000,15000", description = "How many; ${DEFAULT-VALUE} by default.")
    private List<Integer> clients;

    @Option(names = "--accepts-per-s", split = ",", defaultValue = "0",
            description = "The pace at which the router takes them, 0 for none; ${DEFAULT-VALUE} by default.")
    private List<Integer> paces;

    @Option(names = "--runs", defaultValue = "3", description = "Runs of each; ${DEFAULT-VALUE} by default.")
    private int runs;

    @Override public Integer call() throws Exception {
        Results results = new Results("clients", "accepts_per_s", "run", "back", "turned_away", "lost", "all_back_s", "busy_served",
                "busy_refused", "busy_lost", "busy_p50_ms", "busy_p95_ms", "busy_max_ms", "box_connections_opened");
        for (int count : clients) {
            for (int pace : paces) {
                measure(count, pace, results);
                if (setup.out != null) {
                    results.csv(setup.out, "reconnect"); // what is measured by then is kept, whatever comes
                }
            }
        }
        System.out.println(results.text(setup.json));
        if (setup.out != null) {
            draw(results, "all_back_s", "Until all were answered again", "seconds");
            draw(results, "busy_p95_ms", "The busy clients' 95th percentile meanwhile", "ms");
        }
        return 0;
    }

    /** The median of the runs by how many came back, a line for each pace. */
    private void draw(Results results, String column, String title, String unit) throws Exception {
        Map<String, List<double[]>> lines = new LinkedHashMap<>();
        for (int pace : paces) {
            List<double[]> points = new ArrayList<>();
            for (int count : clients) {
                List<Double> figures = results.figures(column, Map.of("clients", count, "accepts_per_s", pace)).stream().sorted().toList();
                points.add(new double[] {count, figures.get(figures.size() / 2)});
            }
            lines.put(pace == 0 ? "unpaced" : pace + " a second", points);
        }
        Results.chart(setup.out, "reconnect-" + column.replaceAll("_.*", ""), title, "clients", unit, false, lines);
    }

    private void measure(int count, int pace, Results results) throws Exception {
        String operator = pace > 0 ? "accepts_per_s = " + pace : "";
        try (StandIns fleet = new StandIns(BOXES); RouterProcess router = setup.router(fleet, count, operator);
                IdleClients idle = new IdleClients(router.address());
                BusyClients busy = new BusyClients(router.address(), setup.busy, setup.perS)) {
            idle.connect(count, 120);
            busy.start();
            TimeUnit.SECONDS.sleep(5); // the JVM warms up
            for (int run = 1; run <= runs; run++) {
                TimeUnit.SECONDS.sleep(1); // each busy client has asked since the crowd did, as in service
                busy.reset();
                int opened = fleet.connections();
                idle.leave();
                IdleClients.Came came = idle.connect(count, count, 120);
                results.add(count, pace, run, came.answered(), came.turnedAway(), came.lost(), came.seconds(), busy.served(),
                        busy.refused(), busy.lost(), busy.percentile(50), busy.percentile(95), busy.longest(),
                        fleet.connections() - opened);
                Lab.progress(count + " came back, run " + run);
                idle.leave();
                TimeUnit.SECONDS.sleep(1);
                idle.connect(count, 120);
            }
        }
    }
}
