package streamproxy.stories;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotEquals;
import static org.junit.Assert.assertTrue;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.jar.JarEntry;
import java.util.jar.JarOutputStream;
import java.util.stream.Stream;
import org.junit.Test;
import streamproxy.program.Main;

/** Starts the program itself, as its users do, and speaks to it over sockets. */
public class ProgramIntegrationTest {
    private static final long ENDS_WITHIN_S = 60;
    private static final String RELOADED = "SERVING after RELOADING";

    /** Starts the program, with {@code before} in front of the command that does. */
    private static String classPath;

    /** The tests' class path with a jar for each folder of classes, as in service: a class from a folder needs a descriptor. */
    private static synchronized String classPath() throws IOException {
        if (classPath == null) {
            List<String> parts = new ArrayList<>();
            for (String part : System.getProperty("java.class.path").split(File.pathSeparator)) {
                parts.add(Files.isDirectory(Path.of(part)) ? jar(Path.of(part)).toString() : part);
            }
            classPath = String.join(File.pathSeparator, parts);
        }
        return classPath;
    }

    private static Path jar(Path folder) throws IOException {
        Path jar = Files.createTempFile("classes", ".jar");
        jar.toFile().deleteOnExit();
        try (JarOutputStream out = new JarOutputStream(Files.newOutputStream(jar)); Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.filter(Files::isRegularFile).toList()) {
                out.putNextEntry(new JarEntry(folder.relativize(file).toString()));
                Files.copy(file, out);
            }
        }
        return jar;
    }

    static Process start(Map<String, String> environment, List<String> before, String... command) throws IOException {
        List<String> whole = new ArrayList<>(before);
        whole.addAll(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp", classPath(), Main.class.getName()));
        whole.addAll(List.of(command));
        ProcessBuilder builder = new ProcessBuilder(whole);
        builder.environment().keySet().removeIf(name -> name.startsWith("NODE_"));
        builder.environment().putAll(environment);
        return builder.start();
    }

    /** The end of a program that is to end by itself. */
    private static int exitOf(Process program) throws InterruptedException {
        if (!program.waitFor(ENDS_WITHIN_S, TimeUnit.SECONDS)) {
            program.destroyForcibly();
            throw new AssertionError("the program has not ended by itself");
        }
        return program.exitValue();
    }

    private static Process start(Map<String, String> environment, String... command) throws IOException {
        return start(environment, List.of(), command);
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return (InetSocketAddress) socket.getLocalSocketAddress();
        }
    }

    static void awaitReady(InetSocketAddress router, Process program) throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(ENDS_WITHIN_S);
        while (program.isAlive()) {
            assertTrue("the program is not ready in time", System.nanoTime() < until);
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
        try (ScriptedPeer box = new ScriptedPeer(e -> e.stream("data: hello\n\n", ScriptedPeer.ENDING));
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

    /** SIGHUP and a second SIGTERM while the program leaves: it goes on leaving, and finishes what it has taken. */
    @Test public void signalsThatComeDuringTheShutdownCutNothingOff() throws Exception {
        InetSocketAddress at = freeAddress();
        CountDownLatch go = new CountDownLatch(1);
        try (ScriptedPeer box = new ScriptedPeer(e -> {
                    e.streamHead();
                    e.chunk("data: hello\n\n");
                    assertTrue(go.await(30, TimeUnit.SECONDS));
                    e.complete();
                });
                Deployment deployment = new Deployment("127.0.0.1:" + at.getPort(), 1024, box)) {
            Process program = start(deployment.environment, "serve");
            try (Caller caller = caller(at, program)) {
                caller.send(Caller.prompt("a1", "{}")).readTo("hello\n\n\r\n");
                ProgramLog log = new ProgramLog(program);
                signal(program, "TERM");
                log.await("LEAVING after SERVING");
                hangUp(program);
                signal(program, "TERM");
                log.await("FINISHING after LEAVING");
                hangUp(program);
                signal(program, "TERM");
                go.countDown();
                String rest = caller.readTo("0\r\n\r\n");
                assertTrue(rest, rest.contains("data: [DONE]\n\n"));
                assertTrue("it ends", program.waitFor(15, TimeUnit.SECONDS));
                assertEquals(0, program.exitValue());
            } finally {
                program.destroyForcibly();
            }
        }
    }

    /** A new process is started beside the running one on the same address, as in an upgrade; it used to exit with 3. */
    @Test public void aSecondProcessOnTheSameAddressServesBesideTheFirst() throws Exception {
        InetSocketAddress at = freeAddress();
        try (ScriptedPeer box = new ScriptedPeer(e -> e.stream("data: hello\n\n", ScriptedPeer.ENDING));
                Deployment deployment = new Deployment("127.0.0.1:" + at.getPort(), 1024, box)) {
            Process old = start(deployment.environment, "serve");
            Process next = null;
            try {
                awaitReady(at, old);
                next = start(deployment.environment, "serve");
                old.destroy(); // SIGTERM: the old one leaves, the new one goes on alone
                assertTrue(old.waitFor(15, TimeUnit.SECONDS));
                awaitReady(at, next);
                try (Caller caller = new Caller(at)) {
                    String answer = caller.send(Caller.prompt("a1", "{}")).readTo("0\r\n\r\n");
                    assertTrue(answer, answer.contains("data: hello\n\n"));
                }
                assertTrue("the new process still runs", next.isAlive());
            } finally {
                old.destroyForcibly();
                if (next != null) {
                    next.destroyForcibly();
                }
            }
        }
    }

    /** A new connection to the program, once it is ready. */
    private static Caller caller(InetSocketAddress at, Process program) throws Exception {
        awaitReady(at, program);
        return new Caller(at);
    }

    private static void hangUp(Process program) throws Exception { signal(program, "HUP"); }

    private static void signal(Process program, String name) throws Exception {
        assertEquals(0, new ProcessBuilder("kill", "-" + name, String.valueOf(program.pid())).start().waitFor());
    }

    /** Unhandled, SIGHUP ends a JVM; and each service's versions are its own. */
    @Test public void onSighupItMovesToTheBoxListThatItsFileNamesAndKeepsTheOldOneForABadFile() throws Exception {
        InetSocketAddress at = freeAddress();
        CountDownLatch go = new CountDownLatch(1);
        try (ScriptedPeer box = new ScriptedPeer(e -> {
                    e.streamHead();
                    e.chunk("data: hello\n\n");
                    assertTrue(go.await(10, TimeUnit.SECONDS));
                    e.complete();
                });
                ScriptedPeer newcomer = new ScriptedPeer(e -> e.stream("data: new\n\n", ScriptedPeer.ENDING));
                ScriptedPeer list = new ScriptedPeer(e -> {
                    if (e.head().contains("follow=1")) {
                        e.streamHead();
                    } else {
                        e.answer("200 OK", "", Deployment.told(7, true,
                                Deployment.entry("s-9", newcomer.address(), "ready")));
                    }
                });
                Deployment deployment = new Deployment("127.0.0.1:" + at.getPort(), 1024, box)) {
            Process program = start(deployment.environment, "serve");
            try (Caller early = caller(at, program); Caller caller = caller(at, program)) {
                early.send(Caller.prompt("a1", "{}")).readTo("hello\n\n\r\n");
                ProgramLog log = new ProgramLog(program);
                for (String why : List.of("malformed JSON", "Me: 1 is none of 1 routers")) {
                    if (why.startsWith("Me")) {
                        deployment.configureOtherwise(list.address(), "\"Me\":0", "\"Me\":1");
                    } else {
                        deployment.configure("{\"discovery\":");
                    }
                    hangUp(program);
                    String line = log.await("the old configuration stays");
                    assertTrue(line, line.contains(why));
                }
                deployment.configureDiscovery(list.address());
                hangUp(program);
                assertTrue(list.attempts.poll(10, TimeUnit.SECONDS).head().startsWith("GET /v1/endpoints HTTP"));
                assertTrue(list.attempts.poll(10, TimeUnit.SECONDS).head().contains("?follow=1&since=7 "));
                String answer = caller.send(Caller.prompt("a2", "{}")).readTo("0\r\n\r\n");
                assertTrue(answer, answer.contains("data: new\n\n"));
                go.countDown();
                early.readTo("0\r\n\r\n"); // what was taken before is served to its end
            } finally {
                program.destroyForcibly();
            }
        }
    }

    /** With more connections than threads fit in, the router would be killed for its memory. */
    @Test public void limitsThatLeaveNoRoomAreSaidAtTheStart() throws Exception {
        try (ScriptedPeer box = new ScriptedPeer(e -> { });
                Deployment deployment = new Deployment("127.0.0.1:0", 40, box)) {
            Process program = start(deployment.environment, "serve");
            assertNotEquals(0, exitOf(program));
            String said = new String(program.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
            assertEquals("streamproxy: NODE_CONFIG: limits leave no room for connections\n", said);
        }
    }

    /** A router that reckons with a wrong number of others takes the turns of some and leaves the boxes of others. */
    @Test public void numbersOfRoutersThatCannotBeAreSaidAtTheStart() throws Exception {
        String[][] bad = {{"\"Balancers\":1,", "", "setting missing or unreadable: Balancers"},
            {"\"Balancers\":1", "\"Balancers\":0", "setting Balancers: 0 is no number of routers"},
            {"\"Balancers\":1", "\"Balancers\":2.5", "setting Balancers: 2.5 is no whole number"},
            {"\"Me\":0", "\"Me\":1", "setting Me: 1 is none of 1 routers, which are numbered from 0"}};
        try (Deployment deployment = Deployment.of()) {
            for (String[] one : bad) {
                deployment.configureOtherwise(deployment.list.address(), one[0], one[1]);
                assertEquals("streamproxy: NODE_CONFIG: " + one[2] + "\n", said(start(deployment.environment, "serve"), 3));
            }
        }
    }

    /** Ten of 14 routers that are killed and come back at once must not come down on the boxes. */
    @Test public void killedAndStartedAgainUnderLoadItServesAndProbesAndConnectsNoMoreThanItIsAsked() throws Exception {
        InetSocketAddress at = freeAddress();
        ScriptedPeer[] boxes = new ScriptedPeer[12];
        for (int i = 0; i < boxes.length; i++) {
            boxes[i] = new ScriptedPeer(e -> e.stream("data: hello\n\n", ScriptedPeer.ENDING));
        }
        try (Deployment deployment = new Deployment("127.0.0.1:" + at.getPort(), 1024, boxes)) {
            for (int life = 0; life < 2; life++) {
                for (ScriptedPeer box : boxes) {
                    box.connections.set(0);
                    box.probes.set(0);
                }
                Process program = start(deployment.environment, "serve");
                try {
                    awaitReady(at, program);
                    List<Caller> callers = new ArrayList<>();
                    for (int i = 0; i < 40; i++) {
                        callers.add(new Caller(at).send(Caller.prompt("a" + i, "{}")));
                    }
                    for (int i = 0; i < 40 && life > 0; i++) {
                        String answer = callers.get(i).readTo("0\r\n\r\n");
                        assertTrue(answer, answer.startsWith("HTTP/1.1 200 "));
                    }
                    int probes = 0;
                    int connections = 0;
                    for (ScriptedPeer box : boxes) {
                        probes += box.probes.get();
                        connections += box.connections.get();
                    }
                    assertTrue("probes " + probes, probes <= 40 + 10); // those saved up for a start, and one for each prompt
                    assertTrue("connections " + connections, connections <= 40 + probes);
                } finally {
                    program.destroyForcibly().waitFor();
                }
            }
        } finally {
            for (ScriptedPeer box : boxes) {
                box.close();
            }
        }
    }

    @Test public void withoutItsConfigurationItSaysWhyInOneLineAndFails() throws Exception {
        try (ScriptedPeer box = new ScriptedPeer(e -> { });
                Deployment deployment = Deployment.of(box)) {
            Map<String, String> broken = new HashMap<>(deployment.environment);
            broken.put("NODE_LISTEN", "here");
            Map<String, String> missing = new HashMap<>(deployment.environment);
            missing.put("NODE_CONFIG", "/nowhere.json");
            for (Map<String, String> environment : java.util.List.of(Map.<String, String>of(), broken, missing)) {
                Process program = start(environment, "serve");
                assertNotEquals(0, exitOf(program));
                String said = new String(program.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
                assertTrue(said, said.startsWith("streamproxy: NODE_") && said.indexOf('\n') == said.length() - 1);
            }
        }
    }

    private static String said(Process program, int exit) throws Exception {
        int ended = exitOf(program); // what it says is short, and fits in the pipes
        String out = new String(program.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        String err = new String(program.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(err, exit, ended);
        return out + err;
    }

    private static Path operator(String text) throws IOException {
        Path file = Files.createTempFile("operator", ".ini");
        Files.writeString(file, text);
        return file;
    }

    @Test public void anOperatorsFileThatCannotBeUsedIsSaidInOneLineWithItsPlace() throws Exception {
        Path file = operator("[connections]\nclients_most = 100\nactive_most = 101\n");
        try (ScriptedPeer box = new ScriptedPeer(e -> { }); Deployment deployment = Deployment.of(box)) {
            String line = "streamproxy: " + file + ": line 3: [connections] active_most: active_most is over clients_most, which is 100\n";
            assertEquals(line, said(start(deployment.environment, "serve", "--operator", file.toString()), 3));
            assertEquals(line, said(start(Map.of(), "config", "check", "--operator", file.toString()), 3));
        } finally {
            Files.delete(file);
        }
    }

    @Test public void onSighupTheOperatorsFileIsReadAgainAndABadOneChangesNothing() throws Exception {
        InetSocketAddress at = freeAddress();
        Path file = operator("[connections]\nclient_idle_s = 600\nclient_mute_s = 600\n");
        try (ScriptedPeer box = new ScriptedPeer(e -> e.stream("data: hello\n\n", ScriptedPeer.ENDING));
                Deployment deployment = new Deployment("127.0.0.1:" + at.getPort(), 1024, box)) {
            deployment.configureDiscovery(deployment.list.address());
            Process program = start(deployment.environment, "serve", "--operator", file.toString());
            try (Caller early = caller(at, program)) {
                early.send(Caller.prompt("a1", "{}")).readTo("0\r\n\r\n");
                Files.writeString(file, "[connections]\nclient_idle = 0.1\n");
                hangUp(program);
                ProgramLog log = new ProgramLog(program);
                String line = log.await("the old configuration stays");
                assertTrue(line, line.contains("line 2: [connections] client_idle: no such key"));
                log.await(RELOADED);
                Files.writeString(file, "[connections]\nclient_idle_s = 0.1\nclient_mute_s = 600\n[streams]\nhold_kb = 32\n");
                hangUp(program);
                line = log.await("reload: ");
                assertTrue("what cannot change is said: " + line, line.contains("reload: [streams] is as before until a restart"));
                log.await(RELOADED);
                try (Caller later = caller(at, program)) {
                    String answer = later.send(Caller.prompt("a2", "{}")).readAll(); // comes back with the close
                    assertTrue(answer, answer.startsWith("HTTP/1.1 200 ") && answer.endsWith("0\r\n\r\n"));
                }
                // One that rested before has the time that it was given then.
                early.send(Caller.prompt("a3", "{}")).readTo("0\r\n\r\n");
            } finally {
                program.destroyForcibly();
            }
        } finally {
            Files.delete(file);
        }
    }

    @Test public void eachCommandSaysWhatItIsForAndWrongUsageIsTwo() throws Exception {
        for (String[] command : new String[][] {{}, {"serve"}, {"benchlink"}, {"config"}, {"config", "check"}}) {
            List<String> words = new ArrayList<>(List.of(command));
            words.add("--help");
            String help = said(start(Map.of(), words.toArray(new String[0])), 0);
            assertTrue(help, help.contains("Usage: streamproxy") && help.contains("Example"));
        }
        assertTrue(said(start(Map.of(), "--version"), 0).startsWith("streamproxy "));
        assertTrue(said(start(Map.of(), "sreve"), 2).contains("sreve"));
        assertTrue(said(start(Map.of()), 2).contains("Usage: streamproxy"));
        assertTrue(said(start(Map.of(), "config", "check", "--json"), 0).startsWith("{\"descriptors\":1024,"));
    }

    /** The platform gives no operator's file: what it runs must be as without one. */
    @Test public void thePlatformsRunLineNamesNoOperatorsFile() throws Exception {
        String run = Files.readAllLines(Path.of("../deploy/balancer.toml")).stream().filter(line -> line.startsWith("run ")).findFirst()
                .orElseThrow();
        assertTrue(run, run.endsWith("-jar router/target/streamproxy.jar serve\""));
    }
}
