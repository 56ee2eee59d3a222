package review2;

import java.io.BufferedInputStream;
import java.io.BufferedWriter;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

/** What all cases share: the record, free ports, the router's process, and helpers for HTTP/1.1 over plain sockets. */
public final class Rig implements AutoCloseable {
    /** Whether the disruption is played; {@code TROUBLE=0} leaves it out. */
    public static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    public static final int HELD = 0;
    public static final int BROKEN = 1;
    public static final int CANNOT_RUN = 2;
    private static final Set<Integer> GIVEN = ConcurrentHashMap.newKeySet();

    private final long zero = System.nanoTime();
    private final BufferedWriter record;
    private final Path root = Path.of("").toAbsolutePath();
    private final Path temporary;
    private final List<Process> processes = new ArrayList<>();
    private final List<AutoCloseable> standIns = new ArrayList<>();
    public final AtomicInteger broken = new AtomicInteger();

    /** @param folder of the case, in which record.txt is written; the working folder is the repository's root */
    public Rig(Path folder) throws IOException {
        record = Files.newBufferedWriter(folder.resolve("record.txt"));
        temporary = Files.createTempDirectory("review-2-");
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        note("TROUBLE=" + (TROUBLE ? 1 : 0));
    }

    /** One play of a case. */
    public interface Play {
        void run(Rig rig) throws Exception;
    }

