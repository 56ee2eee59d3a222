package streamproxy.routing;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.tinylog.Logger;
import streamproxy.dispatch.AttemptGate;
import streamproxy.protocol.BadMessage;
import streamproxy.protocol.EventContent;
import streamproxy.protocol.EventStream;
import streamproxy.protocol.HttpHead;
import streamproxy.protocol.HttpReader;
import streamproxy.protocol.HttpWriter;
import streamproxy.protocol.Json;
import streamproxy.protocol.PassedOn;
import streamproxy.protocol.StreamPiece;
import streamproxy.decision.Routing.LoadReport;
import streamproxy.decision.Routing.Outcome;
import streamproxy.limits.IntrusiveList;
import streamproxy.streams.CompleteStream;
import streamproxy.streams.StreamDefect;
import streamproxy.streams.StreamProgress;
import streamproxy.transport.Connection;
import streamproxy.transport.QuietConnections;
import streamproxy.transport.SafeLog;
import streamproxy.transport.Threads;

/** One connection to a model box, and the thread that connects, writes and reads on it while it has an errand. */
final class ReplicaConnection extends IntrusiveList.Link implements QuietConnections.Owner {
    /** An attempt to carry, or, where that is null, a probe asked for at that time. */
    record Errand(Attempt attempt, long probeAt) { }

    /** The rest of an answer that is no stream comes at once, or not at all. */
    private static final long REST = 1_000_000_000L;
    /** The first event comes with the head; a stream without a byte of it for so long has been spoilt, and there may be time for another. */
    private static final long FIRST_EVENT = 500_000_000L;
    /** The most bytes of comments ahead of the first event. */
    private static final int MOST_COMMENTS = 16 * 1024;
    /** A probe without an answer for so long has none. */
    private static final long PROBE_WAIT = 1_000_000_000L;
    /** The module's actor ends an attempt in time; this only keeps a thread from waiting for ever. */
    private static final long BEYOND = 1_000_000_000L;
    /** So long a stream whose client has room again waits for a thread to go on with. */
    private static final long RESUME_MOST = 2_000_000_000L;
    /** A request whose last byte was written so long after the last look at its client may have begun for one that had left. */
    private static final long HELD_UP = 50_000_000L;

    /** What to do with the connection: keep it for the next errand, close it, or nothing as its errand is not over. */
    private enum Then { KEEP, CLOSE, PAUSE }

    private final Replica box;
    private final Connection connection;
    private final InetSocketAddress to;
    private HttpReader reader; // none while it is idle, as is the next
    private HttpWriter writer;
    private boolean connected;
    private boolean refused;
    private final AtomicBoolean counted = new AtomicBoolean(); // its end was told to the box
    private boolean answered;
    private long idleNs; // before this errand; 0 for a new connection
    private volatile long idleSince;
    private QuietConnections.Watch watch; // the box's actor alone touches it

    ReplicaConnection(Replica box, Connection connection, InetSocketAddress to) {
        this.box = box;
        this.connection = connection;
        this.to = to;
    }

    /** Runs an errand on a thread of its own; between errands the connection needs none. False where none is to be had. */
    boolean run(Errand errand) {
        try {
            Threads.start("to " + to, () -> carryOut(errand));
            return true;
        } catch (OutOfMemoryError e) {
            Logger.warn(e, "no thread for a connection to a box");
            close();
            return false;
        }
    }

    /** Ends an idle connection that nobody watches. */
    void dismiss() { close(); }

    private void close() {
        connection.close();
        if (counted.compareAndSet(false, true)) {
            box.closed(connected, refused);
        }
    }

    // ---- At rest ------------------------------------------------------------------------------------

    /** Has it watched until that time on the box's clock: the box may close it, or say what nobody asked for. */
    void watchUntil(long until) { watch = box.quiet.add(connection, System.nanoTime() + until - box.clock.now(), this); }

