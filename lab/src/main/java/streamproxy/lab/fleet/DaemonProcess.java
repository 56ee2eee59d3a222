package streamproxy.lab.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import streamproxy.protocol.Json;

/** One router of a fleet as a real process: started, stalled, killed and asked from outside. */
public final class DaemonProcess {
    /** An answer where operators call. */
    public record Reply(int status, String body) {
        public Map<String, Object> json() { return Json.object(Json.parse(body)); }
    }

    private static final int CALL_MS = 1_000;
    private static final int PROMPT_MS = 10_000;

    private final String name;
    private final List<String> command;
    private final Map<String, String> told;
    private final InetSocketAddress operator;
    private final Path log;
    private Process process;

    public DaemonProcess(String name, List<String> command, Map<String, String> told, InetSocketAddress operator, Path log) {
        this.name = name;
        this.command = command;
        this.told = told;
        this.operator = operator;
        this.log = log;
    }

    /** The same started by another program, which is given these words and then its command. */
    DaemonProcess under(List<String> words) {
        return new DaemonProcess(name, Stream.concat(words.stream(), command.stream()).toList(), told, operator, log);
    }

    public String name() { return name; }

    public synchronized void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.environment().putAll(told);
        Process started = builder.start();
        process = started;
        Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly)); // a run that is broken off leaves none
    }

    public synchronized Process process() { return process; }

    public boolean isAlive() { return process().isAlive(); }

    public boolean isStarted() { return process() != null; }

    /** Whether it was started and has not ended. */
    public boolean isRunning() { return isStarted() && isAlive(); }

    /** Where its clients connect. */
    public InetSocketAddress listen() {
        int colon = told.get("NODE_LISTEN").lastIndexOf(':');
        return new InetSocketAddress("127.0.0.1", Integer.parseInt(told.get("NODE_LISTEN").substring(colon + 1)));
    }

    /** Where operators call it. */
    public InetSocketAddress operators() { return operator; }

    /** Sends a prompt as a client does, on a connection of its own; the answer's status, or 0 where it broke off. */
    public int prompt() throws IOException {
        try (Socket socket = new Socket(listen().getAddress(), listen().getPort())) {
            socket.setSoTimeout(PROMPT_MS);
            socket.getOutputStream().write(("POST /v1/chat/completions HTTP/1.1\r\nHost: lab\r\nConnection: close\r\nReq-Id: "
                    + Long.toHexString(ThreadLocalRandom.current().nextLong()) + "\r\nReq-Kind: chat\r\nReq-Key: 1\r\nReq-Deadline: 4.000\r\n"
                    + "Req-Extra: prompt_len=20,max_out=20\r\nContent-Length: 2\r\n\r\n{}").getBytes(StandardCharsets.US_ASCII));
            String all = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            return all.length() < 12 ? 0 : Integer.parseInt(all.substring(9, 12));
        }
    }

    /** SIGKILL, and waits until it has ended. */
    public void kill() {
        Process now = process();
        if (now != null) {
            now.destroyForcibly();
            try {
                now.waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** SIGTERM. */
    public void terminate() { process().destroy(); }

    /** SIGHUP. */
    public void hangUp() throws IOException, InterruptedException { signal("HUP"); }

    /** SIGSTOP. */
    public void stall() throws IOException, InterruptedException { signal("STOP"); }

    /** SIGCONT. */
    public void goOn() throws IOException, InterruptedException { signal("CONT"); }

    private void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, String.valueOf(process().pid())).inheritIO().start().waitFor();
    }

    /** Calls where operators do; null where nobody answers in time. */
    public Reply get(String path) { return call("GET", path); }

    /** The same with a method. */
    public Reply call(String method, String path) {
        try (Socket socket = new Socket()) {
            socket.connect(operator, CALL_MS);
            socket.setSoTimeout(CALL_MS);
            socket.getOutputStream().write((method + " " + path + " HTTP/1.1\r\nHost: lab\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            String all = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            int body = all.indexOf("\r\n\r\n");
            return body < 0 ? null : new Reply(Integer.parseInt(all.substring(9, 12)), all.substring(body + 4));
        } catch (IOException | NumberFormatException e) {
            return null;
        }
    }

    /** How the fleet looks from here; empty where it does not answer. */
    public Map<String, Object> status() {
        Reply reply = get("/admin/fleet");
        return reply == null || reply.status() != 200 ? Map.of() : reply.json();
    }

    /** Whether it is a member and knows who leads. */
    public boolean isWell() {
        Map<String, Object> status = status();
        return Boolean.TRUE.equals(status.get("member")) && !"".equals(status.get("leader"));
    }

    public String log() throws IOException { return Files.readString(log); }

    /** Looks again and again until it is so. */
    public static void await(String what, long seconds, BooleanSupplier so) throws InterruptedException {
        long by = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (!so.getAsBoolean()) {
            if (System.nanoTime() > by) {
                throw new AssertionError("not within " + seconds + " s: " + what);
            }
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }
}
