package streamproxy.routing;

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
import streamproxy.protocol.EventStream;
import streamproxy.protocol.HttpHead;
import streamproxy.protocol.HttpReader;
import streamproxy.protocol.HttpWriter;
import streamproxy.protocol.Json;
import streamproxy.protocol.PassedOn;
import streamproxy.decision.Routing.LoadReport;
import streamproxy.decision.Routing.Outcome;
import streamproxy.limits.IntrusiveList;
import streamproxy.streams.StreamDefect;
import streamproxy.transport.Connection;
import streamproxy.transport.QuietConnections;
import streamproxy.transport.SafeLog;
import streamproxy.transport.Threads;

/** One connection to a replica, and the thread that connects, writes and reads on it while it has an errand. */
final class ReplicaConnection extends IntrusiveList.Link implements QuietConnections.Owner {
    /** An attempt to carry, or, where that is null, a probe asked for at that time. */
    record Errand(Attempt attempt, long probeAt) { }

    /** The rest of an answer that is no stream comes at once, or not at all. */
    private static final long REST = 1_000_000_000L;
    /** The most bytes of a probe's answer: a load report is a few numbers. */
    private static final int MOST_REPORT = 16 * 1024;
    /** So many values of a load report are kept at most. */
    private static final int MOST_REPORT_VALUES = 64;
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

    private final Replica replica;
    private final Connection connection;
    private final InetSocketAddress to;
    private HttpReader reader; // none while it is idle, as is the next
    private HttpWriter writer;
    private boolean connected;
    private boolean refused;
    private final AtomicBoolean counted = new AtomicBoolean(); // its end was told to the replica
    private boolean answered;
    private ReplicaStream bound; // what the attempt's client gets; null before its first event
    private long idleNs; // before this errand; 0 for a new connection
    private volatile long idleSince;
    private QuietConnections.Watch watch; // the replica's actor alone touches it

    ReplicaConnection(Replica replica, Connection connection, InetSocketAddress to) {
        this.replica = replica;
        this.connection = connection;
        this.to = to;
    }

    /** Runs an errand on a thread of its own; between errands the connection needs none. False where none is to be had. */
    boolean run(Errand errand) {
        try {
            Threads.start("to " + to, () -> carryOut(errand));
            return true;
        } catch (OutOfMemoryError e) {
            Logger.warn(e, "no thread for a connection to a replica");
            close();
            return false;
        }
    }

    /** Ends an idle connection that nobody watches. */
    void dismiss() { close(); }

    private void close() {
        connection.close();
        if (counted.compareAndSet(false, true)) {
            replica.closed(connected, refused);
        }
    }

    // ---- At rest ------------------------------------------------------------------------------------

    /** Has it watched until that time on the replica's clock: the replica may close it, or say what nobody asked for. */
    void watchUntil(long until) { watch = replica.quiet.add(connection, System.nanoTime() + until - replica.clock.now(), this); }

    /** Ends the watch, and tells on another thread whether the connection may still be used. */
    void wake(Consumer<Boolean> then) {
        replica.quiet.release(watch, then);
        watch = null;
    }

    @Override public void arrived() { replica.over(this); } // it said what nobody asked for

    @Override public void over() { replica.over(this); }

    // ---- Errands ------------------------------------------------------------------------------------

    InetSocketAddress to() { return to; }

    long idleSince() { return idleSince; }

    /** For an idle one: whether the replica has neither closed it nor sent what nobody asked for. */
    boolean quiet() { return connection.look() == Connection.Look.QUIET; }

