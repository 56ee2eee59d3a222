import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Has a router serve a few prompts from stand-in boxes on loopback and leave on SIGTERM, so that its JVM writes an
 * archive of the classes that it came to need: {@code java deploy/rehearsal/Rehearsal.java JAR ARCHIVE}, from the root.
 * The JVM's flags are those of {@code run} in deploy/balancer.toml, as an archive wants them. Without an archive a router
 * only starts more slowly, so a rehearsal that fails says so in one line and is no failure of the build.
 */
public final class Rehearsal {
    private static final int BOXES = 3;
    private static final int PROMPTS = 60;
    private static final int WORDS = 12;
    private static final long READY_MS = 20_000;
    private static final long END_S = 30;
    private static final String REPORT = "{\"latency_ms\":40.0,\"inflight\":1,\"queue\":0,\"x1\":0.0}";

    private Rehearsal() { }

    private interface Script {
        boolean answer(String head, OutputStream out) throws IOException, InterruptedException;
    }

    public static void main(String[] args) throws Exception {
        Path archive = Path.of(args[1]);
        try {
            rehearse(args[0], archive);
        } catch (IOException e) {
            System.err.println("rehearsal: " + e.getMessage() + "; routers start without an archive");
        }
    }

    private static void rehearse(String jar, Path archive) throws IOException, InterruptedException {
        Files.deleteIfExists(archive);
        StringBuilder known = new StringBuilder();
        for (int i = 0; i < BOXES; i++) {
            long boot = i == 0 ? System.currentTimeMillis() : 0; // one of them is cold
            known.append(i > 0 ? "," : "").append("{\"uid\":\"s-").append(i).append("\",\"endpoint\":\"127.0.0.1:")
                    .append(serve(Rehearsal::box)).append("\",\"az\":\"").append("ab".charAt(i % 2))
                    .append("\",\"model\":\"k\",\"pod_group\":0,\"state\":\"ready\",\"capacity_hint\":1.0,\"boot_ms\":")
                    .append(boot).append('}');
        }
        String list = "{\"rev\":1,\"all\":true,\"targets\":[" + known + "]}";
        int discovery = serve((head, out) -> list(head, out, list));
        Path config = Files.createTempFile("streamproxy-rehearsal", ".json");
        int port = free();
        Files.writeString(config, "{\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"sockets\":1024,\"memory_mb\":192},\"known\":"
                + list + ",\"settings\":" + SETTINGS + "}");
        List<String> command = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString()));
        command.addAll(flags());
        command.addAll(List.of("-XX:ArchiveClassesAtExit=" + archive, "-jar", jar, "serve"));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().putAll(java.util.Map.of("NODE_NAME", "rehearsal", "NODE_LISTEN", "127.0.0.1:" + port,
                "NODE_DISCOVERY", "127.0.0.1:" + discovery, "NODE_CONFIG", config.toString()));
        builder.redirectOutput(ProcessBuilder.Redirect.DISCARD);
        Process router = builder.start();
        try {
            awaitReady(port);
            for (int i = 0; i < PROMPTS; i++) {
                ask(port, "POST", "/v1/chat/completions", i);
            }
            router.destroy(); // SIGTERM
            if (!router.waitFor(END_S, TimeUnit.SECONDS) || !Files.exists(archive)) {
                throw new IOException("no archive was written");
            }
        } finally {
            router.destroyForcibly().waitFor();
            Files.deleteIfExists(config);
        }
    }

    /** Of run in the deploy file; what names an archive is left out, since the JVM is to write one. */
    private static List<String> flags() throws IOException {
        String run = Files.readAllLines(Path.of("deploy", "balancer.toml")).stream().filter(line -> line.startsWith("run"))
                .findFirst().orElseThrow(() -> new IOException("deploy/balancer.toml has no run"));
        return Arrays.stream(run.split("\\s+")).filter(word -> word.startsWith("-X") || word.startsWith("-D"))
                .filter(word -> !word.startsWith("-XX:SharedArchiveFile")).toList();
    }

    private static void awaitReady(int port) throws IOException, InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_MS);
        while (true) {
            try {
                if (ask(port, "GET", "/ready", 0).contains(" 200 ")) {
                    return;
                }
            } catch (IOException e) {
                if (System.nanoTime() > until) {
                    throw new IOException("the router was not ready in time");
                }
            }
            Thread.sleep(20);
        }
    }

    private static int free() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** Asks once on a connection of its own and gives back the answer's first line. */
    private static String ask(int port, String method, String path, int number) throws IOException {
        String body = method.equals("GET") ? "" : "{\"model\":\"chat\",\"stream\":true,\"max_tokens\":20,\"messages\":[{\"role\":\"user\","
                + "\"content\":\"" + "table ".repeat(number) + "\"}]}";
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout((int) READY_MS);
            socket.getOutputStream().write((method + " " + path + " HTTP/1.1\r\nHost: r\r\nConnection: close\r\nReq-Id: "
                    + Long.toHexString(0x9b1f03aa5c7e0000L + number) + "\r\nReq-Kind: chat\r\nReq-Key: " + Long.toHexString(number % 7 + 1)
                    + "\r\nReq-Deadline: 4.000\r\nReq-Extra: prefix=5c0f6e1a2b3d4c5" + number % 3 + ",prompt_len=" + 300
                    + ",prefix_len=" + 200 * (number % 2) + ",max_out=20\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                    .getBytes(StandardCharsets.US_ASCII));
            BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            String first = in.readLine();
            while (in.readLine() != null) {
                // to the end
            }
            return String.valueOf(first);
        }
    }

    // ---- The stand-ins ------------------------------------------------------------------------------

    private static int serve(Script script) throws IOException {
        ServerSocket server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        daemon(() -> {
            try {
                while (true) {
                    Socket socket = server.accept();
                    daemon(() -> converse(socket, script));
                }
            } catch (IOException e) {
                // the rehearsal is over
            }
        });
        return server.getLocalPort();
    }

    private static void daemon(Runnable work) {
        Thread thread = new Thread(work, "stand-in");
        thread.setDaemon(true);
        thread.start();
    }

    private static void converse(Socket socket, Script script) {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            boolean goesOn = true;
            while (goesOn) {
                StringBuilder head = new StringBuilder();
                String line = in.readLine();
                int length = 0;
                for (; line != null && !line.isEmpty(); line = in.readLine()) {
                    head.append(line).append('\n');
                    length = line.startsWith("Content-Length:") ? Integer.parseInt(line.substring(15).strip()) : length;
                }
                for (int read = 0; read < length; read++) {
                    in.read();
                }
                goesOn = line != null && script.answer(head.toString(), socket.getOutputStream());
            }
        } catch (IOException e) {
            // the router has closed
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static boolean box(String head, OutputStream out) throws IOException, InterruptedException {
        if (head.startsWith("GET ")) {
            plain(out, "200 OK", "", REPORT);
            return true;
        }
        if (head.contains("0005")) { // one is turned away, so that it is sent again elsewhere
            plain(out, "503 Full", "Srv-Declined: 1\r\n", "full");
            return true;
        }
        say(out, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int i = 0; i < WORDS; i++) {
            chunk(out, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"table" + i + "\"},\"finish_reason\":null}]}\n\n");
            Thread.sleep(2);
        }
        chunk(out, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":300,\"completion_tokens\":12,\"prompt_tokens_details\":"
                + "{\"cached_tokens\":64}}}\n\n");
        chunk(out, "data: [DONE]\n\n");
        say(out, "0\r\n\r\n");
        return true;
    }

    private static boolean list(String head, OutputStream out, String all) throws IOException, InterruptedException {
        if (!head.contains("follow=1")) {
            plain(out, "200 OK", "", all);
            return true;
        }
        say(out, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
        chunk(out, all + "\n");
        while (true) {
            Thread.sleep(200);
            chunk(out, "\n");
        }
    }

    private static void plain(OutputStream out, String status, String fields, String body) throws IOException {
        say(out, "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + body.length() + "\r\n\r\n" + body);
    }

    private static void chunk(OutputStream out, String text) throws IOException {
        say(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    private static void say(OutputStream out, String text) throws IOException { out.write(text.getBytes(StandardCharsets.US_ASCII)); }

    private static final String SETTINGS = """
            {"Me":0,"Balancers":2,"Az":0,"Areas":["a","b"],"Flavors":["k"],"Discovery":"on_request",
             "Classes":[{"Name":"chat","GiveUp":4000000000,"Promise":1000000000,"Gain":1.0,"Group":"all",
              "Idempotency":"safe","Stream":true,"Window":0}],
             "Domain":{"AimUsPer1000PromptTokens":[0],"ReportX1":"thousands of prompt tokens waiting to be read",
              "TokenAim":[50000000],"Resume":true},
             "Guarantees":{"AskEvery":10000000000,"Fall":2000000000,"GraceToAnswer":20000000,"RampTime":24000000000,
              "StartCapacity":0.12,"StopSendingWithin":500000000,"TipMultiple":2.5},
             "Limits":{"Cancel":true,"ConnectTimeout":500000000,"Keepalive":5000000000,"MaxAttempts":3,
              "MaxRetryAfter":2000000000,"Probes":true,"RetryAfter":true,"SecondCopies":true},
             "Report":{"Fields":["latency_ms","inflight","queue","x1"],"Source":"pull"},"Tenants":[]}""";
}
