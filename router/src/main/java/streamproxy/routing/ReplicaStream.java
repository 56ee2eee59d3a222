package streamproxy.routing;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.function.Function;
import streamproxy.decision.Routing.LoadReport;
import streamproxy.protocol.BadMessage;
import streamproxy.protocol.EventContent;
import streamproxy.protocol.EventStream;
import streamproxy.protocol.StreamPiece;
import streamproxy.streams.CompleteStream;
import streamproxy.streams.StreamDefect;
import streamproxy.streams.StreamProgress;

/**
 * A replica's stream on its way to the client that gets it: each event is passed on as it comes, up to the end. While the
 * client has enough to read there is no thread here, and the replica is not read. One thread at a time uses it.
 */
final class ReplicaStream {
    /** Why it does not go on at the moment, or at all. */
    enum Pause { COMPLETE, CLIENT_HAS_ENOUGH, CLIENT_GONE }

    /** The first event comes with the head; a stream without a byte of it for so long has been spoilt, and there may be time for another. */
    private static final long FIRST_EVENT_NS = 500_000_000L;
    /** The most bytes of comments ahead of the first event. */
    private static final int MOST_COMMENTS = 16 * 1024;

    private final Client client;
    private final EventStream events;
    private final Function<String, LoadReport> reports;
    private final Runnable whenRoom;
    private final StreamProgress progress = new StreamProgress();
    private StreamPiece first;
    private LoadReport report;
    private double keptTokens;

    /**
     * @param reports  reads a load report
     * @param report   what the answer's head told; null where it told nothing
     * @param whenRoom goes on with it, once its client has room again
     */
    ReplicaStream(Client client, EventStream events, Function<String, LoadReport> reports, LoadReport report, Runnable whenRoom) {
        this.client = client;
        this.events = events;
        this.reports = reports;
        this.report = report;
        this.whenRoom = whenRoom;
    }

    StreamProgress progress() { return progress; }

    /** The last load report; null where there was none. */
    LoadReport report() { return report; }

    /** The prompt tokens that the replica found kept. */
    double keptTokens() { return keptTokens; }

    /**
     * Reads the first event, or the first part of it, behind any comments that stand before it.
     *
     * @return why nothing of the stream can be passed on; null where it can
     */
    StreamDefect readFirst() throws IOException {
        ByteArrayOutputStream comments = new ByteArrayOutputStream(0);
        StreamPiece piece = events.next(FIRST_EVENT_NS);
        while (piece != null && piece.isComment()) {
            comments.writeBytes(piece.bytes());
            if (comments.size() > MOST_COMMENTS) {
                throw new BadMessage(502, "too much ahead of the first event");
            }
            piece = events.next(FIRST_EVENT_NS);
        }
        if (piece == null) {
            return progress.breaks(StreamDefect.NO_EVENT);
        }
        first = piece.behind(comments.toByteArray());
        return progress.event(first.content().says());
    }

    /** Passes on what was read first, and all behind it, as far as its client has room. */
    Pause begin() throws IOException {
        events.begins();
        Client.Room room = passOn(first);
        first = null;
        return room == Client.Room.MORE ? pass() : pause(room);
    }

    /** Goes on with it. */
    Pause goOn() throws IOException {
        events.resumes();
        return pass();
    }

    private Pause pass() throws IOException {
        // A replica that vanishes says nothing: without a limit its client would hang for as long as the replica is away.
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
                return pause(room);
            }
        }
        CompleteStream complete = progress.lastChunk(events.endedWithinEvent());
        if (complete == null) {
            throw new IncompleteStreamException(progress.defect());
        }
        client.ended(complete);
        return Pause.COMPLETE;
    }

    private Client.Room passOn(StreamPiece piece) {
        EventContent content = piece.content();
        progress.took(piece.bytes().length);
        keptTokens = Math.max(keptTokens, content.keptTokens());
        LoadReport told = reports.apply(content.loadReport());
        report = told != null ? told : report;
        return client.event(piece, whenRoom);
    }

    private static Pause pause(Client.Room room) { return room == Client.Room.FULL ? Pause.CLIENT_HAS_ENOUGH : Pause.CLIENT_GONE; }
}