    /** Ends the watch, and tells on another thread whether the connection may still be used. */
    void wake(Consumer<Boolean> then) {
        box.quiet.release(watch, then);
        watch = null;
    }

    @Override public void arrived() { box.over(this); } // it said what nobody asked for

    @Override public void over() { box.over(this); }

    // ---- Errands ------------------------------------------------------------------------------------

    InetSocketAddress to() { return to; }

    long idleSince() { return idleSince; }

    /** For an idle one: whether the box has neither closed it nor sent what nobody asked for. */
    boolean quiet() { return connection.look() == Connection.Look.QUIET; }

    private void carryOut(Errand errand) {
        try {
            answered = false;
            reader = new HttpReader(connection);
            writer = new HttpWriter(connection);
            idleNs = connected ? box.clock.now() - idleSince : 0;
            finish(() -> errand.attempt == null ? probe(errand.probeAt) ? Then.KEEP : Then.CLOSE : carry(errand.attempt));
        } catch (RuntimeException | Error e) { // no memory for it: unsaid, the module would wait for its end
            SafeLog.error(e, "an attempt or a probe ended by a fault");
            close();
            box.turnDown(errand);
        }
    }

    /** Does a part of an errand, and with the connection what then is to be done. */
    private void finish(Supplier<Then> part) {
        Then then = Then.CLOSE;
        try {
            then = part.get();
        } finally {
            if (then == Then.PAUSE) {
                // Its client has enough to read: it goes on, perhaps already, on a thread of its own.
                return;
            }
            if (then == Then.KEEP && !connection.isClosed()) {
                if (idleNs > 0) {
                    box.keptWell();
                }
                idleSince = box.clock.now();
                reader = null;
                writer = null;
                box.idle(this);
            } else {
                close();
            }
        }
    }

    private void connect() throws IOException {
        if (!connected) {
            try {
                connection.connect(to, box.deployment.connectTimeoutNs());
            } catch (IOException e) {
                refused = !connection.isClosed(); // else it was called off
                throw e;
            }
            connected = true;
            box.opened();
        }
    }

    // ---- Attempts ---------------------------------------------------------------------------------

    /** Carries one attempt to its end; true where the connection can be used again. */
    private Then carry(Attempt attempt) {
        attempt.carriedBy(connection);
        boolean written = false;
        StreamProgress progress = null;
        try {
            connect();
            PassedOn request = attempt.request.passedOn();
            AttemptGate.Facts facts = new FactsNow(attempt);
            AttemptGate.Verdict verdict = request == null ? AttemptGate.Verdict.CALLED_OFF : AttemptGate.begin(attempt.bounds, facts);
            if (verdict != AttemptGate.Verdict.GO) {
                notSent(attempt, verdict);
                return Then.KEEP;
            }
            long lookedAt = facts.now();
            long told = attempt.request.deadline.toldNs(attempt.endsAt, lookedAt);
            writer.passOnAllButLast(request, to.getHostString() + ":" + to.getPort(), told);
            verdict = AttemptGate.commit(attempt.bounds, facts, told, lookedAt);
            if (verdict != AttemptGate.Verdict.GO) {
                connection.abort(); // first: the next attempt must not begin while this one can go on
                notSent(attempt, verdict);
                return Then.CLOSE;
            }
            written = true; // from here on it may run
            writer.passOnLast(request);
            attempt.writtenAt = facts.now();
            AttemptGate.broken(attempt.bounds, told, attempt.writtenAt).forEach(rule -> box.rules.broken(rule, attempt.request.prompt.id()));
            noteHeldUp(attempt, attempt.writtenAt - lookedAt);
            Logger.debug("attempt {} of {} at {} is told {} ms, {} ms after the request was read; written in {} ms", attempt.number,
                    attempt.request.prompt.id(), box.id, TimeUnit.NANOSECONDS.toMillis(told),
                    TimeUnit.NANOSECONDS.toMillis(lookedAt - attempt.request.takenAt), TimeUnit.NANOSECONDS.toMillis(attempt.writtenAt - lookedAt));
            HttpHead head = reader.answer(attempt.endsAt - attempt.writtenAt + BEYOND);
            answered = true;
            LoadReport report = report(head.get("Srv-Load"));
            if (head.status() != 200 || !head.chunked()) {
                box.module.over(attempt, outcome(head), 0, report);
                return wholeAfter(head) ? Then.KEEP : Then.CLOSE;
            }
            EventStream events = new EventStream(reader);
            StreamPiece first = firstEvent(events);
            StreamProgress begun = new StreamProgress();
            StreamDefect defect = first == null ? begun.breaks(StreamDefect.NO_EVENT) : begun.event(first.content().says());
            if (defect != null) { // nothing was passed on: another attempt may do better
                noteBreak(attempt, new IncompleteStreamException(defect), true, null);
                close();
                box.module.over(attempt, Outcome.ERROR, 0, report);
                return Then.CLOSE;
            }
            if (!attempt.bind()) {
                box.module.over(attempt, Outcome.CANCELLED, 0, report);
                return Then.CLOSE;
            }
            progress = begun;
            events.begins();
            return new Passing(attempt, head, events, progress, report).begin(first);
        } catch (IOException | RuntimeException | Error e) { // no memory for it: its client must hear of that, too
            broke(attempt, e, written, progress);
            return Then.CLOSE;
        }
    }

