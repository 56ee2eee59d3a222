package streamproxy.routing;

import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.tinylog.Logger;
import streamproxy.protocol.BadMessage;
import streamproxy.protocol.HttpHead;
import streamproxy.protocol.HttpReader;
import streamproxy.protocol.HttpWriter;
import streamproxy.protocol.Json;
import streamproxy.protocol.PassedOn;
import streamproxy.protocol.PromptHeaders;
import streamproxy.transport.Budget;
import streamproxy.transport.Connection;
import streamproxy.transport.QuietConnections;
import streamproxy.transport.Threads;

/**
 * The actor of one client connection. With the first byte of a request it gets a thread, which reads the request,
 * hands it to the module's actor, and then takes the answer from its mailbox and writes it, looking meanwhile whether
 * the client is still there.
 */
public final class ClientConnection implements Client, QuietConnections.Owner {
    /** What all client connections of the program share. */
    public record Desk(ModuleActor module, Clock clock, List<String> classes, List<String> tenants,
            Budget bodyBytes, TakenIds taken, QuietConnections quiet, BooleanSupplier ready, BooleanSupplier leaving) { }

    private enum Kind { EVENT, ENDED, BROKEN, REFUSED, FAILED }

    /** What the connection is at: it may be spared while it WAITS for a request, hardly while one is being READ. */
    private enum Phase { WAITING, READING, IN_WORK, SPARED }

    private record Letter(Kind kind, byte[] event, long retryAfterNs) { }

    private static final String LATER = "Retry-After: 1";
    private static final String PATH = "/v1/chat/completions";
    private static final long MS = 1_000_000L;
    private static final double SECOND = 1e9;
    /**
     * A client that says nothing after it has connected is closed, and one whose first request is not whole is told
     * so, within 3 s of connecting; later a request has as long from its first byte on. Each is one limit for head
     * and body together: a byte now and then must not hold a place for ever.
     */
    private static final long MUTE = 2_000 * MS;
    private static final long WHOLE = 2_500 * MS;
    /** A connection without a request is closed after so long: some clients ask once and never close theirs. */
    private static final long IDLE = 3_000 * MS;
    /** Under pressure a request that has been coming for so long is given up for others. */
    private static final long SLOW = 500 * MS;
    /** How often the client's side is looked at while its request waits. */
    private static final long LOOK = 100 * MS;
    /** Events that wait for a slow client, and how long they may. */
    private static final int MAILBOX = 64;
    private static final long SLOWEST = 5_000 * MS;
    /** How long a client that is turned away may take to read why. */
    private static final long PARTING = 1_000 * MS;

