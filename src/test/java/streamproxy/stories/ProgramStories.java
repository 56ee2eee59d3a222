package streamproxy.stories;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.Test;
import streamproxy.program.Main;

/** Starts the program itself, as its users do, and speaks to it over sockets. */
public class ProgramStories {
    private static Process start(Map<String, String> environment, String command) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp", System.getProperty("java.class.path"), Main.class.getName(), command);
        builder.environment().keySet().removeIf(name -> name.startsWith("NODE_"));
        builder.environment().putAll(environment);
        return builder.start();
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return (InetSocketAddress) socket.getLocalSocketAddress();
        }
    }

    private static void awaitReady(InetSocketAddress router, Process program) throws Exception {
        while (program.isAlive()) {
            try (Caller caller = new Caller(router)) {
                String answer = caller.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").readTo("\n");
                if (answer.startsWith("HTTP/1.1 200 ")) {
                    return;
                }
            } catch (java.net.ConnectException e) {
                // it has not opened its listener yet
            }
            Thread.sleep(20);
        }
        throw new IOException("ended with " + program.exitValue());
    }

    @Test public void itServesAndOnSigtermLeavesWithZero() throws Exception {
        InetSocketAddress at = freeAddress();
        try (ScriptedBox box = new ScriptedBox(e -> e.stream("data: hello\n\n", "data: [DONE]\n\n"));
                Deployment deployment = new Deployment("127.0.0.1:" + at.getPort(), 1024, box)) {
            Process program = start(deployment.environment, "serve");
            try {
                awaitReady(at, program);
                try (Caller caller = new Caller(at)) {
                    String answer = caller.send(Caller.prompt("a1", "{}")).readTo("0\r\n\r\n");
                    assertTrue(answer, answer.contains("data: hello\n\n"));
                }
                program.destroy();
                assertTrue(program.waitFor(15, TimeUnit.SECONDS));
                assertEquals(0, program.exitValue());
            } finally {
                program.destroyForcibly();
            }
        }
    }

    /** With more connections than threads fit in, the router would be killed for its memory. */
    @Test public void limitsThatLeaveNoRoomAreSaidAtTheStart() throws Exception {
        try (ScriptedBox box = new ScriptedBox(e -> { });
                Deployment deployment = new Deployment("127.0.0.1:0", 40, box)) {
            Process program = start(deployment.environment, "serve");
            String said = new String(program.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
            assertNotEquals(0, program.waitFor());
            assertEquals("streamproxy: NODE_CONFIG: limits leave no room for connections\n", said);
        }
    }

    @Test public void withoutItsConfigurationItSaysWhyInOneLineAndFails() throws Exception {
        try (ScriptedBox box = new ScriptedBox(e -> { });
                Deployment deployment = Deployment.of(box)) {
            Map<String, String> broken = new HashMap<>(deployment.environment);
            broken.put("NODE_LISTEN", "here");
            Map<String, String> missing = new HashMap<>(deployment.environment);
            missing.put("NODE_CONFIG", "/nowhere.json");
            for (Map<String, String> environment : java.util.List.of(Map.<String, String>of(), broken, missing)) {
                Process program = start(environment, "serve");
                String said = new String(program.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
                assertNotEquals(0, program.waitFor());
                assertTrue(said, said.startsWith("streamproxy: NODE_") && said.indexOf('\n') == said.length() - 1);
            }
        }
    }
}
