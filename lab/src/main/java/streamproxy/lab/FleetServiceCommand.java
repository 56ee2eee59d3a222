package streamproxy.lab;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import streamproxy.lab.fleet.DaemonProcess;
import streamproxy.lab.fleet.Daemons;

/** {@code fleet-service}. */
@Command(name = "fleet-service", mixinStandardHelpOptions = true,
        description = {"Puts the same load on a member of a fleet and on a router by itself, in turns, and writes what they served,",
                "how quickly, and at which cost."},
        footer = {"", "Example:", "  lab fleet-service --per-s 300 --seconds 10 --rounds 6 --out docs/measurements"})
final class FleetServiceCommand implements Callable<Integer> {
    private static final long START_S = 120;
    private static final int CLIENTS = 20;

    @Option(names = "--routers", defaultValue = "3", description = "Members of the fleet; ${DEFAULT-VALUE} by default.")
    private int routers;

    @Option(names = "--per-s", defaultValue = "300", description = "Requests a second; ${DEFAULT-VALUE} by default.")
    private double perS;

    @Option(names = "--seconds", defaultValue = "10", description = "Of each turn; ${DEFAULT-VALUE} by default.")
    private int seconds;

    @Option(names = "--rounds", defaultValue = "6", description = "Turns of each; ${DEFAULT-VALUE} by default.")
    private int rounds;

    @Option(names = "--out", paramLabel = "FOLDER", description = "Where fleet-service.csv goes.")
    private Path out;

    @Option(names = "--jar", defaultValue = "fleet/target/streamproxy-fleet.jar", paramLabel = "FILE", description = "${DEFAULT-VALUE} by default.")
    private Path jar;

    @Option(names = "--router-jar", defaultValue = "router/target/streamproxy.jar", paramLabel = "FILE", description = "${DEFAULT-VALUE} by default.")
    private Path routerJar;

    @Override public Integer call() throws Exception {
        Results results = new Results("router", "round", "served", "refused", "lost", "p50_ms", "p95_ms", "p99_ms", "cpu_ms_a_request");
        Path folder = Files.createTempDirectory("streamproxy-fleet-service");
        try (Daemons fleet = new Daemons(jar.toAbsolutePath(), routers, 3, "duties = report", folder)) {
            DaemonProcess alone = fleet.alone(routerJar.toAbsolutePath(), "alone");
            try {
                alone.start();
                fleet.startAll();
                for (DaemonProcess one : fleet.all()) {
                    DaemonProcess.await(one.name() + " has its part", START_S, () -> Boolean.TRUE.equals(one.status().get("divides")));
                }
                DaemonProcess.await("the one by itself serves", START_S, () -> alone.get("/admin/health") != null);
                load(alone, "warm-up", 0, results);
                load(fleet.get(0), "warm-up", 0, results);
                for (int round = 1; round <= rounds; round++) {
                    load(alone, "by itself", round, results);
                    load(fleet.get(0), "member", round, results);
                }
            } finally {
                alone.kill();
            }
        }
        System.out.println(results.text(false));
        for (String who : List.of("by itself", "member")) {
            System.out.printf("%s: served %.0f, p50 %.3f ms, p95 %.3f ms, %.3f ms of a core a request (medians)%n", who, median(results, "served", who),
                    median(results, "p50_ms", who), median(results, "p95_ms", who), median(results, "cpu_ms_a_request", who));
        }
        if (out != null) {
            results.csv(out, "fleet-service");
        }
        return 0;
    }

    private static double median(Results results, String what, String who) {
        List<Double> all = results.figures(what, "router", who).stream().sorted().toList();
        return all.get(all.size() / 2);
    }

    private void load(DaemonProcess router, String who, int round, Results results) throws Exception {
        try (BusyClients clients = new BusyClients(router.listen(), CLIENTS, perS)) {
            clients.start();
            TimeUnit.SECONDS.sleep(1);
            clients.reset();
            double before = RouterProcess.cpuS(router.process().pid());
            TimeUnit.SECONDS.sleep(seconds);
            double cpu = RouterProcess.cpuS(router.process().pid()) - before;
            long served = clients.served();
            results.add(who, round, served, clients.refused(), clients.lost(), clients.percentile(50), clients.percentile(95),
                    clients.percentile(99), 1_000 * cpu / Math.max(1, served));
        }
    }
}
