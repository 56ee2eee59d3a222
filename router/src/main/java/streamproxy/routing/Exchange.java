package streamproxy.routing;

import java.io.IOException;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.tinylog.Logger;
import streamproxy.dispatch.AnswerGate;
import streamproxy.dispatch.ClientDeadline;
import streamproxy.lifecycle.DrainState;
import streamproxy.protocol.BadMessage;
import streamproxy.protocol.HttpHead;
import streamproxy.protocol.HttpReader;
import streamproxy.protocol.HttpWriter;
import streamproxy.protocol.Json;
import streamproxy.protocol.PassedOn;
import streamproxy.protocol.PromptHeaders;
import streamproxy.records.Event;
import streamproxy.timing.TimerWheel;
import streamproxy.transport.Connection;
import streamproxy.transport.Reservation;
import streamproxy.transport.SafeLog;

/**
 * The actor of a client's request: from its first byte to its answer's last it has a thread, which reads the request,
 * hands it to the module's actor, and then takes the answer from its mailbox and writes it, looking meanwhile whether
 * the client is still there. Requests right behind it on the same connection are served by the same.
 */
final class Exchange {
    /** Closes the connection of a client that does not read its answer; else it would hold its thread for ever. */
    private final class Stall extends TimerWheel.Timer {
        @Override protected void due(long now) {
            AnswerBuffer held = answer;
            if (connection.stalled(held == null ? STALLED : 2 * held.lagNs()) || held != null && held.isTooSlow()) {
                connection.close();
            } else {
                desk.timers().set(this, STALL_LOOK);
            }
        }
    }

    /**
     * What becomes of the connection: it waits for the next request; its last word is said, and the client has time to
     * read it (a close at once over bytes that nobody read would reset it); or nobody is there.
     */
    private enum Then { GO_ON, LINGER, END }

    /** How far the exchange is, as the log tells it. */
    private enum Stage { READING, WAITING, STREAMING, ENDED }

    private static final String PATH = "/v1/chat/completions";
    private static final long MS = 1_000_000L;
    /** How often the client's side is looked at while its request waits. */
    private static final long LOOK = 100 * MS;
    /** How long a write may be kept waiting that is no part of a stream, and how often that is looked at. */
    private static final long STALLED = 10_000 * MS;
    private static final long STALL_LOOK = 1_000 * MS;

    private static final String NO_ROOM = "too much at once";
    private static final byte[] REFUSED = HttpWriter.whole(503, NO_ROOM, true);
    private static final byte[] FAILED = HttpWriter.whole(500, "failed", true);
    /** How often, and how long apart, an answer is tried for which there is no memory. */
    private static final int FAILED_TRIES = 5;
    private static final long FAILED_PAUSE = 20 * MS;

    private final ClientConnection at;
    private final ClientConnections all;
    private final Connection connection;
    private final ClientConnections.Desk desk;
    private final HttpReader reader;
    private final HttpWriter writer;
    private final Stall stall = new Stall();
    private final RequestReadTimeout whole;
    private volatile AnswerBuffer answer; // of the request that is served; null before
    private boolean begun; // some of its answer is written
    private boolean handedOn; // the module has it: it may run
    private volatile Stage stage = Stage.READING; // for the log
    private volatile long stageAt = System.nanoTime();
    private volatile String requestId = "-"; // none was read yet
    private CloseReason reason = CloseReason.ANSWERED;
    // Of the answer that is being given; this thread alone touches them.
    private AnswerGate gate;
    private Event.Final how;
    private long firstAt;
    private long events;
    private long bytes;
    private long retryNs;

    Exchange(ClientConnection at, Connection connection, ClientConnections all) {
        this.at = at;
        this.all = all;
        this.connection = connection;
        desk = all.desk();
        whole = new RequestReadTimeout(connection, desk.timers());
        reader = new HttpReader(connection);
        writer = new HttpWriter(connection);
        gate = new AnswerGate(desk.rules());
    }

