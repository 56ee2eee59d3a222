package streamproxy.routing;

import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.tinylog.Logger;
import streamproxy.protocol.BadMessage;
import streamproxy.protocol.HttpHead;
import streamproxy.protocol.HttpReader;
import streamproxy.protocol.HttpWriter;
import streamproxy.protocol.PassedOn;
import streamproxy.protocol.PromptHeaders;
import streamproxy.transport.Budget;
import streamproxy.transport.Connection;

/**
 * The actor of one client connection. Its thread reads a request, hands it to the module's actor, and then takes
 * the answer from its mailbox and writes it, looking meanwhile whether the client is still there.
 */
public final class ClientConnection implements Client {
    /** What all client connections of the program share. */
    public record Desk(ModuleActor module, Clock clock, List<String> classes, List<String> tenants,
            Budget bodyBytes, BooleanSupplier ready, BooleanSupplier leaving, BooleanSupplier crowded) { }

    private enum Kind { EVENT, ENDED, BROKEN, REFUSED, FAILED }

    private record Letter(Kind kind, byte[] event, long retryAfterNs) { }

    private static final String LATER = "Retry-After: 1";
    private static final String PATH = "/v1/chat/completions";
    private static final long MS = 1_000_000L;
    private static final double SECOND = 1e9;
    /** A client may keep a connection idle so long, and take so long over one part of a message. */
    private static final long IDLE = 300_000 * MS;
    private static final long PART = 10_000 * MS;
    /** How often the client's side is looked at while its request waits. */
    private static final long LOOK = 50 * MS;
    /** Events that wait for a slow client, and how long they may. */
    private static final int MAILBOX = 64;
    private static final long SLOWEST = 5_000 * MS;
    /** How long a client that is turned away may take to read why. */
    private static final long PARTING = 1_000 * MS;

    private final Connection connection;
    private final Desk desk;
    private final HttpReader reader;
    private final HttpWriter writer;
    private final BlockingQueue<Letter> mailbox = new ArrayBlockingQueue<>(MAILBOX);
    private volatile boolean gone;
    private volatile boolean busy;

    public ClientConnection(Connection connection, Desk desk) {
        this.connection = connection;
        this.desk = desk;
        reader = new HttpReader(connection);
        writer = new HttpWriter(connection);
    }

    /** Closes the connection if no request is in work on it. */
    public void closeIfIdle() {
        if (!busy) {
            connection.close();
        }
    }

    /** Closes the connection of a client that does not read its answer; else it would hold its thread for ever. */
    public void closeIfStalled() {
        if (connection.stalled(2 * SLOWEST)) {
            connection.close();
        }
    }

    /** Serves the client's requests one after the other until one side closes. */
    public void run() {
        try {
            while (serveOne()) {
                busy = false;
            }
        } catch (BadMessage e) {
            reject(e);
        } catch (IOException e) {
            Logger.debug(e, "a client's connection ended");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            gone = true;
            connection.close();
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
        HttpHead head = reader.request(IDLE, PART);
        if (head == null) {
            return false;
        }
        busy = true;
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
            reader.body(head, PART);
            boolean ready = desk.ready.getAsBoolean();
            return say(ready ? 200 : 503, ready ? "ready" : "not ready", head);
        }
        int size = reader.bodySize(head);
        if (desk.crowded.getAsBoolean() || !desk.bodyBytes.tryTake(size, 0)) {
            // Short of descriptors or memory: turned away before its body takes any.
            say(503, "too much at once", head, LATER);
            connection.closeGently(PARTING);
            return false;
        }
        try {
            return takeOn(head);
        } finally {
            desk.bodyBytes.giveBack(size);
        }
    }

    private boolean takeOn(HttpHead head) throws IOException, InterruptedException {
        if ("100-continue".equalsIgnoreCase(head.get("Expect"))) {
            writer.goOn();
        }
        byte[] body = reader.body(head, PART);
        PromptHeaders prompted = PromptHeaders.read(head);
        int clazz = desk.classes.indexOf(prompted.clazz());
        if (clazz < 0) {
            throw new BadMessage(400, "Req-Kind is unknown");
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