    /** The first event, or the first part of it, behind any comments that stand before it; null where the last chunk comes first. */
    private static StreamPiece firstEvent(EventStream events) throws IOException {
        StreamPiece first = events.next(FIRST_EVENT);
        ByteArrayOutputStream comments = new ByteArrayOutputStream(0);
        while (first != null && first.isComment()) {
            comments.writeBytes(first.bytes());
            if (comments.size() > MOST_COMMENTS) {
                throw new BadMessage(502, "too much ahead of the first event");
            }
            first = events.next(FIRST_EVENT);
        }
        return first == null ? null : first.behind(comments.toByteArray());
    }

    /** What is found at the moment at which an attempt may go on. */
    private final class FactsNow implements AttemptGate.Facts {
        private final Attempt attempt;

        FactsNow(Attempt attempt) { this.attempt = attempt; }

        @Override public boolean calledOff() { return attempt.isOver(); }

        @Override public boolean replicaReady() { return box.ready(); }

        @Override public boolean answeredEarly() { return idleNs > 0 && (connection.holdsMore() || connection.hasArrived()); }

        @Override public boolean clientWaits() { return attempt.request.client.isWaiting(); }

        @Override public long now() { return box.clock.now(); }
    }

    /** It has never run: its replica has not got all of it. */
    private void notSent(Attempt attempt, AttemptGate.Verdict verdict) {
        box.rules.notSent(verdict);
        Logger.debug("attempt {} of {} at {} is not sent: {}", attempt.number, attempt.request.prompt.id(), box.id, verdict);
        if (verdict == AttemptGate.Verdict.CLIENT_LEFT && !attempt.request.answered()) {
            box.module.left(attempt.request); // first: else the module would try another replica
        }
        box.module.over(attempt, Outcome.MOOT, 0, null);
    }

    /** Tells a router that was held up, or a replica that was slow to take the request, from a client that was not looked at. */
    private void noteHeldUp(Attempt attempt, long tookNs) {
        if (tookNs > HELD_UP) {
            Logger.warn("request {} was written to {} {} ms after the last look at its client", attempt.request.prompt.id(), box.id,
                    TimeUnit.NANOSECONDS.toMillis(tookNs));
        }
    }

    private static Outcome outcome(HttpHead head) {
        if ("1".equals(head.get("Srv-Declined"))) {
            return Outcome.FULL;
        }
        // What a box finds wrong with the request speaks of the request, not of the box, and it has not run.
        return head.status() / 100 == 4 ? Outcome.MOOT : Outcome.ERROR;
    }