    private final Connection connection;
    private final Desk desk;
    private final Consumer<ClientConnection> ended;
    private final HttpReader reader;
    private final HttpWriter writer;
    private final BlockingQueue<Letter> mailbox = new ArrayBlockingQueue<>(MAILBOX);
    private final long connectedAt = System.nanoTime();
    private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.WAITING);
    private volatile long phaseAt = connectedAt;
    private volatile boolean served;
    private volatile boolean gone;

    ClientConnection(Connection connection, Desk desk, Consumer<ClientConnection> ended) {
        this.connection = connection;
        this.desk = desk;
        this.ended = ended;
        reader = new HttpReader(connection);
        writer = new HttpWriter(connection);
    }

    /** Closes the connection if no request has come on it; false where one has. */
    boolean closeIfWaiting() { return !connection.hasArrived() && spare(Phase.WAITING); }

    /**
     * How gladly this connection is closed for the sake of others, the most willing first: one that was served and
     * waits loses nothing, one that has not asked yet may be about to, and one whose request is slow to come may be
     * the only one left. Negative where it must stay.
     */
    long spareable() {
        long since = System.nanoTime() - phaseAt;
        return switch (phase.get()) {
            case WAITING -> connection.hasArrived() ? -1 : served ? 2 * WHOLE + since : since;
            case READING -> since < SLOW ? -1 : 0;
            default -> -1;
        };
    }

    /** Closes the connection for the sake of others; false where it has got something to do meanwhile. */
    boolean spareFor() { return closeIfWaiting() || System.nanoTime() - phaseAt >= SLOW && spare(Phase.READING); }

    private boolean spare(Phase from) {
        boolean spared = phase.compareAndSet(from, Phase.SPARED);
        if (spared) {
            end();
        }
        return spared;
    }

    private void end() {
        gone = true;
        connection.close();
        desk.quiet.letGo();
        ended.accept(this);
    }

    private boolean enter(Phase from, Phase to) {
        phaseAt = System.nanoTime();
        return phase.compareAndSet(from, to);
    }

    /** Closes the connection of a client that does not read its answer; else it would hold its thread for ever. */
    public void closeIfStalled() {
        if (connection.stalled(2 * SLOWEST)) {
            connection.close();
        }
    }

    /** Waits for a request, which may never come, without a thread. */
    void awaitRequest() {
        desk.quiet.add(connection, served ? phaseAt + IDLE : connectedAt + MUTE, this);
    }

    @Override public void arrived() {
        if (enter(Phase.WAITING, Phase.READING)) {
            Threads.start("client", this::serve);
        }
    }

    @Override public void over() { spare(Phase.WAITING); }

    /** Serves the request that has begun to come, and those right behind it. */
    private void serve() {
        boolean goesOn = false;
        try {
            do {
                goesOn = false; // whatever ends this request early ends the connection
                goesOn = serveOne();
                served = true;
            } while (goesOn && connection.holdsMore() && enter(Phase.IN_WORK, Phase.READING));
        } catch (BadMessage e) {
            reject(e);
        } catch (IOException e) {
            Logger.debug(e, "a client's connection ended");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            if (goesOn) {
                phaseAt = System.nanoTime();
                phase.set(Phase.WAITING);
                awaitRequest();
            } else {
                end();
            }
        }
    }

    private void reject(BadMessage e) {
        try {
            writer.answer(e.status(), e.getMessage(), true);
            connection.closeGently(PARTING);
        } catch (IOException lost) {
            Logger.debug(lost, "a client left before it heard of its mistake");
        }
    }

    private boolean serveOne() throws IOException, InterruptedException {
        long by = served ? phaseAt + WHOLE : connectedAt + WHOLE;
        HttpHead head = reader.request(by);
        boolean prompt = head.path().equals(PATH);
        if (!prompt && !head.path().equals("/ready")) {
            throw new BadMessage(404, "no such path");
        }
        if (!head.method().equals(prompt ? "POST" : "GET")) {
            throw new BadMessage(405, "no such method here");
        }
        if (prompt && head.get("Content-Length") == null && !head.chunked()) {
            throw new BadMessage(411, "no length");
        }
        if (!prompt) {
            reader.body(head, by);
            phase.set(Phase.IN_WORK);
            boolean ready = desk.ready.getAsBoolean();
            return say(ready ? 200 : 503, ready ? "ready" : "not ready", head);
        }
        int size = reader.bodySize(head);
        PromptHeaders prompted = PromptHeaders.read(head);
        int clazz = desk.classes.indexOf(prompted.clazz());
        if (clazz < 0) {
            throw new BadMessage(400, "Req-Kind is unknown");
        }
        if (!desk.bodyBytes.tryTake(size, 0)) {
            // Short of memory: turned away before its body takes any.
            say(503, "too much at once", head, LATER);
            connection.closeGently(PARTING);
            return false;
        }
        try {
            return takeOn(head, prompted, clazz, by);
        } finally {
            desk.bodyBytes.giveBack(size);
        }
    }

    private boolean takeOn(HttpHead head, PromptHeaders prompted, int clazz, long by)
            throws IOException, InterruptedException {
        if ("100-continue".equalsIgnoreCase(head.get("Expect"))) {
            writer.goOn();
        }
        byte[] body = reader.body(head, by);
        if (!Json.isObject(body)) {
            throw new BadMessage(400, "the body is no JSON object"); // a wrong length has cut it, or added to it
        }
        if (!enter(Phase.READING, Phase.IN_WORK)) {
            return false;
        }
        if (!desk.taken.add(prompted.id())) {
            throw new BadMessage(409, "Req-Id is taken"); // a box would see a second copy of that request
        }
        Request request = new Request(prompted, clazz, Math.max(0, desk.tenants.indexOf(prompted.tenant())),
                new PassedOn(head.method(), head.target(), prompted.id(), body), this, desk.clock.now());
        if (!desk.module.taken(request)) {
            return say(503, "too much at once", head, LATER);
        }
        return answer(request, head);
    }

    private boolean answer(Request request, HttpHead head) throws IOException, InterruptedException {
        boolean begun = false;
        try {
            while (true) {
                Letter letter = mailbox.poll(LOOK, TimeUnit.NANOSECONDS);
                if (letter == null) {
                    if (connection.look() == Connection.Look.CLOSED) {
                        desk.module.left(request);
                        return false;
                    }
                    continue;
                }
                switch (letter.kind) {
                    case EVENT -> {
                        if (begun) {
                            writer.event(letter.event);
                        } else {
                            writer.firstEvent(letter.event, closing(head));
                            begun = true;
                        }
                    }
                    case ENDED -> {
                        writer.lastChunk();
                        return !closing(head);
                    }
                    case REFUSED -> {
                        return say(503, "refused", head, "Retry-After: "
                                + String.format(Locale.ROOT, "%.3f", letter.retryAfterNs / SECOND));
                    }
                    case FAILED -> {
                        return say(500, "failed", head);
                    }
                    default -> {
                        return false; // a broken stream: closed without the last chunk
                    }
                }
            }
        } catch (IOException e) {
            desk.module.left(request);
            throw e;
        }
    }

    private boolean closing(HttpHead head) { return head.closes() || desk.leaving.getAsBoolean(); }

    private boolean say(int status, String text, HttpHead head, String... fields) throws IOException {
        boolean close = closing(head);
        writer.answer(status, text, close, fields);
        return !close;
    }

    // ---- The mailbox ------------------------------------------------------------------------------

    @Override public boolean event(byte[] event) {
        try {
            boolean room = !gone && mailbox.offer(new Letter(Kind.EVENT, event, 0), SLOWEST, TimeUnit.NANOSECONDS);
            if (!room) {
                connection.close(); // it has not read for long
            }
            return room && !gone;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    @Override public void ended() { last(Kind.ENDED, 0); }

    @Override public void broken() { last(Kind.BROKEN, 0); }

    @Override public void refused(long retryAfterNs) { last(Kind.REFUSED, retryAfterNs); }

    @Override public void failed() { last(Kind.FAILED, 0); }

    private void last(Kind kind, long retryAfterNs) {
        if (!mailbox.offer(new Letter(kind, null, retryAfterNs))) {
            connection.close(); // it has not read for long; this tells it that its stream is not whole
        }
    }
}
