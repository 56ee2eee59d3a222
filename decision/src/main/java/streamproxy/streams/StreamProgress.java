package streamproxy.streams;

import java.util.Set;

/**
 * How far the stream of one answer has come, and the only judge of whether it is complete: it has a reason to finish any text,
 * its usage and {@code [DONE]}, nothing but comments behind that, and then the last chunk. An end that nothing speaks against
 * is not enough. Not thread-safe.
 */
public final class StreamProgress {
    /** Phases of a stream; the last two are final. */
    public enum Phase { OPENING, TEXT, FINISHED, REPORTED, DONE, COMPLETE, BROKEN }

    private boolean begun;
    private boolean text;
    private boolean finished;
    private boolean reported;
    private boolean done;
    private boolean complete;
    private StreamDefect defect; // null while there is none
    private long bytes;

    /** The furthest that it has come. */
    public Phase phase() {
        if (defect != null) {
            return Phase.BROKEN;
        }
        return complete ? Phase.COMPLETE : contentPhase();
    }

    private Phase contentPhase() {
        if (done) {
            return Phase.DONE;
        }
        if (finished || reported && !text) {
            return reported ? Phase.REPORTED : Phase.FINISHED;
        }
        return begun ? Phase.TEXT : Phase.OPENING;
    }

    /** Why it is not complete and never will be; null while nothing shows that. */
    public StreamDefect defect() { return defect; }

    /** The bytes taken so far. */
    public long bytes() { return bytes; }

    /** So many bytes of events and comments were taken, to be passed on. */
    public void took(int count) { bytes += count; }

    /**
     * An event is whole, and says that; a comment says nothing.
     *
     * @return why the stream is broken now, null where it is not
     */
    public StreamDefect event(Set<StreamEventKind> says) {
        if (defect != null || says.isEmpty()) {
            return defect;
        }
        if (complete || done) {
            return breaks(StreamDefect.EVENT_BEHIND_DONE);
        }
        if (says.contains(StreamEventKind.ERROR)) {
            return breaks(StreamDefect.ERROR_EVENT);
        }
        if (says.contains(StreamEventKind.UNCLOSED)) {
            return breaks(StreamDefect.CUT_EVENT);
        }
        begun = true;
        text |= says.contains(StreamEventKind.TEXT);
        finished |= says.contains(StreamEventKind.FINISH);
        reported |= says.contains(StreamEventKind.USAGE);
        if (says.contains(StreamEventKind.DONE)) {
            done = true;
            return missing();
        }
        return null;
    }

    /**
     * The last chunk has come.
     *
     * @param withinEvent whether it came behind a part of an event
     * @return the proof that the stream is complete, null where it is not
     */
    public CompleteStream lastChunk(boolean withinEvent) {
        if (defect == null && withinEvent) {
            breaks(StreamDefect.CUT_EVENT);
        }
        if (defect != null || missing() != null) {
            return null;
        }
        complete = true;
        return new CompleteStream(bytes);
    }

    /** What it lacks, which breaks it. */
    private StreamDefect missing() {
        if (!begun) {
            return breaks(StreamDefect.NO_EVENT);
        }
        if (text && !finished) {
            return breaks(StreamDefect.NO_FINISH);
        }
        if (!reported) {
            return breaks(StreamDefect.NO_USAGE);
        }
        return done ? null : breaks(StreamDefect.NO_DONE);
    }

    /** It ends before it is complete; the first reason counts. */
    public StreamDefect breaks(StreamDefect why) {
        if (defect == null && !complete) {
            defect = why;
        }
        return defect;
    }

    /** For the log: the phase that its content has reached, and why it is broken. */
    @Override public String toString() { return contentPhase() + ", " + bytes + " bytes" + (defect == null ? "" : ", " + defect); }
}
