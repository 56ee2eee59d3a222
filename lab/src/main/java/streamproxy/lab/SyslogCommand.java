package streamproxy.lab;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.results.RunResult;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import streamproxy.lab.records.RecordsBenchmark;
import streamproxy.records.Event;
import streamproxy.syslog.Collector;
import streamproxy.syslog.Framing;
import streamproxy.syslog.Keys;
import streamproxy.syslog.Message;
import streamproxy.syslog.Syslog;

/** {@code syslog}: what records cost those who are served, and how many a thread sends. */
@Command(name = "syslog", mixinStandardHelpOptions = true, versionProvider = Lab.Version.class,
        description = {"Measures what records to a syslog collector cost: on a request's path (JMH), in what busy clients see of a router with",
                "a healthy, a slow, a hung and a dead collector against none, in alternating runs, and in records a second by transport."},
        footer = {"", "Example:", "  lab syslog --runs 5 --seconds 5 --out docs/measurements"})
final class SyslogCommand implements Callable<Integer> {
    private static final int BOXES = 4;
    private static final int RECORDS = 200_000;
    private static final String PASSWORD = "measuring";

    @Mixin private Setup setup;

    @Option(names = "--runs", defaultValue = "5", description = "Alternating runs of each; ${DEFAULT-VALUE} by default.")
    private int runs;

    @Option(names = "--seconds", defaultValue = "5", description = "Length of a run; ${DEFAULT-VALUE} by default.")
    private int seconds;

    @Override public Integer call() throws Exception {
        Results path = new Results("collector", "ns", "error_ns", "bytes");
        measurePath(path);
        System.out.println(path.text(setup.json));
        Results sending = new Results("transport", "records", "sent", "dropped", "seconds", "records_per_s", "mb_per_s");
        for (String transport : List.of("udp", "tcp", "tls")) {
            measureSending(transport, sending);
        }
        System.out.println(sending.text(setup.json));
        Results service = new Results("collector", "run", "served", "refused", "lost", "p50_ms", "p95_ms", "p99_ms", "max_ms", "cpu_s", "resident_kb",
                "collector_mb");
        measureService(service);
        System.out.println(service.text(setup.json));
        if (setup.out != null) {
            path.csv(setup.out, "syslog-path");
            sending.csv(setup.out, "syslog-sending");
            service.csv(setup.out, "syslog-service");
            draw(service);
        }
        return 0;
    }

    private void measurePath(Results path) throws Exception {
        Collection<RunResult> results = new Runner(new OptionsBuilder().include(RecordsBenchmark.class.getName()).forks(1).warmupIterations(2)
                .warmupTime(TimeValue.seconds(1)).measurementIterations(5).measurementTime(TimeValue.seconds(1)).addProfiler("gc")
                .verbosity(org.openjdk.jmh.runner.options.VerboseMode.SILENT).build()).run();
        for (RunResult run : results) {
            path.add(run.getParams().getParam("collector"), run.getPrimaryResult().getScore(), run.getPrimaryResult().getScoreError(),
                    run.getSecondaryResults().get("gc.alloc.rate.norm").getScore());
        }
    }

    private static Event event(int i) {
        return new Event.Answered(System.currentTimeMillis(), "7f3a9c21e0b4" + i, "chat", "", 7, Event.Final.SERVED, "s-1", "list",
                List.of(new Event.Tried("s-1", "ok", "list", 1_000_000)), 3_000_000_000L, 1_000, 2_000, 3_000, 4_000_000, 20, 0, 4_000, -1);
    }

