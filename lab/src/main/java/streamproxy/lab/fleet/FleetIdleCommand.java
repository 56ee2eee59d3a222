package streamproxy.lab.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import streamproxy.lab.RouterProcess;

/** {@code fleet-idle}. */
@Command(name = "fleet-idle", mixinStandardHelpOptions = true,
        description = {"Starts fleets of several sizes, lets them rest, and writes what each router of them costs, beside one by itself:",
                "CPU, memory, threads, entries of the common log, bytes on its disk, watches of the box list."},
        footer = {"", "Example:", "  lab fleet-idle --routers 3,5,14 --lease-s 3 --seconds 60 --out docs/measurements"})
public final class FleetIdleCommand implements Callable<Integer> {
    private static final long START_S = 120;
    private static final double HOUR_S = 3_600;

    @Option(names = "--routers", split = ",", defaultValue = "3,5,14", description = "How many, one fleet after another; ${DEFAULT-VALUE} by default.")
    private List<Integer> routers;

    @Option(names = "--lease-s", defaultValue = "3", description = "The lease; ${DEFAULT-VALUE} by default.")
    private double leaseS;

    @Option(names = "--seconds", defaultValue = "60", description = "For how long each rests; ${DEFAULT-VALUE} by default.")
    private int seconds;

    @Option(names = "--out", required = true, paramLabel = "FOLDER", description = "Where fleet-idle.csv goes.")
    private Path out;

    @Option(names = "--jar", defaultValue = "fleet/target/streamproxy-fleet.jar", paramLabel = "FILE", description = "${DEFAULT-VALUE} by default.")
    private Path jar;

    @Option(names = "--router-jar", defaultValue = "router/target/streamproxy.jar", paramLabel = "FILE", description = "${DEFAULT-VALUE} by default.")
    private Path routerJar;

    /** What one process has used so far. */
    private record Used(double cpuS, long diskBytes, long applied) { }

    @Override public Integer call() throws Exception {
        Files.createDirectories(out);
        try (CSVPrinter csv = new CSVPrinter(Files.newBufferedWriter(out.resolve("fleet-idle.csv")), CSVFormat.DEFAULT)) {
            csv.printRecord("routers", "lease_s", "what", "cpu_percent_of_core", "most_cpu_percent", "resident_mb", "threads", "log_entries_per_s",
                    "log_mb_per_hour", "list_watches");
            for (int count : routers) {
                rest(csv, count);
            }
        }
        return 0;
    }

    private void rest(CSVPrinter csv, int count) throws Exception {
        Path folder = Files.createTempDirectory("streamproxy-fleet-idle");
        try (Daemons fleet = new Daemons(jar.toAbsolutePath(), count, leaseS, "duties = report", folder)) {
            DaemonProcess alone = fleet.alone(routerJar.toAbsolutePath(), "alone");
            try {
                alone.start();
                fleet.startAll();
                for (DaemonProcess one : fleet.all()) {
                    DaemonProcess.await(one.name() + " has its part", START_S, () -> Boolean.TRUE.equals(one.status().get("divides")));
                }
                DaemonProcess.await("the one by itself serves", START_S, () -> alone.get("/admin/health") != null);
                TimeUnit.SECONDS.sleep(seconds / 4); // what a start takes is not what a rest takes
                List<DaemonProcess> all = new ArrayList<>(fleet.all());
                all.add(alone);
                List<Used> before = new ArrayList<>();
                for (DaemonProcess one : all) {
                    before.add(used(one, folder));
                }
                TimeUnit.SECONDS.sleep(seconds);
                double[] cpu = new double[all.size()];
                double[] memory = new double[all.size()];
                double[] threads = new double[all.size()];
                double[] entries = new double[all.size()];
                double[] disk = new double[all.size()];
                for (int i = 0; i < all.size(); i++) {
                    Used now = used(all.get(i), folder);
                    long pid = all.get(i).process().pid();
                    cpu[i] = 100 * (now.cpuS - before.get(i).cpuS) / seconds;
                    memory[i] = RouterProcess.residentKb(pid) / 1024.0;
                    threads[i] = RouterProcess.threads(pid);
                    entries[i] = (now.applied - before.get(i).applied) / (double) seconds;
                    disk[i] = (now.diskBytes - before.get(i).diskBytes) / 1e6 * HOUR_S / seconds;
                }
                double[] watches = new double[all.size()];
                Arrays.fill(watches, (fleet.boxes().watches() - 1.0) / count); // of the members' a router; the one by itself has one
                watches[count] = 1;
                print(csv, count, "member", 0, count, cpu, memory, threads, entries, disk, watches);
                print(csv, count, "by itself", count, count + 1, cpu, memory, threads, entries, disk, watches);
            } finally {
                alone.kill();
            }
        }
    }

    private void print(CSVPrinter csv, int count, String what, int from, int to, double[]... columns) throws IOException {
        List<Object> row = new ArrayList<>(List.of(count, leaseS, what));
        for (double[] column : columns) {
            row.add(String.format(Locale.ROOT, "%.2f", Arrays.stream(column, from, to).average().orElseThrow()));
            if (column == columns[0]) {
                row.add(String.format(Locale.ROOT, "%.2f", Arrays.stream(column, from, to).max().orElseThrow()));
            }
        }
        csv.printRecord(row);
        csv.flush();
        System.err.println(row);
    }

    private static Used used(DaemonProcess one, Path folder) throws IOException {
        long applied = one.status().get("ledger") instanceof String ledger ? Long.parseLong(ledger.split(" ")[0]) : 0;
        return new Used(RouterProcess.cpuS(one.process().pid()), written(folder.resolve(one.name())), applied);
    }

    /** Bytes of finished segments and of what the one in use holds: it is filled up with zeros. */
    private static long written(Path folder) throws IOException {
        if (!Files.isDirectory(folder)) {
            return 0;
        }
        long sum = 0;
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.filter(f -> f.getFileName().toString().startsWith("log_")).toList()) {
                byte[] bytes = Files.readAllBytes(file);
                int end = bytes.length;
                while (end > 0 && bytes[end - 1] == 0) {
                    end--;
                }
                sum += end;
            }
        }
        return sum;
    }
}
