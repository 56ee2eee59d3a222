package streamproxy.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import streamproxy.dispatch.RuleMonitor;
import streamproxy.lifecycle.DrainState;
import streamproxy.limits.RetryAfterSchedule;
import streamproxy.limits.ConnectionLimits;
import streamproxy.protocol.PromptHeaders;
import streamproxy.streams.StreamLimits;
import streamproxy.transport.Budget;
import streamproxy.transport.Listener;
import streamproxy.transport.QuietConnections;
import streamproxy.transport.Timers;

/** A request that was read has its one answer in time, whatever becomes of the module. */
@Timeout(60)
class ExchangeTest {
    private static final long SECOND = 1_000_000_000L;

    private final AtomicReference<Classes> classes = new AtomicReference<>(
            new Classes(List.of(ActorFixtures.CHAT), List.of(new StreamLimits(65_536, SECOND, SECOND, SECOND, 8))));
    private ModuleActor module;
    private Listener listener;
    private Socket client;

    /** The module is never started: whatever it is told stays in its mailbox. */
    @BeforeEach void start() throws Exception {
        Clock clock = new Clock();
        ConnectionLimits limits = ActorFixtures.limits(0, 0);
        QuietConnections quiet = ActorFixtures.startedWatch();
        Timers timers = new Timers();
        timers.start();
        module = new ModuleActor(ActorFixtures.SETTINGS, 1, clock, new Replicas(ActorFixtures.replicas(clock, quiet, limits, 10)));
        listener = new Listener(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), new ClientConnections(
                new ClientConnections.Desk(module, clock, classes, List.of(), new Budget(1 << 20), new RecentRequestIds(), quiet, timers,
                        () -> true, () -> DrainState.SERVING, new RetryAfterSchedule(1), 0, Records.NONE, new Budget(1 << 20), RuleMonitor.silent()), limits));
        listener.start();
        client = new Socket(listener.address().getAddress(), listener.address().getPort());
        client.setSoTimeout(15_000);
    }

    @AfterEach void end() throws Exception {
        client.close();
        listener.close();
        Thread.getAllStackTraces().keySet().stream().filter(t -> t.getName().equals("client"))
                .forEach(Thread::interrupt); // one may wait for room in the module's mailbox
    }

    private void send(String deadline) throws IOException {
        client.getOutputStream().write(("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nReq-Id: a\r\nReq-Kind: chat\r\nReq-Key: 1\r\n"
                + "Req-Deadline: " + deadline + "\r\nReq-Extra: prompt_len=100,max_out=50\r\nContent-Length: 2\r\n\r\n{}")
                .getBytes(StandardCharsets.US_ASCII));
    }

    private String statusLine() throws IOException {
        return new String(client.getInputStream().readNBytes(13), StandardCharsets.US_ASCII);
    }

    @Test void aRequestIsAnsweredAtItsDeadlineWhereTheModuleDoesNotAnswer() throws Exception {
        long from = System.nanoTime();
        send("0.300");
        assertEquals("HTTP/1.1 500 ", statusLine());
        assertTrue(System.nanoTime() - from >= 3 * SECOND / 10, "not before its deadline");
    }

    /** Whoever tells a module with a full mailbox that a request is over waits: its client must not. */
    @Test void aRequestIsAnsweredAtItsDeadlineThoughTheModulesMailboxFillsUp() throws Exception {
        send("1.000");
        while (module.isEmpty()) {
            Thread.onSpinWait();
        }
        PromptHeaders prompt = new PromptHeaders("b", "chat", "", 1, SECOND, 0, 10, 0, 10, false);
        while (module.taken(new Request(prompt, ActorFixtures.CHAT, 0, null, null, 0))) {
            continue;
        }
        assertEquals("HTTP/1.1 500 ", statusLine());
    }

    /** A fault of our own while a request is read is an answer, too. */
    @Test void aRequestThatMeetsAFaultIsAnswered() throws Exception {
        classes.set(null);
        send("3.000");
        assertEquals("HTTP/1.1 500 ", statusLine());
    }
}