    /** Serves the request that has begun to come, and those right behind it. */
    void serve() {
        Then then = Then.END;
        try {
            all.begins(this);
            desk.timers().set(stall, STALL_LOOK);
            do {
                then = Then.END; // whatever ends this request early ends the connection
                reason = CloseReason.ANSWERED;
                enters(Stage.READING);
                gate = new AnswerGate(desk.rules());
                then = serveOne();
                gate.ends(then == Then.END && reason == CloseReason.CLIENT_LEFT);
                at.answered();
            } while (then == Then.GO_ON && connection.holdsMore() && at.readsAgain());
        } catch (BadMessage e) {
            then = reject(e);
        } catch (IOException e) {
            reason = CloseReason.CLIENT_LEFT;
            if (begun) {
                Logger.debug(e, "a client's connection ended within its answer");
            } else if (at.isSpared()) {
                then = sayNoRoom();
            } else if (whole.isOver()) {
                then = reject(notWholeInTime());
            } else {
                Logger.debug(e, "a client's connection ended");
            }
        } catch (RuntimeException | Error e) {
            SafeLog.error(e, "a request failed");
            reason = CloseReason.FAILED;
            then = begun ? Then.END : sayFailed(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            ends(then);
        }
    }

    /** Whatever fails here or failed before, the connection's place is free once it has ended. */
    private void ends(Then then) {
        try {
            desk.timers().end(stall);
            desk.timers().end(whole);
            all.isOver(this);
            if (gate != null) {
                gate.ends(reason == CloseReason.CLIENT_LEFT);
            }
            enters(Stage.ENDED);
            switch (then) {
                case GO_ON -> at.rest();
                case LINGER -> at.linger(reason);
                default -> at.end(reason);
            }
        } catch (RuntimeException | Error e) {
            SafeLog.error(e, "a client's connection is closed after");
            at.abandon();
        }
    }

    private void enters(Stage next) {
        stage = next;
        stageAt = System.nanoTime();
    }

    /** The request that it serves and how far it is, for the log. */
    String describe(long now) {
        return "request " + requestId + " " + stage.name().toLowerCase(Locale.ROOT) + " for " + TimeUnit.NANOSECONDS.toMillis(now - stageAt) + " ms";
    }

    /** Where a drain ended the reading before the client's time was up, trying again elsewhere is harmless. */
    private BadMessage notWholeInTime() {
        return at.isCutShort(System.nanoTime()) ? new BadMessage(503, "leaving") : new BadMessage(408, "the request takes too long");
    }

    private Then reject(BadMessage e) {
        reason = CloseReason.BAD_REQUEST;
        try {
            if (!gate.answers(desk.clock().now())) {
                return Then.END;
            }
            writer.answer(e.status(), e.getMessage(), true, e.status() == 503 ? at.later() : new String[0]);
            return Then.LINGER;
        } catch (IOException lost) {
            Logger.debug(lost, "a client left before it heard of its mistake");
            return Then.END;
        }
    }

    /**
     * Answers a request that met a fault with bytes that are there already, since memory may be what is missing. One that was
     * not handed on has not run, so that trying again is harmless.
     */
    private Then sayFailed(Throwable fault) {
        if (!gate.answers(desk.clock().now())) {
            return Then.END;
        }
        byte[] words = fault instanceof OutOfMemoryError && !handedOn ? REFUSED : FAILED;
        for (int i = 0; i < FAILED_TRIES; i++) {
            try {
                connection.write(words);
                return Then.LINGER;
            } catch (OutOfMemoryError again) {
                LockSupport.parkNanos(FAILED_PAUSE); // others give up theirs meanwhile
            } catch (IOException lost) {
                return Then.END;
            }
        }
        return Then.END;
    }

    /** Its place went to others while it was read: it hears of that, and the place is not held any longer for it. */
    private Then sayNoRoom() {
        if (reject(new BadMessage(503, NO_ROOM)) == Then.LINGER) {
            connection.endWriting();
        }
        reason = CloseReason.EVICTED;
        return Then.END;
    }

    private Then serveOne() throws IOException, InterruptedException {
        begun = false;
        handedOn = false;
        long now = System.nanoTime();
        desk.timers().set(whole, at.wholeBy(now) - now);
        HttpHead head = reader.request();
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
            reader.skipBody(head);
            isWhole();
            boolean ready = desk.ready().getAsBoolean();
            return say(ready ? 200 : 503, ready ? "ready" : "not ready", head);
        }
        int memory = reader.bodyMemory(head);
        PromptHeaders prompted = PromptHeaders.read(head);
        requestId = prompted.id();
        Classes.Served served = desk.classes().get().named(prompted.clazz());
        if (served == null) {
            throw new BadMessage(400, "Req-Kind is unknown");
        }
        Reservation reservation = Reservation.of(desk.bodyBytes(), memory);
        if (reservation == null) {
            desk.records().turnedAway(prompted, "no_memory");
            // Short of memory: turned away before its body takes any.
            throw new BadMessage(503, NO_ROOM);
        }
        try (reservation) {
            return takeOn(head, prompted, served, reservation);
        }
    }