    /** Plays a case and ends the process with 0, 1 or 2. */
    public static void play(String[] args, Play play) {
        int code = CANNOT_RUN;
        try (Rig rig = new Rig(Path.of(args[0]))) {
            try {
                play.run(rig);
                code = rig.broken.get() > 0 ? BROKEN : HELD;
            } catch (Exception e) {
                rig.note("cannot run: " + e);
                e.printStackTrace();
            }
            rig.note(code == HELD ? "the rule held" : code == BROKEN ? "the rule was broken " + rig.broken + " times" : "the case could not run");
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    /** Milliseconds since the case began. */
    public double ms() { return (System.nanoTime() - zero) / 1e6; }

    public void note(String line) {
        synchronized (record) {
            try {
                record.write(String.format(Locale.ROOT, "%10.1f  %s%n", ms(), line));
                record.flush();
            } catch (IOException e) {
                // the play is over, and its record closed
            }
        }
    }

    /** The rule was broken. */
    public void broken(String how) {
        broken.incrementAndGet();
        note("BROKEN: " + how);
        System.out.println("broken: " + how);
    }

    public Path temporary() { return temporary; }

    public <T extends AutoCloseable> T owns(T standIn) {
        standIns.add(standIn);
        return standIn;
    }

    public static int freePort() throws IOException {
        for (int i = 0; i < 200; i++) {
            int port = ThreadLocalRandom.current().nextInt(10_000, 32_000);
            if (!GIVEN.add(port)) {
                continue;
            }
            try (ServerSocket socket = new ServerSocket(port, 1, loopback())) {
                return socket.getLocalPort();
            } catch (IOException taken) {
                continue;
            }
        }
        throw new IOException("no free port");
    }

    public static InetAddress loopback() throws IOException { return InetAddress.getByAddress(new byte[] {127, 0, 0, 1}); }

    public static void sleep(long ms) throws InterruptedException { TimeUnit.MILLISECONDS.sleep(ms); }

    // ---- The router ---------------------------------------------------------------------------------

    /** A router's process. */
    public final class Router {
        public final String name;
        public final int port;
        public final int operatorPort;
        public final Path config;
        public final Path log;
        private final Path folder;
        private final int discovery;
        private Process process;
        private final String run;

        Router(String name, int discovery, String run) throws IOException {
            this.name = name;
            this.discovery = discovery;
            this.run = run;
            port = freePort();
            operatorPort = freePort();
            folder = Files.createDirectory(temporary.resolve(name));
            config = folder.resolve("config.json");
            log = folder.resolve("log");
        }

        public Process process() { return process; }

        public void start(String configuration) throws IOException, InterruptedException {
            Files.writeString(config, configuration);
            Path tmp = Files.createDirectories(folder.resolve("tmp"));
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run).directory(root.toFile())
                    .redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            builder.environment().put("NODE_NAME", name);
            builder.environment().put("NODE_LISTEN", "127.0.0.1:" + port);
            builder.environment().put("NODE_DISCOVERY", "127.0.0.1:" + discovery);
            builder.environment().put("NODE_CONFIG", config.toString());
            builder.environment().put("TMPDIR", tmp.toString());
            process = builder.start();
            processes.add(process);
            note("router " + name + " started, pid " + process.pid() + ", port " + port);
            awaitReady();
        }

        private void awaitReady() throws IOException, InterruptedException {
            long until = System.nanoTime() + 30_000_000_000L;
            while (System.nanoTime() < until) {
                if (!process.isAlive()) {
                    throw new IOException("the router ended: " + Files.readString(log));
                }
                try {
                    if (get("/admin/health", operatorPort) == 200 && get("/ready", port) == 200) {
                        note("router " + name + " is ready");
                        return;
                    }
                } catch (IOException e) {
                    // not yet
                }
                sleep(50);
            }
            throw new IOException("the router is not ready after 30 s");
        }

        public void signal(String signal) throws IOException, InterruptedException {
            note("SIG" + signal + " to " + name);
            new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
        }

        private int get(String path, int at) throws IOException {
            try (Socket socket = connect(at)) {
                socket.setSoTimeout(3_000);
                socket.getOutputStream().write(ascii("GET " + path + " HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n"));
                return Head.read(new BufferedInputStream(socket.getInputStream())).status();
            }
        }

        public boolean isAlive() { return process.isAlive(); }
    }

    /** One that the deploy file's {@code run} starts. */
    public Router router(String name, int discovery) throws IOException { return router(name, discovery, ""); }

    /** The same, with further words on its command line. */
    public Router router(String name, int discovery, String words) throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = ")) {
                return new Router(name, discovery, line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')) + words);
            }
        }
        throw new IOException("deploy/balancer.toml has no run");
    }

    public static Socket connect(int port) throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(loopback(), port), 2_000);
        return socket;
    }

    private void endProcesses() {
        for (Process process : processes) {
            process.descendants().forEach(ProcessHandle::destroyForcibly);
            process.destroyForcibly();
        }
    }

    @Override public void close() throws Exception {
        endProcesses();
        for (Process process : processes) {
            process.waitFor();
        }
        for (AutoCloseable standIn : standIns) {
            standIn.close();
        }
        if (System.getenv("KEEP_LOGS") == null) {
            try (Stream<Path> files = Files.walk(temporary)) {
                for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(file);
                }
            }
        } else {
            System.out.println("logs in " + temporary);
        }
        record.close();
    }

    // ---- HTTP ---------------------------------------------------------------------------------------

    /** The head of a message. */
    public record Head(String first, Map<String, String> fields) {
        public int status() { return Integer.parseInt(first.split(" ")[1]); }

        public String field(String name) { return fields.get(name.toLowerCase(Locale.ROOT)); }

        public boolean chunked() { return "chunked".equalsIgnoreCase(field("Transfer-Encoding")); }

        public boolean closes() { return "close".equalsIgnoreCase(field("Connection")); }

        /** @throws EOFException where the connection ends before or within it */
        public static Head read(InputStream in) throws IOException {
            String first = line(in);
            Map<String, String> fields = new LinkedHashMap<>();
            for (String text = line(in); !text.isEmpty(); text = line(in)) {
                int colon = text.indexOf(':');
                fields.put(text.substring(0, colon).toLowerCase(Locale.ROOT), text.substring(colon + 1).strip());
            }
            return new Head(first, fields);
        }
    }

    public static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new EOFException(line.size() == 0 ? "ended" : "ended within a line");
            }
            if (c != '\r') {
                line.write(c);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** The next chunk's bytes; null for the last one. */
    public static byte[] chunk(InputStream in) throws IOException {
        int size = Integer.parseInt(line(in), 16);
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("ended within a chunk");
        }
        line(in);
        return size == 0 ? null : bytes;
    }

    public static byte[] ascii(String text) { return text.getBytes(StandardCharsets.ISO_8859_1); }

    public static byte[] chunkOf(String text) {
        byte[] bytes = ascii(text);
        return ascii(Integer.toHexString(bytes.length) + "\r\n" + text + "\r\n");
    }

    /** Ids that were given out in this process. */
    private static final Set<String> IDS = new HashSet<>();

    public static synchronized String newId() {
        while (true) {
            String id = String.format("%016x", ThreadLocalRandom.current().nextLong());
            if (IDS.add(id)) {
                return id;
            }
        }
    }
}
