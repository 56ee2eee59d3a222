import java.io.IOException;
import java.io.InputStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** What each case needs: the record, a temporary folder, routers as processes by the deploy file's run command, and their end. */
final class Rig implements AutoCloseable {
    /** The case could not be run. */
    static final class CannotRun extends RuntimeException {
        private static final long serialVersionUID = 1L;

        CannotRun(String why) { super(why); }
    }

    /** A case: true where the rule held. */
    interface Case {
        boolean holds(Rig rig, boolean trouble) throws Exception;
    }

    /** One router's process. */
    final class Router {
        final String name;
        final String listen;
        final Path config;
        private final String operator;
        private Process process;
        private long startedAt;

        Router(String name) throws IOException {
            this.name = name;
            listen = freeAddress();
            operator = freeAddress();
            config = folder.resolve(name + ".json");
        }

        /** A second process beside it: the same addresses and configuration, another second address. */
        private Router(Router first) throws IOException {
            name = first.name;
            listen = first.listen;
            operator = freeAddress();
            config = first.config;
        }

        String listen() { return listen; }

        String operator() { return operator; }

        /** Replaces the configuration file, in one step. */
        void configure(String text) throws IOException {
            Path next = folder.resolve(name + ".next");
            Files.writeString(next, text);
            Files.move(next, config, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        }

        /** Starts it by the deploy file's run command. */
        void start(String discovery) throws IOException { start(run(), discovery); }

        void start(String command, String discovery) throws IOException {
            Path tmp = Files.createDirectories(folder.resolve("tmp-" + name));
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command).directory(root.toFile());
            builder.environment().putAll(Map.of("NODE_NAME", name, "NODE_LISTEN", listen, "NODE_DISCOVERY", discovery, "NODE_CONFIG", config.toString(),
                    "NODE_OPERATOR", operator, "TMPDIR", tmp.toString()));
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(here.resolve("router-" + name + ".log").toFile()));
            process = builder.start();
            startedAt = System.nanoTime();
            processes.add(process);
            record.line("router %s started", name);
        }

        void awaitReady() throws Exception {
            for (int i = 0; i < 300; i++) {
                if (status(listen, "GET", "/ready") == 200) {
                    record.line("router %s is ready", name);
                    return;
                }
                if (!process.isAlive()) {
                    break;
                }
                Thread.sleep(100);
            }
            throw new CannotRun("router " + name + " was not ready within 30 s");
        }

        /** Waits until it says at its second address that it can serve. */
        void awaitHealth() throws Exception {
            for (int i = 0; i < 100; i++) {
                if (status(operator, "GET", "/admin/health") == 200) {
                    record.line("the second process of router %s can serve", name);
                    return;
                }
                Thread.sleep(100);
            }
            throw new CannotRun("the second process of router " + name + " was not healthy within 10 s");
        }

        void signal(String signal) throws Exception {
            record.line("SIG%s to router %s", signal, name);
            new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
        }

