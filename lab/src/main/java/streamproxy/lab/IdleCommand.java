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

/** {@code idle}: what idle clients cost, and what busy ones lose by them. */
@Command(name = "idle", mixinStandardHelpOptions = true, versionProvider = Lab.Version.class,
        description = {"Measures what idle clients cost a router: memory for each, CPU while nothing happens, and the times of busy",
                "clients with none and with that many idle, in alternating runs."},
        footer = {"", "Example:", "  lab idle --clients 1000,5000,15000 --runs 5 --out docs/measurements"})
final class IdleCommand implements Callable<Integer> {
    private static final int BOXES = 4;

    @Mixin private Setup setup;

    @Option(names = "--clients", split = ",", defaultValue = "1000,5000,15000",
            description = "How many idle ones, one measurement each; ${DEFAULT-VALUE} by default.")
    private List<Integer> clients;

    @Option(names = "--runs", defaultValue = "5", description = "Alternating runs of the busy clients; ${DEFAULT-VALUE} by default.")
    private int runs;

    @Option(names = "--seconds", defaultValue = "5", description = "Length of a run; ${DEFAULT-VALUE} by default.")
    private int seconds;

    @Override public Integer call() throws Exception {
        Results memory = new Results("clients", "held", "heap_bytes_each", "own_bytes_each", "resident_kb", "resident_bytes_each",
                "kernel_bytes_each_both_ends", "threads", "cpu_percent_at_rest", "connect_s");
        for (int count : clients) {
            measureMemory(count, memory);
        }
        System.out.println(memory.text(setup.json));
        Results times = new Results("idle", "run", "served", "refused", "lost", "p50_ms", "p95_ms", "p99_ms", "max_ms", "cpu_s");
        int most = clients.stream().mapToInt(c -> c).max().orElse(0);
        if (runs > 0) {
            measureTimes(most, times);
            System.out.println(times.text(setup.json));
        }
        if (setup.out != null) {
            memory.csv(setup.out, "idle-memory");
            if (runs > 0) {
                times.csv(setup.out, "idle-times");
                draw(times, most);
            }
        }
        return 0;
    }

    private void measureMemory(int count, Results memory) throws Exception {
        try (StandIns fleet = new StandIns(BOXES); RouterProcess router = setup.router(fleet, count, "");
                IdleClients idle = new IdleClients(router.address())) {
            idle.connect(50, 60); // so that what is made once is there
            long heapBefore = router.liveHeapBytes();
            long ownBefore = router.liveHeapBytes("streamproxy.");
            long residentBefore = router.residentKb();
            long slabBefore = Setup.slabKb();
            IdleClients.Came came = idle.connect(count, 120);
            int added = idle.size() - 50;
            long slab = Setup.slabKb() - slabBefore;
            long heap = router.liveHeapBytes() - heapBefore;
            long own = router.liveHeapBytes("streamproxy.") - ownBefore;
            long resident = router.residentKb();
            TimeUnit.SECONDS.sleep(1);
            double cpu = router.cpuS();
            TimeUnit.SECONDS.sleep(10);
            double percent = 100 * (router.cpuS() - cpu) / 10;
            Lab.progress(count + " idle clients measured");
            memory.add(count, idle.size() - idle.closedByRouter(), heap / (double) added, own / (double) added, resident,
                    (resident - residentBefore) * 1024.0 / added, slab * 1024.0 / added, router.threads(), percent, came.seconds());
        }
    }

    private void measureTimes(int most, Results times) throws Exception {
        try (StandIns fleet = new StandIns(BOXES); RouterProcess router = setup.router(fleet, most, "");
                BusyClients busy = new BusyClients(router.address(), setup.busy, setup.perS)) {
            busy.start();
            TimeUnit.SECONDS.sleep(seconds); // the JVM warms up
            for (int run = 1; run <= runs; run++) {
                measureRun(router, busy, 0, run, times);
                try (IdleClients idle = new IdleClients(router.address())) {
                    idle.connect(most, 120);
                    measureRun(router, busy, idle.size(), run, times);
                }
                TimeUnit.SECONDS.sleep(1); // the ends of that many are dealt with
            }
        }
    }

    private void measureRun(RouterProcess router, BusyClients busy, int idle, int run, Results times) throws Exception {
        TimeUnit.SECONDS.sleep(1);
        busy.reset();
        double cpu = router.cpuS();
        TimeUnit.SECONDS.sleep(seconds);
        times.add(idle, run, busy.served(), busy.refused(), busy.lost(), busy.percentile(50), busy.percentile(95), busy.percentile(99),
                busy.longest(), router.cpuS() - cpu);
        Lab.progress("run " + run + " with " + idle + " idle");
    }

    private void draw(Results times, int most) throws Exception {
        Map<String, List<double[]>> lines = new LinkedHashMap<>();
        for (String column : List.of("p50_ms", "p95_ms", "p99_ms")) {
            for (int idle : new int[] {0, most}) {
                List<Double> figures = times.figures(column, "idle", idle);
                List<double[]> points = new ArrayList<>();
                for (int i = 0; i < figures.size(); i++) {
                    points.add(new double[] {i + 1, figures.get(i)});
                }
                if (!points.isEmpty()) {
                    lines.put(column.replace("_ms", "") + ", " + idle + " idle", points);
                }
            }
        }
        Results.chart(setup.out, "idle-times", "Times of " + setup.busy + " busy clients", "run", "ms", false, lines);
    }
}