    private Then takeOn(HttpHead head, PromptHeaders prompted, Classes.Served served, Reservation reservation) throws IOException, InterruptedException {
        if ("100-continue".equalsIgnoreCase(head.get("Expect"))) {
            writer.goOn();
        }
        byte[] body = reader.body(head);
        reservation.shrinkTo(body.length);
        if (!Json.isObject(body)) {
            throw new BadMessage(400, "the body is no JSON object"); // a wrong length has cut it, or added to it
        }
        if (!isWhole()) {
            return sayNoRoom(); // given up for others meanwhile
        }
        ClientDeadline deadline = ClientDeadline.of(desk.clock().now(), desk.clock().ofNanoTime(connection.arrivedNotBefore()), prompted.deadlineNs());
        gate.owes(prompted.id(), deadline);
        DrainState.Refusal refusal = desk.drain().get().refusal(System.nanoTime());
        if (refusal != null) {
            return refuse(refusal, head, prompted);
        }
        if (!deadline.allowsAttempt(desk.clock().now())) {
            desk.records().turnedAway(prompted, "out_of_time");
            return say(503, "no time is left", head, at.later());
        }
        enters(Stage.WAITING);
        if (!desk.taken().add(prompted.id())) {
            desk.records().turnedAway(prompted, "taken_before");
            throw new BadMessage(409, "Req-Id is taken"); // a box would see a second copy of that request
        }
        AnswerBuffer held = new AnswerBuffer(served.streams(), desk.heldBytes(), System.nanoTime(), connection::hasEnded);
        answer = held;
        Request request = new Request(prompted, served.clazz(), Math.max(0, desk.tenants().indexOf(prompted.tenant())),
                new PassedOn(head.method(), head.target(), prompted.id(), head.get("Idempotency-Key"), body), held, desk.clock().now(), deadline);
        handedOn = true;
        if (!desk.module().taken(request)) {
            desk.records().turnedAway(prompted, "mailbox_full");
            return say(503, NO_ROOM, head, at.later());
        }
        how = Event.Final.LEFT; // unless it gets its answer
        firstAt = 0;
        events = 0;
        bytes = 0;
        retryNs = -1;
        try {
            return answer(request, held, head);
        } finally {
            held.close();
            request.end = new Request.End(how, firstAt, desk.clock().now(), events, bytes, retryNs);
            if (request.sideDone()) {
                desk.records().answered(request);
            }
        }
    }

    /** It came too late on a connection that stayed open: by the time that it had its answer nobody may be here to give it. */
    private Then refuse(DrainState.Refusal refusal, HttpHead head, PromptHeaders prompted) throws IOException {
        String why = refusal.name().toLowerCase(Locale.ROOT);
        desk.records().turnedAway(prompted, why);
        Logger.info("request {} came too late and is refused: {}", prompted.id(), why);
        reason = CloseReason.DRAINED;
        return say(503, "leaving", head, at.later());
    }

    /** Its time has ended with it; false where the connection was given up for others before. */
    private boolean isWhole() {
        desk.timers().end(whole); // if it went off at this moment the request is served all the same, as the last here
        return at.whole();
    }

