package streamproxy.lab.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.StringJoiner;
import streamproxy.lab.RouterProcess;
import streamproxy.lab.StandIns;

/** Routers of one fleet on loopback, each a process with a folder, an operator's file and addresses of its own. */
public final class Daemons implements AutoCloseable {
    private static final List<String> FLAGS = List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xms48m", "-Xmx48m", "-Xmn24m", "-XX:-UsePerfData");
    static final int BOXES = 2;
    private static final int DESCRIPTORS = 512;
    private static final int MEMORY_MB = 192;

    private final List<DaemonProcess> all = new ArrayList<>();
    private final StandIns boxes;
    private final Links links;
    private final Path out;
    private final int count;

    /**
     * Makes them; none is started yet.
     *
     * @param jar    the fleet's jar
     * @param out    where folders, files and logs go
     * @param extra  further lines for {@code [fleet]}
     */
    public Daemons(Path jar, int count, double leaseS, String extra, Path out) throws IOException { this(jar, count, 0, BOXES, leaseS, extra, out); }

    /** The same with some beside them that are to join the others once they run. */
    public Daemons(Path jar, int count, int joining, int boxCount, double leaseS, String extra, Path out) throws IOException {
        this.out = out;
        this.count = count;
        boxes = new StandIns(boxCount);
        links = new Links(count + joining);
        StringJoiner members = new StringJoiner(", ");
        for (int i = 0; i < count; i++) {
            members.add("r" + i + " " + address(i));
        }
        Path config = Files.writeString(out.resolve("node.json"), boxes.configuration(DESCRIPTORS, MEMORY_MB));
        for (int i = 0; i < count + joining; i++) {
            String name = "r" + i;
            links.hosts(i, out.resolve(name + ".hosts"));
            Path ini = Files.writeString(out.resolve(name + ".ini"), String.format(Locale.ROOT,
                    "[fleet]%nid = lab%nmembers = %s%nfolder = %s%nlease_s = %s%n%s%n", members + (i < count ? "" : ", " + name + " " + address(i)),
                    out.resolve(name), leaseS,
                    extra + (i < count ? "" : "\njoins = yes")));
            InetSocketAddress listen = RouterProcess.free();
            InetSocketAddress operator = RouterProcess.free();
            all.add(daemon(jar, name, ini, config, listen, operator));
        }
    }

    private DaemonProcess daemon(Path jar, String name, Path ini, Path config, InetSocketAddress listen, InetSocketAddress operator) {
        List<String> command = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString()));
        command.addAll(FLAGS);
        command.add("-Djdk.net.hosts.file=" + out.resolve(name + ".hosts"));
        command.addAll(List.of("-jar", jar.toString(), "daemon", "--operator", ini.toString()));
        Map<String, String> told = Map.of("NODE_NAME", name, "NODE_LISTEN", "127.0.0.1:" + listen.getPort(), "NODE_OPERATOR",
                "127.0.0.1:" + operator.getPort(), "NODE_DISCOVERY", boxes.listAddress(), "NODE_CONFIG", config.toString());
        return new DaemonProcess(name, command, told, operator, out.resolve(name + ".log"));
    }

    /** A router by itself beside them, with the same flags, as {@code serve} runs it. */
    public DaemonProcess alone(Path routerJar, String name) throws IOException {
        InetSocketAddress operator = RouterProcess.free();
        List<String> command = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString()));
        command.addAll(FLAGS);
        command.addAll(List.of("-jar", routerJar.toString(), "serve"));
        Map<String, String> told = Map.of("NODE_NAME", name, "NODE_LISTEN", "127.0.0.1:" + RouterProcess.free().getPort(), "NODE_OPERATOR",
                "127.0.0.1:" + operator.getPort(), "NODE_DISCOVERY", boxes.listAddress(), "NODE_CONFIG", out.resolve("node.json").toString());
        return new DaemonProcess(name, command, told, operator, out.resolve(name + ".log"));
    }

    /** Another process for that one's place, with words of its operator's file changed. */
    public DaemonProcess like(Path jar, DaemonProcess other, String what, String instead) throws IOException {
        String name = other.name();
        Path ini = out.resolve(name + "-like.ini");
        Files.writeString(ini, Files.readString(out.resolve(name + ".ini")).replace(what, instead));
        return daemon(jar, name, ini, out.resolve("node.json"), RouterProcess.free(), RouterProcess.free());
    }

    /** Another process for that one's place, whose files cannot grow beyond so much: to it the disk is full. */
    public DaemonProcess limited(Path jar, DaemonProcess other, int fileKb) throws IOException {
        DaemonProcess plain = like(jar, other, "", "");
        return plain.under(List.of("bash", "-c", "ulimit -f " + fileKb + "; exec \"$@\"", "limited"));
    }

    /** Starts all but those that are to join. */
    public void startAll() throws IOException {
        for (DaemonProcess daemon : all.subList(0, count)) {
            daemon.start();
        }
    }

    public List<DaemonProcess> all() { return all; }

    public DaemonProcess get(int i) { return all.get(i); }

    /**
     * Waits until all that run were seen at one place of their log with the same ledger, each at a time of its own: the log
     * grows by some entries a second, and to find all there at one time may take for ever on a busy machine.
     *
     * @throws AssertionError where two are at one place with different ledgers
     */
    public void awaitAlike(long seconds) throws InterruptedException {
        Map<String, String> ledgers = new HashMap<>();    // by place
        Map<String, Set<String>> seen = new HashMap<>();  // who was there
        List<DaemonProcess> running = all.stream().filter(DaemonProcess::isRunning).toList();
        DaemonProcess.await("all were at one place of their log", seconds, () -> {
            for (DaemonProcess daemon : running) {
                String[] told = String.valueOf(daemon.status().getOrDefault("ledger", daemon.name() + " -")).split(" ");
                String other = ledgers.putIfAbsent(told[0], told[1]);
                if (other != null && !other.equals(told[1])) {
                    throw new AssertionError(daemon.name() + " has another ledger at " + told[0] + " than was seen there before");
                }
                seen.computeIfAbsent(told[0], place -> new HashSet<>()).add(daemon.name());
            }
            return seen.values().stream().anyMatch(names -> names.size() == running.size());
        });
    }

    Links links() { return links; }

    /** Model boxes and their list. */
    public StandIns boxes() { return boxes; }

    /** Where that one listens for the others. */
    public String address(int i) { return Links.host(i) + ":" + links.port(i); }

    @Override public void close() throws IOException {
        all.forEach(DaemonProcess::kill);
        links.close();
        boxes.close();
    }
}
