package streamproxy.lab.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.StringJoiner;
import streamproxy.lab.RouterProcess;
import streamproxy.lab.StandIns;

/** Routers of one fleet on loopback, each a process with a folder, an operator's file and addresses of its own. */
public final class Daemons implements AutoCloseable {
    private static final List<String> FLAGS = List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx96m", "-XX:-UsePerfData");
    private static final int DESCRIPTORS = 512;
    private static final int MEMORY_MB = 192;

    private final List<DaemonProcess> all = new ArrayList<>();
    private final StandIns boxes;
    private final Path out;

    /**
     * Makes them; none is started yet.
     *
     * @param jar    the fleet's jar
     * @param out    where folders, files and logs go
     * @param extra  further lines for {@code [fleet]}
     */
    public Daemons(Path jar, int count, double leaseS, String extra, Path out) throws IOException {
        this.out = out;
        boxes = new StandIns(2);
        List<InetSocketAddress> peers = new ArrayList<>();
        StringJoiner members = new StringJoiner(", ");
        for (int i = 0; i < count; i++) {
            peers.add(RouterProcess.free());
            members.add("r" + i + " 127.0.0.1:" + peers.get(i).getPort());
        }
        Path config = Files.writeString(out.resolve("node.json"), boxes.configuration(DESCRIPTORS, MEMORY_MB));
        for (int i = 0; i < count; i++) {
            String name = "r" + i;
            Path ini = Files.writeString(out.resolve(name + ".ini"), String.format(Locale.ROOT,
                    "[fleet]%nid = lab%nmembers = %s%nfolder = %s%nlease_s = %s%n%s%n", members, out.resolve(name), leaseS, extra));
            InetSocketAddress listen = RouterProcess.free();
            InetSocketAddress operator = RouterProcess.free();
            all.add(daemon(jar, name, ini, config, listen, operator));
        }
    }

    private DaemonProcess daemon(Path jar, String name, Path ini, Path config, InetSocketAddress listen, InetSocketAddress operator) {
        List<String> command = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString()));
        command.addAll(FLAGS);
        command.addAll(List.of("-jar", jar.toString(), "daemon", "--operator", ini.toString()));
        Map<String, String> told = Map.of("NODE_NAME", name, "NODE_LISTEN", "127.0.0.1:" + listen.getPort(), "NODE_OPERATOR",
                "127.0.0.1:" + operator.getPort(), "NODE_DISCOVERY", boxes.listAddress(), "NODE_CONFIG", config.toString());
        return new DaemonProcess(name, command, told, operator, out.resolve(name + ".log"));
    }

    /** Another process for that one's place, with words of its operator's file changed. */
    public DaemonProcess like(Path jar, DaemonProcess other, String what, String instead) throws IOException {
        String name = other.name();
        Path ini = out.resolve(name + "-like.ini");
        Files.writeString(ini, Files.readString(out.resolve(name + ".ini")).replace(what, instead));
        return daemon(jar, name, ini, out.resolve("node.json"), RouterProcess.free(), RouterProcess.free());
    }

    public void startAll() throws IOException {
        for (DaemonProcess daemon : all) {
            daemon.start();
        }
    }

    public List<DaemonProcess> all() { return all; }

    public DaemonProcess get(int i) { return all.get(i); }

    @Override public void close() throws IOException {
        all.forEach(DaemonProcess::kill);
        boxes.close();
    }
}