    private void measureSending(String transport, Results sending) throws Exception {
        Path folder = Files.createTempDirectory("streamproxy-lab");
        Collector.Tls tls = transport.equals("tls") ? identity(folder) : null;
        try (LabCollector at = transport.equals("udp") ? new LabCollector()
                : new LabCollector(LabCollector.State.HEALTHY, tls == null ? null : Keys.context(tls))) {
            Collector to = new Collector("main", "127.0.0.1", at.port(), Collector.Transport.valueOf(transport.toUpperCase(Locale.ROOT)),
                    transport.equals("udp") ? Framing.DATAGRAM : Framing.OCTETS, transport.equals("udp") ? 1_180 : 8_192, tls);
            Syslog syslog = new Syslog(new Syslog.Wishes(new Message.Origin(16, "lab", "streamproxy", 1, "-", Message.DOCUMENTATION, false, 0),
                    List.of(to), true, 2 * RECORDS, 60_000_000_000L, 60_000_000_000L, 3_600_000_000_000L, 5_000_000_000L, null, 0, 1));
            for (int i = 0; i < RECORDS; i++) {
                syslog.accept(event(i));
            }
            long from = System.nanoTime();
            syslog.start();
            while (syslog.counts().sent() + syslog.counts().dropped() < RECORDS) {
                TimeUnit.MILLISECONDS.sleep(1);
            }
            double took = (System.nanoTime() - from) / 1e9;
            syslog.close();
            Syslog.Counts counts = syslog.counts();
            sending.add(transport, RECORDS, counts.sent(), counts.dropped(), took, counts.sent() / took, at.bytes() / took / 1e6);
        } finally {
            try (var files = Files.list(folder)) {
                for (Path file : files.toList()) {
                    Files.delete(file);
                }
            }
            Files.delete(folder);
        }
    }

    /** A key and a certificate for this run, made by the JDK's keytool; the same store is trusted. */
    private static Collector.Tls identity(Path folder) throws Exception {
        Path store = folder.resolve("store.p12");
        Path password = folder.resolve("password");
        Files.writeString(password, PASSWORD);
        Path certificate = folder.resolve("certificate");
        Path trust = folder.resolve("trust.p12");
        for (List<String> words : List.of(
                List.of("-genkeypair", "-alias", "lab", "-keyalg", "EC", "-dname", "CN=lab", "-ext", "san=ip:127.0.0.1", "-storetype", "PKCS12",
                        "-keystore", store.toString(), "-storepass", PASSWORD),
                List.of("-exportcert", "-alias", "lab", "-keystore", store.toString(), "-storepass", PASSWORD, "-file", certificate.toString()),
                List.of("-importcert", "-noprompt", "-alias", "lab", "-file", certificate.toString(), "-storetype", "PKCS12", "-keystore",
                        trust.toString(), "-storepass", PASSWORD))) {
            List<String> command = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "keytool").toString()));
            command.addAll(words);
            Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
            String said = new String(process.getInputStream().readAllBytes());
            if (process.waitFor() != 0) {
                throw new IllegalStateException(said);
            }
        }
        return new Collector.Tls(trust, password, store, password, true);
    }

    private void measureService(Results service) throws Exception {
        for (int run = 1; run <= runs; run++) {
            measureRun("none", null, run, service);
            for (LabCollector.State state : LabCollector.State.values()) {
                measureRun(state.name().toLowerCase(Locale.ROOT), state, run, service);
            }
        }
    }

    private void measureRun(String name, LabCollector.State state, int run, Results service) throws Exception {
        try (LabCollector at = state == null ? null : new LabCollector(state, null); StandIns fleet = new StandIns(BOXES)) {
            String more = state == null ? "" : "\n[syslog]\nstalled_s = 1\n[syslog collector main]\naddress = 127.0.0.1:" + at.port()
                    + "\ntransport = tcp\n";
            try (RouterProcess router = setup.router(fleet, setup.busy, more);
                    BusyClients busy = new BusyClients(router.address(), setup.busy, setup.perS)) {
                busy.start();
                TimeUnit.SECONDS.sleep(4); // the JVM warms up
                busy.reset();
                double cpu = router.cpuS();
                TimeUnit.SECONDS.sleep(seconds);
                service.add(name, run, busy.served(), busy.refused(), busy.lost(), busy.percentile(50), busy.percentile(95), busy.percentile(99),
                        busy.longest(), router.cpuS() - cpu, router.residentKb(), at == null ? 0.0 : at.bytes() / 1e6);
                Lab.progress(name + ", run " + run);
            }
        }
    }

    private void draw(Results service) throws Exception {
        Map<String, List<double[]>> lines = new LinkedHashMap<>();
        for (String name : List.of("none", "healthy", "slow", "hung", "dead")) {
            List<Double> figures = service.figures("p95_ms", "collector", name);
            List<double[]> points = new ArrayList<>();
            for (int i = 0; i < figures.size(); i++) {
                points.add(new double[] {i + 1, figures.get(i)});
            }
            lines.put(name, points);
        }
        Results.chart(setup.out, "syslog-service", "95th percentile of " + setup.busy + " busy clients by their router's collector", "run", "ms", false,
                lines);
    }
}