    private void carryOut(Errand errand) {
        try {
            answered = false;
            reader = new HttpReader(connection);
            writer = new HttpWriter(connection);
            idleNs = connected ? replica.clock.now() - idleSince : 0;
            finish(() -> errand.attempt == null ? probe(errand.probeAt) ? Then.KEEP : Then.CLOSE : carry(errand.attempt));
        } catch (RuntimeException | Error e) { // no memory for it: unsaid, the module would wait for its end
            SafeLog.error(e, "an attempt or a probe ended by a fault");
            close();
            replica.turnDown(errand);
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
                    replica.keptWell();
                }
                idleSince = replica.clock.now();
                reader = null;
                writer = null;
                replica.idle(this);
            } else {
                close();
            }
        }
    }

    private void connect() throws IOException {
        if (!connected) {
            try {
                connection.connect(to, replica.deployment.connectTimeoutNs());
            } catch (IOException e) {
                refused = !connection.isClosed(); // else it was called off
                throw e;
            }
            connected = true;
            replica.opened();
        }
    }

    // ---- Attempts ---------------------------------------------------------------------------------

    /** Carries one attempt to its end; true where the connection can be used again. */
    private Then carry(Attempt attempt) {
        attempt.carriedBy(connection);
        boolean written = false;
        bound = null;
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
            AttemptGate.broken(attempt.bounds, told, attempt.writtenAt).forEach(rule -> replica.rules.broken(rule, attempt.request.prompt.id()));
            noteHeldUp(attempt, attempt.writtenAt - lookedAt);
            Logger.debug("attempt {} of {} at {} is told {} ms, {} ms after the request was read; written in {} ms", attempt.number,
                    attempt.request.prompt.id(), replica.id, TimeUnit.NANOSECONDS.toMillis(told),
                    TimeUnit.NANOSECONDS.toMillis(lookedAt - attempt.request.takenAt), TimeUnit.NANOSECONDS.toMillis(attempt.writtenAt - lookedAt));
            HttpHead head = reader.answer(attempt.endsAt - attempt.writtenAt + BEYOND);
            answered = true;
            LoadReport report = report(head.get("Srv-Load"));
            if (head.status() != 200 || !head.chunked()) {
                replica.module.over(attempt, outcome(head), 0, report);
                return wholeAfter(head) ? Then.KEEP : Then.CLOSE;
            }
            ReplicaStream stream = new ReplicaStream(attempt.request.client, new EventStream(reader), this::report, report, () -> resume(attempt, head));
            StreamDefect defect = stream.readFirst();
            if (defect != null) { // nothing was passed on: another attempt may do better
                noteBreak(attempt, new AttemptFailure(new IncompleteStreamException(defect)), true, null);
                close();
                replica.module.over(attempt, Outcome.ERROR, 0, report);
                return Then.CLOSE;
            }
            if (!attempt.bind()) {
                replica.module.over(attempt, Outcome.CANCELLED, 0, report);
                return Then.CLOSE;
            }
            bound = stream;
            replica.module.began(attempt); // before the event: what comes after it may come from another thread
            return after(attempt, head, stream.begin());
        } catch (IOException | RuntimeException | Error e) { // no memory for it: its client must hear of that, too
            broke(attempt, new AttemptFailure(e), written);
            return Then.CLOSE;
        }
    }

    /** What to do with the connection where the stream does not go on. */
    private Then after(Attempt attempt, HttpHead head, ReplicaStream.Pause pause) {
        switch (pause) {
            case CLIENT_HAS_ENOUGH -> {
                return Then.PAUSE;
            }
            case CLIENT_GONE -> {
                replica.module.left(attempt.request);
                return Then.CLOSE;
            }
            default -> {
                attempt.keptTokens = (long) bound.keptTokens();
                replica.module.over(attempt, Outcome.OK, bound.keptTokens(), bound.report());
                return reusable(head) ? Then.KEEP : Then.CLOSE;
            }
        }
    }

    /** There is room again, or the client has gone and the next event shows it. */
    private void resume(Attempt attempt, HttpHead head) { resume(attempt, head, System.nanoTime() + RESUME_MOST); }

    private void resume(Attempt attempt, HttpHead head, long by) {
        try {
            Threads.start("to " + to, () -> finish(() -> goOn(attempt, head)));
        } catch (OutOfMemoryError e) {
            if (System.nanoTime() - by < 0 && replica.later(() -> resume(attempt, head, by))) {
                return;
            }
            SafeLog.error(e, "no thread to go on with a stream");
            broke(attempt, new AttemptFailure(e), true);
        }
    }

    private Then goOn(Attempt attempt, HttpHead head) {
        try {
            return after(attempt, head, bound.goOn());
        } catch (IOException | RuntimeException | Error e) {
            broke(attempt, new AttemptFailure(e), true);
            return Then.CLOSE;
        }
    }

    /** What is found at the moment at which an attempt may go on. */
    private final class FactsNow implements AttemptGate.Facts {
        private final Attempt attempt;

        FactsNow(Attempt attempt) { this.attempt = attempt; }

        @Override public boolean calledOff() { return attempt.isOver(); }

        @Override public boolean replicaReady() { return replica.ready() && to.equals(replica.endpoint()); }

        @Override public boolean answeredEarly() { return idleNs > 0 && (connection.holdsMore() || connection.hasArrived()); }

        @Override public boolean clientWaits() { return attempt.request.client.isWaiting(); }

        @Override public long now() { return replica.clock.now(); }
    }

    /** It has never run: its replica has not got all of it. */
    private void notSent(Attempt attempt, AttemptGate.Verdict verdict) {
        replica.rules.notSent(verdict);
        Logger.debug("attempt {} of {} at {} is not sent: {}", attempt.number, attempt.request.prompt.id(), replica.id, verdict);
        if (verdict == AttemptGate.Verdict.CLIENT_LEFT && !attempt.request.answered()) {
            replica.module.left(attempt.request); // first: else the module would try another replica
        }
        replica.module.over(attempt, Outcome.MOOT, 0, null);
    }

    /** Tells a router that was held up, or a replica that was slow to take the request, from a client that was not looked at. */
    private void noteHeldUp(Attempt attempt, long tookNs) {
        if (tookNs > HELD_UP) {
            Logger.warn("request {} was written to {} {} ms after the last look at its client", attempt.request.prompt.id(), replica.id,
                    TimeUnit.NANOSECONDS.toMillis(tookNs));
        }
    }

    private static Outcome outcome(HttpHead head) {
        if ("1".equals(head.get("Srv-Declined"))) {
            return Outcome.FULL;
        }
        // What a replica finds wrong with the request speaks of the request, not of the replica, and it has not run.
        return head.status() / 100 == 4 ? Outcome.MOOT : Outcome.ERROR;
    }

    /** The rest of an answer whose outcome is known already decides only about the connection. */
    private boolean wholeAfter(HttpHead head) {
        try {
            reader.skipBody(head, System.nanoTime() + REST);
            return reusable(head);
        } catch (IOException e) {
            return false;
        }
    }

    /** Bytes that belong to no answer of ours would be read as the next one's. */
    private boolean reusable(HttpHead head) { return !head.closes() && !connection.holdsMore(); }

    private void broke(Attempt attempt, AttemptFailure failure, boolean written) {
        if (attempt.isOver()) {
            return; // called off: the closed connection is how this thread hears of it
        }
        noteBreak(attempt, failure, written, bound);
        close(); // before the module hears of it: the next attempt must not begin while this one's connection is open
        if (failure.isOwn()) {
            SafeLog.error(failure.cause(), "an attempt ended by a fault");
        }
        noteEnd(failure);
        if (bound != null) {
            attempt.request.client.broken();
            if (failure.isSilence()) {
                replica.module.stalled(attempt);
                return;
            }
        }
        replica.module.over(attempt, failure.outcome(written), 0, null);
    }

    /** @param stream what its client gets; null where nothing was passed on */
    private void noteBreak(Attempt attempt, AttemptFailure failure, boolean written, ReplicaStream stream) {
        if (stream == null) {
            Logger.debug("attempt {} of {} at {} ends before its first event, {}written: {}", attempt.number, attempt.request.prompt.id(), attempt.replica,
                    written ? "" : "not ", failure.cause());
            return;
        }
        replica.rules.incomplete(stream.progress().breaks(failure.defect()));
        Logger.info("the stream of request {} from {} breaks off: {}: {}", attempt.request.prompt.id(), attempt.replica, stream.progress(),
                failure.cause().getMessage());
    }

    /** The end of a kept connection before its answer began may come of its having been kept. */
    private void noteEnd(AttemptFailure failure) {
        if (idleNs > 0 && !answered && failure.isConnectionsEnd()) {
            replica.keptTooLong(idleNs);
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
            reader.allow(MOST_REPORT);
            byte[] body = reader.body(head, System.nanoTime() + PROBE_WAIT);
            String text = new String(body, StandardCharsets.UTF_8);
            report = report(text);
            boolean complete = head.status() != 200 || replica.layout.isEmpty() || text.isBlank() || Json.isObject(body);
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
            noteEnd(new AttemptFailure(e));
        } catch (RuntimeException | Error e) { // unsaid, the replica would never be probed again
            SafeLog.error(e, "a probe ended by a fault");
            outcome = written ? Outcome.RESET : Outcome.CONNECT_FAILED;
        }
        replica.module.probed(replica.id, outcome, replica.clock.now() - askedAt, report);
        return keep;
    }

    private LoadReport report(String json) {
        if (json == null || json.isBlank()) {
            return null;
        }
        try {
            Map<String, Object> fields = Json.object(Json.parseFields(json, replica.layout.names(), MOST_REPORT_VALUES));
            return replica.layout.read(name -> Json.number(fields.get(name), Double.NaN));
        } catch (Json.Malformed e) {
            Logger.debug("a load report that cannot be read: {}", json);
            return null;
        }
    }
}