    /** The rest of an answer whose outcome is known already decides only about the connection. */
    private boolean wholeAfter(HttpHead head) {
        try {
            reader.body(head, System.nanoTime() + REST);
            return reusable(head);
        } catch (IOException e) {
            return false;
        }
    }

    /** Bytes that belong to no answer of ours would be read as the next one's. */
    private boolean reusable(HttpHead head) { return !head.closes() && !connection.holdsMore(); }

    /**
     * A stream on its way to the client that gets it: each event is passed on as it comes, up to the end. While the
     * client has enough to read there is no thread here, and the box is not read.
     */
    private final class Passing {
        private final Attempt attempt;
        private final HttpHead head;
        private final EventStream events;
        private final StreamProgress progress;
        private LoadReport last;
        private double kept;

        Passing(Attempt attempt, HttpHead head, EventStream events, StreamProgress progress, LoadReport report) {
            this.attempt = attempt;
            this.head = head;
            this.events = events;
            this.progress = progress;
            last = report;
        }

        Then begin(StreamPiece first) throws IOException {
            box.module.began(attempt); // before the event: what comes after it may come from another thread
            Client.Room room = passOn(first);
            return room == Client.Room.MORE ? pass() : stop(room);
        }

        private Then pass() throws IOException {
            Client client = attempt.request.client;
            // A box that vanishes says nothing: without a limit its client would hang for as long as the box is away.
            for (StreamPiece piece = events.next(client.silenceNs()); piece != null; piece = events.next(client.silenceNs())) {
                StreamDefect defect = progress.event(piece.content().says());
                if (defect != null) {
                    if (defect.isPassedOn()) {
                        passOn(piece);
                    }
                    throw new IncompleteStreamException(defect);
                }
                Client.Room room = passOn(piece);
                if (room != Client.Room.MORE) {
                    return stop(room);
                }
            }
            CompleteStream complete = progress.lastChunk(events.endedWithinEvent());
            if (complete == null) {
                throw new IncompleteStreamException(progress.defect());
            }
            attempt.keptTokens = (long) kept;
            client.ended(complete);
            box.module.over(attempt, Outcome.OK, kept, last);
            return reusable(head) ? Then.KEEP : Then.CLOSE;
        }

        private Client.Room passOn(StreamPiece piece) {
            EventContent content = piece.content();
            progress.took(piece.bytes().length);
            kept = Math.max(kept, content.keptTokens());
            LoadReport said = report(content.loadReport());
            last = said != null ? said : last;
            return attempt.request.client.event(piece, this::resume);
        }

        private Then stop(Client.Room room) {
            if (room == Client.Room.FULL) {
                return Then.PAUSE;
            }
            box.module.left(attempt.request);
            return Then.CLOSE;
        }

        /** There is room again, or the client has gone and the next event shows it. */
        private void resume() { resume(System.nanoTime() + RESUME_MOST); }

        private void resume(long by) {
            try {
                Threads.start("to " + to, () -> finish(this::goOn));
            } catch (OutOfMemoryError e) {
                if (System.nanoTime() - by < 0 && box.later(() -> resume(by))) {
                    return;
                }
                SafeLog.error(e, "no thread to go on with a stream");
                attempt.request.client.broken();
                box.module.over(attempt, Outcome.RESET, 0, null);
                close();
            }
        }

        private Then goOn() {
            try {
                events.resumes();
                return pass();
            } catch (IOException | RuntimeException | Error e) {
                broke(attempt, e, true, progress);
                return Then.CLOSE;
            }
        }
    }

