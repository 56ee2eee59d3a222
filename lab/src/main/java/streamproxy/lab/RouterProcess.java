package streamproxy.lab;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A router's process, started as the deploy file starts it, and what the system tells of it. */
public final class RouterProcess implements AutoCloseable {
    private static final long START_MS = 30_000;
    private static final int PORT_FIRST = 10_000;
    private static final int PORT_END = 32_000;
    private static final int PORT_TRIES = 100;
    private static final Set<Integer> GIVEN = ConcurrentHashMap.newKeySet();
    private static final int TICKS_PER_S = 100; // of /proc's CPU times, as Linux has it

    private final Process process;
    private final InetSocketAddress address;
    private final List<Path> files;

    private RouterProcess(Process process, InetSocketAddress address, List<Path> files) {
        this.process = process;
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly)); // a measurement that is broken off leaves none
        this.address = address;
        this.files = files;
    }

    /**
     * Starts a router and waits until it is ready.
     *
     * @param jar        the router's jar
     * @param flags      flags of its JVM, in one line
     * @param descriptors the most that it may hold, as its configuration says
     * @param operator   the text of its operator's file; null for none
     * @param fleet      the stand-ins that it serves from
     */
    static RouterProcess start(Path jar, String flags, int descriptors, int memoryMb, String operator, StandIns fleet)
            throws IOException, InterruptedException {
        return start(List.of(), jar, flags, descriptors, memoryMb, operator, fleet);
    }

    /** The same with words of a command that starts it, such as one that binds it to a core. */
    static RouterProcess start(List<String> prefix, Path jar, String flags, int descriptors, int memoryMb, String operator, StandIns fleet)
            throws IOException, InterruptedException {
        Path config = Files.createTempFile("streamproxy-lab", ".json");
        Path ini = Files.createTempFile("streamproxy-lab", ".ini");
        Path log = Files.createTempFile("streamproxy-lab", ".log");
        Files.writeString(config, fleet.configuration(descriptors, memoryMb));
        Files.writeString(ini, operator == null ? "" : operator);
        InetSocketAddress address = free();
        List<String> command = new ArrayList<>(prefix);
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(Arrays.stream(flags.split(" ")).filter(flag -> !flag.isBlank()).toList());
        command.addAll(List.of("-jar", jar.toString(), "serve"));
        if (operator != null) {
            command.addAll(List.of("--operator", ini.toString()));
        }
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log.toFile());
        builder.environment().put("NODE_NAME", "lab");
        builder.environment().put("NODE_LISTEN", "127.0.0.1:" + address.getPort());
        builder.environment().put("NODE_DISCOVERY", fleet.listAddress());
        builder.environment().put("NODE_CONFIG", config.toString());
        RouterProcess router = new RouterProcess(builder.start(), address, List.of(config, ini, log));
        try {
            router.awaitReady();
            return router;
        } catch (IOException | InterruptedException e) {
            router.close();
            throw e;
        }
    }

    /**
     * An address of the loopback that nobody listens at now, for a process that is started a moment later, and given once. Its port lies below
     * those that systems draw for connections (from 32,768 on with Linux, from 49,152 by RFC 6335): one of these may be taken by
     * any connection that some process opens meanwhile.
     *
     * @throws IOException where none of many was free
     */
    public static InetSocketAddress free() throws IOException {
        for (int i = 0; i < PORT_TRIES; i++) {
            int port = ThreadLocalRandom.current().nextInt(PORT_FIRST, PORT_END);
            if (!GIVEN.add(port)) {
                continue; // its router may not listen there yet, and routers share a port with whoever else asks for that
            }
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return (InetSocketAddress) socket.getLocalSocketAddress();
            } catch (BindException taken) {
                continue;
            }
        }
        throw new IOException("none of " + PORT_TRIES + " ports was free");
    }

    private void awaitReady() throws IOException, InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_MS);
        while (System.nanoTime() < until) {
            if (!process.isAlive()) {
                throw new IOException("the router ended: " + log());
            }
            try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
                socket.setSoTimeout((int) START_MS);
                socket.getOutputStream().write("GET /ready HTTP/1.1\r\nHost: lab\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                if (new String(socket.getInputStream().readNBytes(12), StandardCharsets.US_ASCII).endsWith("200")) {
                    return;
                }
            } catch (IOException e) {
                // not there yet
            }
            TimeUnit.MILLISECONDS.sleep(5);
        }
        throw new IOException("the router was not ready in time: " + log());
    }

    private String log() throws IOException { return Files.readString(files.get(2)).strip(); }

    InetSocketAddress address() { return address; }

    long pid() { return process.pid(); }

    boolean isAlive() { return process.isAlive(); }

    /** Memory in use of the process, in KB; as a whole, kernel's sockets left out. */
    long residentKb() throws IOException { return residentKb(pid()); }

    public static long residentKb(long pid) throws IOException { return statusKb(pid, "VmRSS:"); }

    /** The most memory that a process has held so far, in kB. */
    public static long peakKb(long pid) throws IOException { return statusKb(pid, "VmHWM:"); }

    private static long statusKb(long pid, String field) throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc", String.valueOf(pid), "status"))) {
            if (line.startsWith(field)) {
                return Long.parseLong(line.replaceAll("\\D", ""));
            }
        }
        throw new IOException("no " + field);
    }

    /** CPU time taken so far, in seconds. */
    double cpuS() throws IOException { return cpuS(pid()); }

    public static double cpuS(long pid) throws IOException {
        String stat = Files.readString(Path.of("/proc", String.valueOf(pid), "stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) / (double) TICKS_PER_S;
    }

    int threads() throws IOException { return threads(pid()); }

    public static int threads(long pid) throws IOException {
        try (var tasks = Files.list(Path.of("/proc", String.valueOf(pid), "task"))) {
            return (int) tasks.count();
        }
    }

    /** Bytes of the heap that live objects take: what a full collection leaves. */
    long liveHeapBytes() throws IOException, InterruptedException {
        jcmd("GC.run");
        jcmd("GC.run");
        String histogram = jcmd("GC.class_histogram");
        Matcher total = Pattern.compile("Total\\s+\\d+\\s+(\\d+)").matcher(histogram);
        if (!total.find()) {
            throw new IOException("no total in the histogram: " + histogram.substring(0, Math.min(200, histogram.length())));
        }
        return Long.parseLong(total.group(1));
    }

    /** Bytes of the live objects of classes whose name begins so. */
    long liveHeapBytes(String prefix) throws IOException, InterruptedException {
        long bytes = 0;
        Matcher row = Pattern.compile("^\\s*\\d+:\\s+\\d+\\s+(\\d+)\\s+(\\S+)", Pattern.MULTILINE).matcher(jcmd("GC.class_histogram"));
        while (row.find()) {
            bytes += row.group(2).startsWith(prefix) ? Long.parseLong(row.group(1)) : 0;
        }
        return bytes;
    }

    private String jcmd(String command) throws IOException, InterruptedException {
        Process jcmd = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "jcmd").toString(),
                String.valueOf(pid()), command).redirectErrorStream(true).start();
        String out = new String(jcmd.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        if (jcmd.waitFor() != 0) {
            throw new IOException("jcmd " + command + ": " + out.strip());
        }
        return out;
    }

    /** Ends the router and removes what was made for it. */
    @Override public void close() throws IOException {
        process.destroyForcibly();
        try {
            process.waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        for (Path file : files) {
            Files.deleteIfExists(file);
        }
    }
}