        boolean isAlive() { return process.isAlive(); }
    }

    private static final int FIRST_PORT = 20_000;
    private static final int LAST_PORT = 32_000;
    private static final Set<Integer> given = new HashSet<>();

    final Record record;
    final Path root;
    final Path here;
    final Path folder;
    private final List<Process> processes = new ArrayList<>();
    private final List<AutoCloseable> others = new ArrayList<>();

    private Rig(Path root, Path here) throws IOException {
        this.root = root;
        this.here = here;
        folder = Files.createTempDirectory("review");
        record = new Record(here.resolve("record.txt"));
    }

    /** Runs a case and ends with its exit code: 0 the rule held, 1 it was broken, 2 it could not run. */
    static void run(String[] args, Case one) {
        int code = 2;
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try {
            Path here = Path.of(args[1]).toAbsolutePath();
            try (Stream<Path> old = Files.list(here)) {
                for (Path log : old.filter(p -> p.getFileName().toString().matches("router-.*\\.log")).toList()) {
                    Files.delete(log);
                }
            }
            Rig rig = new Rig(Path.of(args[0]).toAbsolutePath(), here);
            Runtime.getRuntime().addShutdownHook(new Thread(rig::close));
            Http.daemon(() -> {
                try {
                    Thread.sleep(110_000);
                } catch (InterruptedException e) {
                    return;
                }
                rig.record.line("the case takes too long");
                System.exit(2);
            });
            try {
                rig.record.line("%s the disruption", trouble ? "with" : "without");
                boolean holds = one.holds(rig, trouble);
                code = holds ? 0 : 1;
                rig.record.line("the rule %s", holds ? "held" : "was BROKEN");
                System.out.println(holds ? "held" : "broken");
            } catch (CannotRun e) {
                rig.record.line("could not run: %s", e.getMessage());
                System.out.println("could not run: " + e.getMessage());
            }
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    <T extends AutoCloseable> T ends(T other) {
        others.add(other);
        return other;
    }

    /** A second process beside a router, as for an upgrade. */
    Router beside(Router first) throws IOException { return new Router(first); }

    List<Engine> engines(int count) throws IOException {
        List<Engine> engines = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            engines.add(ends(new Engine("s-" + i, record)));
        }
        return engines;
    }

    private String run() throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        throw new CannotRun("no run command in deploy/balancer.toml");
    }

    /** A free loopback address, of ports that the system does not draw for connections: none can take it before it is used. */
    static synchronized String freeAddress() throws IOException {
        for (int tries = 0; tries < 1_000; tries++) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
            if (!given.contains(port)) {
                try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                    given.add(port);
                    return "127.0.0.1:" + socket.getLocalPort();
                } catch (BindException e) {
                    continue; // another has it
                }
            }
        }
        throw new CannotRun("no free port");
    }

    /** The status of a call without a body; 0 where there is no answer. */
    static int status(String address, String method, String path) {
        try (Socket socket = Client.connect(address)) {
            socket.setSoTimeout(2_000);
            socket.getOutputStream().write(Http.bytes(method + " " + path + " HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n"));
            InputStream in = socket.getInputStream();
            return Http.head(in).status();
        } catch (IOException e) {
            return 0;
        }
    }

    /** A router's configuration: the settings of a small deployment, in which only what a case names differs. */
    static String config(String name, String listen, String discovery, List<Engine> engines, String settings) {
        String targets = engines.stream().map(engine -> engine.entry("ready")).collect(Collectors.joining(","));
        return "{\"name\":\"" + name + "\",\"listen\":\"" + listen + "\",\"discovery\":\"" + discovery + "\",\"seed\":\"8c1f30d27a5be964\",\n"
                + " \"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\n \"known\":{\"rev\":1,\"all\":true,\"targets\":[" + targets + "]},\n"
                + " \"settings\":" + settings + "}\n";
    }

    static String settings(int routers) { return SETTINGS.replace("@ROUTERS@", String.valueOf(routers)); }

    private static final String SETTINGS = """
            {"Me":0,"Balancers":@ROUTERS@,"Az":0,"Areas":["a"],"Flavors":["gpu"],"Discovery":"on_request","DomainType":"llm","Tenants":[],
             "Classes":[
              {"Name":"complete","Gain":2.0,"Promise":300000000,"GiveUp":1000000000,"Stream":true,"Idempotency":"safe","Group":"all","Window":5000000000,"LateWorth":0.0},
              {"Name":"chat","Gain":5.0,"Promise":1000000000,"GiveUp":4000000000,"Stream":true,"Idempotency":"safe","Group":"all","Window":5000000000,"LateWorth":0.0},
              {"Name":"bulk","Gain":1.0,"Promise":3000000000,"GiveUp":15000000000,"Stream":true,"Idempotency":"safe","Group":"all","Window":5000000000,"LateWorth":0.0}],
             "ClientHabits":{"MarksRetry":false},
             "Costs":{"Connection":0.0,"CrossZone":0.02,"Discovery":0.0,"Handshake":0.02,"LateFail":0.08,"Moves":0.0,"Origin":0.0,"Peer":0.0,"Probe":0.002,"Waste":0.3},
             "Domain":{"AimUsPer1000PromptTokens":[60000.0,30000.0,40000.0],"Notes":"tokens of the prompt that were found kept",
              "ReportX0":"share of memory held by running requests","ReportX1":"thousands of prompt tokens waiting to be read",
              "Resume":true,"TokenAim":[50000000,100000000,100000000]},
             "Goal":{"Whole":0.55,"WorstClass":0.3,"WorstTenant":0.0,"WorstWindow":0.15},
             "Guarantees":{"AskEvery":10000000000,"Fall":2000000000,"GraceToAnswer":20000000,"RampTime":24000000000,"StartCapacity":0.12,
              "StopSendingWithin":500000000,"TipMultiple":2.5},
             "Limits":{"Cancel":true,"ConnectTimeout":120000000,"CpuUsPerRequest":10.0,"CpuUsPerS":19349,"Keepalive":5000000000,"MaxAttempts":3,"MaxOpen":25798,
              "MaxRetryAfter":2000000000,"MayTell":false,"Multiplex":1,"Probes":true,"RetryAfter":true,"SecondCopies":true},
             "OverShareWorth":0.1,"Report":{"Fields":["lat_ms","rif","q","x1"],"Source":"pull"},"Step":5000000,"Tier":0,"Tiers":["model-replicas"],
             "Weights":"nominal","WorthBy":"request"}""";

    @Override public synchronized void close() {
        for (Process process : processes) {
            process.destroyForcibly();
        }
        for (Process process : processes) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        processes.clear();
        for (AutoCloseable other : others) {
            try {
                other.close();
            } catch (Exception e) {
                // it has ended
            }
        }
        others.clear();
        if (Files.exists(folder)) {
            try (Stream<Path> all = Files.walk(folder)) {
                for (Path one : all.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(one);
                }
            } catch (IOException e) {
                // it stays behind in the temporary folder
            }
        }
    }
}