    /** @param progress of the stream that its client gets; null where that has not begun */
    private void broke(Attempt attempt, Throwable e, boolean written, StreamProgress progress) {
        if (attempt.isOver()) {
            return; // called off: the closed connection is how this thread hears of it
        }
        noteBreak(attempt, e, written, progress);
        close(); // before the module hears of it: the next attempt must not begin while this one's connection is open
        if (!(e instanceof IOException)) {
            SafeLog.error(e, "an attempt ended by a fault");
        }
        noteEnd(e);
        if (progress != null) {
            attempt.request.client.broken();
            if (e instanceof SocketTimeoutException) {
                box.module.stalled(attempt);
                return;
            }
        }
        box.module.over(attempt, outcome(e, written), 0, null);
    }

    private static Outcome outcome(Throwable e, boolean written) {
        if (defect(e) == StreamDefect.ERROR_EVENT) {
            return Outcome.ERROR;
        }
        return written ? Outcome.RESET : Outcome.CONNECT_FAILED;
    }

    private void noteBreak(Attempt attempt, Throwable e, boolean written, StreamProgress progress) {
        if (progress == null) {
            Logger.debug("attempt {} of {} at {} ends before its first event, {}written: {}", attempt.number, attempt.request.prompt.id(), box.id,
                    written ? "" : "not ", e);
            return;
        }
        box.rules.incomplete(progress.breaks(defect(e)));
        Logger.info("the stream of request {} from {} breaks off: {}: {}", attempt.request.prompt.id(), attempt.box, progress, e.getMessage());
    }

    private static StreamDefect defect(Throwable e) {
        if (e instanceof IncompleteStreamException incomplete) {
            return incomplete.defect();
        }
        if (e instanceof SocketTimeoutException) {
            return StreamDefect.SILENT;
        }
        if (e instanceof BadMessage) {
            return StreamDefect.MALFORMED;
        }
        return e instanceof IOException ? StreamDefect.CONNECTION_ENDED : StreamDefect.ROUTER_FAILED;
    }

    /** The end of a kept connection before its answer began may come of its having been kept. */
    private void noteEnd(Throwable e) {
        if (idleNs > 0 && !answered && e instanceof IOException && !(e instanceof BadMessage)) {
            box.keptTooLong(idleNs);
        }
    }

    // ---- Probes and reports -----------------------------------------------------------------------

    private boolean probe(long askedAt) {
        Outcome outcome;
        LoadReport report = null;
        boolean keep = false;
        boolean written = false;
        try {
            connect();
            writer.get("/status/load", to.getHostString() + ":" + to.getPort());
            written = true;
            HttpHead head = reader.answer(PROBE_WAIT);
            answered = true;
            String body = new String(reader.body(head, System.nanoTime() + PROBE_WAIT), StandardCharsets.UTF_8);
            report = report(body);
            boolean complete = head.status() != 200 || box.layout.isEmpty() || body.isBlank() || isObject(body);
            outcome = head.status() == 200 ? Outcome.OK : Outcome.ERROR;
            if (!complete) { // it proves nothing, neither readiness nor trouble
                Logger.info("a probe's answer of {} is not complete", to);
                outcome = Outcome.RESET;
            }
            keep = complete && reusable(head);
        } catch (SocketTimeoutException e) {
            outcome = written ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED;
        } catch (IOException e) {
            outcome = written ? Outcome.RESET : Outcome.CONNECT_FAILED;
            noteEnd(e);
        } catch (RuntimeException | Error e) { // unsaid, the replica would never be probed again
            SafeLog.error(e, "a probe ended by a fault");
            outcome = written ? Outcome.RESET : Outcome.CONNECT_FAILED;
        }
        box.module.probed(box.id, outcome, box.clock.now() - askedAt, report);
        return keep;
    }

    private static boolean isObject(String json) { return Json.isObject(json.getBytes(StandardCharsets.UTF_8)); }

    private LoadReport report(String json) {
        if (json == null || json.isBlank()) {
            return null;
        }
        try {
            Map<String, Object> fields = Json.object(Json.parse(json));
            return box.layout.read(name -> Json.number(fields.get(name), Double.NaN));
        } catch (Json.Malformed e) {
            Logger.debug("a load report that cannot be read: {}", json);
            return null;
        }
    }
}