    private Then answer(Request request, AnswerBuffer held, HttpHead head) throws IOException, InterruptedException {
        boolean closes = false;
        try {
            while (true) {
                AnswerBuffer.Letter letter = held.next(lookAfter(request));
                if (letter == null) {
                    if (held.hasLeft()) {
                        reason = CloseReason.CLIENT_LEFT;
                        desk.module().left(request);
                        return Then.END;
                    }
                    if (isOverdue(request)) {
                        return overdue(request, head);
                    }
                    continue;
                }
                switch (letter.kind()) {
                    case EVENT -> {
                        byte[] piece = letter.piece().bytes();
                        if (begun) {
                            writer.event(piece);
                        } else {
                            closes = closing(head);
                            begun = true;
                            gate.answers(desk.clock().now());
                            enters(Stage.STREAMING);
                            writer.firstEvent(piece, closes);
                            firstAt = desk.clock().now();
                        }
                        held.taken(piece.length);
                        bytes += piece.length;
                        events += letter.piece().content().isData() ? 1 : 0;
                    }
                    case ENDED -> {
                        if (!gate.ends(letter.complete(), bytes)) {
                            how = Event.Final.BROKEN;
                            return Then.LINGER;
                        }
                        connection.noteWhetherEmpty(); // the client's next request follows its last chunk
                        writer.lastChunk();
                        how = Event.Final.SERVED;
                        return next(head, closes);
                    }
                    case REFUSED -> {
                        how = Event.Final.REFUSED;
                        retryNs = letter.retryAfterNs() > 0 ? letter.retryAfterNs() : -1;
                        return say(503, "refused", head, ClientConnections.Desk.retryAfter(letter.retryAfterNs()));
                    }
                    case FAILED -> {
                        how = Event.Final.FAILED;
                        return say(500, "failed", head);
                    }
                    default -> {
                        how = Event.Final.BROKEN;
                        return Then.LINGER; // a broken stream: closed without the last chunk
                    }
                }
            }
        } catch (IOException | RuntimeException | Error e) {
            desk.module().left(request);
            throw e;
        }
    }

    /** How long to wait until the client's side and the deadline are looked at, whichever is sooner. */
    private long lookAfter(Request request) {
        long left = request.answered() ? LOOK : request.deadline.leftNs(desk.clock().now());
        return Math.max(1, Math.min(LOOK, left));
    }

    /** Whether its time is up without an answer; from now on nobody else gives one. */
    private boolean isOverdue(Request request) { return request.deadline.isOver(desk.clock().now()) && request.answer(); }

    /** The module answers before the deadline; should it fail to, its client still gets the one answer in time. */
    private Then overdue(Request request, HttpHead head) throws IOException {
        Logger.warn("request {} had no answer from the module at its deadline", request.prompt.id());
        how = Event.Final.FAILED;
        Then then = say(500, "failed", head);
        desk.module().left(request); // after the answer: it waits while the module's mailbox is full
        return then;
    }

    private boolean closing(HttpHead head) { return whole.isOver() || connection.isSpoilt() || head.closes() || desk.drain().get().closesAfterAnswer(); }

    private Then say(int status, String text, HttpHead head, String... fields) throws IOException {
        boolean close = closing(head);
        begun = true;
        if (!gate.answers(desk.clock().now())) {
            return Then.END;
        }
        connection.noteWhetherEmpty();
        writer.answer(status, text, close, fields);
        return next(head, close);
    }

    /**
     * What becomes of the connection behind an answer. Where the answer announced the close and its client said itself that
     * it closes, it sends nothing more. Where nothing was announced, as the answer began before a drain did, the state of
     * now decides: the connection ends unless a request has come behind the answer, which is read, and served or refused.
     */
    private Then next(HttpHead head, boolean announced) {
        if (!announced && !desk.drain().get().endsBehindAnswer()) {
            return Then.GO_ON;
        }
        boolean unread = connection.holdsMore() || connection.hasArrived();
        if (announced) {
            return head.closes() && !unread ? Then.END : Then.LINGER;
        }
        if (unread) {
            return Then.GO_ON;
        }
        connection.endWriting(); // at once: each moment more may bring a request
        reason = CloseReason.DRAINED;
        return Then.LINGER;
    }
}
