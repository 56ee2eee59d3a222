package streamproxy.routing;

import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import streamproxy.protocol.StreamPiece;
import streamproxy.streams.CompleteStream;
import streamproxy.streams.StreamLimits;
import streamproxy.streams.StreamState;
import streamproxy.streams.StreamState.Step;
import streamproxy.transport.Budget;

/**
 * One request's answer between those who give it and the thread that writes it to the client. What waits for a slow
 * client is bounded in bytes, for each answer and for all together; while as much waits as may, the box is not read and
 * no thread waits there. {@link StreamState} decides; this carries it out.
 */
final class AnswerBuffer implements Client {
    enum Kind { EVENT, ENDED, BROKEN, REFUSED, FAILED }

    /**
     * What the client gets next.
     *
     * @param piece    of an event, else null
     * @param complete of the end of a complete stream, else null
     */
    record Letter(Kind kind, StreamPiece piece, CompleteStream complete, long retryAfterNs) { }

    private static final Runnable NOTHING = () -> { };

    private final StreamState state;
    private final long lagNs;
    private final Budget all;
    private final ArrayDeque<StreamPiece> pieces = new ArrayDeque<>();
    private int charged; // of the budget for all
    private Letter last;
    private Runnable goOn = NOTHING;
    private boolean paused;
    private boolean gone;
    /** Held while the client's connection is looked at: one looks at a time, and no other thread once its own writes. */
    private final Object looking = new Object();
    private final BooleanSupplier ended;
    private boolean left; // guarded by looking, as is the next
    private boolean answering;

    AnswerBuffer(StreamLimits limits, Budget all, long now) { this(limits, all, now, () -> false); }

    /**
     * @param all   bytes that all answers together may hold
     * @param ended looks at the client's connection, without waiting, whether the client has ended it; asked by one thread
     *              at a time, and by none but the client's own once there is an answer to write
     */
    AnswerBuffer(StreamLimits limits, Budget all, long now, BooleanSupplier ended) {
        state = new StreamState(limits, now);
        this.all = all;
        this.ended = ended;
        lagNs = limits.lagNs();
    }

    @Override public boolean isWaiting() {
        synchronized (looking) {
            return !answering && !hasLeft();
        }
    }

    /** How long the client may stand still. */
    long lagNs() { return lagNs; }

    // ---- Who gives it -------------------------------------------------------------------------------

    @Override public synchronized Room event(StreamPiece piece, Runnable whenRoom) {
        if (gone || last != null) {
            return Room.GONE;
        }
        long now = System.nanoTime();
        int bytes = piece.bytes().length;
        pieces.add(piece);
        Step step = state.event(now, bytes);
        if (all.tryTake(bytes, 0)) {
            charged += bytes;
        } else if (step != Step.PAUSE) {
            step = state.full(now); // the others hold what there is
        }
        notifyAll();
        if (step == Step.PAUSE) {
            paused = true;
            goOn = whenRoom;
            return Room.FULL;
        }
        return Room.MORE;
    }

    @Override public synchronized long silenceNs() { return state.gapNs(); }

    @Override public void ended(CompleteStream proof) { last(Kind.ENDED, proof, 0); }

    @Override public void broken() { last(Kind.BROKEN, null, 0); }

    @Override public void refused(long retryAfterNs) { last(Kind.REFUSED, null, retryAfterNs); }

    @Override public void failed() { last(Kind.FAILED, null, 0); }

    private synchronized void last(Kind kind, CompleteStream complete, long retryAfterNs) {
        if (last == null) {
            last = new Letter(kind, null, complete, retryAfterNs);
            if (kind == Kind.ENDED) {
                state.whole(System.nanoTime());
            } else {
                state.broke();
            }
            notifyAll();
        }
    }

    // ---- The client's thread ------------------------------------------------------------------------

    /** Waits so long at most; null where nothing has come by then. What was held comes before the end. */
    synchronized Letter next(long waitNs) throws InterruptedException {
        if (pieces.isEmpty() && last == null) {
            TimeUnit.NANOSECONDS.timedWait(this, waitNs);
        }
        StreamPiece piece = pieces.poll();
        Letter letter = piece != null ? new Letter(Kind.EVENT, piece, null, 0) : last;
        if (letter != null) {
            stopLooking();
        }
        return letter;
    }

    /** A look from elsewhere has the connection unblocking for a moment, in which it cannot be written. */
    private void stopLooking() {
        synchronized (looking) {
            answering = true;
        }
    }

    /** Whether the client has ended its connection; for its own thread, at any time. */
    boolean hasLeft() {
        synchronized (looking) {
            left = left || ended.getAsBoolean();
            return left;
        }
    }

    /** The client has taken an event of so many bytes; where there is room again the box is read on. */
    void taken(int bytes) {
        Runnable then = NOTHING;
        synchronized (this) {
            int back = Math.min(charged, bytes);
            charged -= back;
            all.giveBack(back);
            if (state.written(System.nanoTime(), bytes) == Step.RESUME) {
                then = resume();
            }
        }
        then.run();
    }

    /** Whether the client has left as much waiting as may be for longer than it may. */
    synchronized boolean isTooSlow() {
        return state.phase() == StreamState.Phase.LAGGING && state.time(System.nanoTime()) == Step.END_READER;
    }

    /** Nobody writes it any more: whoever gives it hears of that, at once if it is paused. */
    void close() {
        Runnable then;
        stopLooking();
        synchronized (this) {
            gone = true;
            state.givenUp();
            pieces.clear();
            all.giveBack(charged);
            charged = 0;
            then = resume();
        }
        then.run();
    }

    private Runnable resume() {
        Runnable then = paused ? goOn : NOTHING;
        paused = false;
        goOn = NOTHING;
        return then;
    }

    /** Bytes that wait for the client. */
    synchronized long held() { return state.held(); }
}
