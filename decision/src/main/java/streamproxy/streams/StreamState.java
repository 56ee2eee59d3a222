package streamproxy.streams;

/**
 * What one stream is at between its model box and its reader, and what is to be done about it. It is told events, bytes
 * that the reader has taken, and the time; it does nothing by itself. Not thread-safe.
 *
 * <p>Reading from the box stops while as much is held for the reader as may be: held bytes never exceed
 * {@link StreamLimits#holdBytes} by more than the one event that crossed it. While the reader lags no stall is counted
 * against the box, since nobody listens to it.
 */
public final class StreamState {
    /** Phases of a stream. ENDED is the last. */
    public enum Phase {
        /** No event has come. */
        OPENING,
        /** Events come, and the reader takes them. */
        FLOWING,
        /** As much is held as may be; the box is not read. */
        LAGGING,
        /** The box has been silent for longer than its own pace allows. */
        STALLING,
        /** The box's side has ended before its time. */
        BROKEN,
        /** Another box goes on with it, and has not sent anything yet. */
        SAVED,
        /** It is whole, or given up. */
        ENDED
    }

    /** What is to be done now. */
    public enum Step {
        NOTHING,
        /** Do not read from the box until told to go on. */
        PAUSE,
        /** Read from the box again. */
        RESUME,
        /** The box is silent: leave it, and save the stream or fail it, as the module says. */
        LEAVE_BOX,
        /** The reader is too slow: end it, and free the box. */
        END_READER,
        /** All was handed on. */
        DONE
    }

    /** A pace is known by so many gaps. */
    private static final int GAPS_KNOWN = 8;
    private static final double NEARLY_ALL = 0.99;
    /** Reading goes on once so much less is held. */
    private static final int LOW_SHARE = 2;

    private final StreamLimits limits;
    private final GapHistogram gaps = new GapHistogram();
    private Phase phase = Phase.OPENING;
    private long held;
    private long passed;
    private long lastAt; // of the last event, or since when the box is listened to
    private long fullSince;
    private boolean complete; // the box has sent all

    public StreamState(StreamLimits limits, long now) {
        this.limits = limits;
        lastAt = now;
    }

    public Phase phase() { return phase; }

    /** Bytes held for the reader. */
    public long held() { return held; }

    /** Bytes that the reader has taken. */
    public long passed() { return passed; }

    /** An event has come from the box. */
    public Step event(long now, int bytes) {
        require(phase == Phase.OPENING || phase == Phase.FLOWING || phase == Phase.STALLING || phase == Phase.SAVED);
        if (phase == Phase.FLOWING) {
            gaps.add(now - lastAt);
        }
        lastAt = now;
        held += bytes;
        if (held < limits.holdBytes()) {
            phase = Phase.FLOWING;
            return Step.NOTHING;
        }
        phase = Phase.LAGGING;
        fullSince = now;
        return Step.PAUSE;
    }

    /** No more may be held for it, whatever its own limit, as others hold what there is. */
    public Step full(long now) {
        require(phase == Phase.FLOWING);
        phase = Phase.LAGGING;
        fullSince = now;
        return Step.PAUSE;
    }

    /** The reader has taken so many bytes. */
    public Step written(long now, int bytes) {
        require(bytes <= held);
        held -= bytes;
        passed += bytes;
        if (complete && held == 0 && phase != Phase.ENDED) {
            phase = Phase.ENDED;
            return Step.DONE;
        }
        if (phase == Phase.LAGGING) {
            fullSince = now; // it reads, slowly
            if (held <= limits.holdBytes() / LOW_SHARE) {
                phase = Phase.FLOWING;
                lastAt = now; // the box was not listened to: its silence counts from here
                return complete ? Step.NOTHING : Step.RESUME;
            }
        }
        return Step.NOTHING;
    }

    /** The box has sent all. */
    public Step whole(long now) {
        require(phase != Phase.BROKEN);
        complete = true;
        if (held == 0 && phase != Phase.ENDED) {
            phase = Phase.ENDED;
            return Step.DONE;
        }
        return Step.NOTHING;
    }

    /** The box's side has ended before its time. */
    public void broke() {
        if (phase != Phase.ENDED) {
            phase = Phase.BROKEN;
        }
    }

    /** Another box was asked for the rest. */
    public void saved(long now) {
        require(phase == Phase.BROKEN || phase == Phase.STALLING);
        phase = Phase.SAVED;
        lastAt = now;
    }

    /** It is given up: with a clean failure for its reader, or since that has gone. */
    public void givenUp() { phase = Phase.ENDED; }

    /** When to call {@link #time} next; {@link Long#MAX_VALUE} for not at all. */
    public long nextAt() {
        return switch (phase) {
            case OPENING, FLOWING, SAVED -> complete ? Long.MAX_VALUE : lastAt + gapNs();
            case LAGGING -> fullSince + limits.lagNs();
            default -> Long.MAX_VALUE;
        };
    }

    /** Time has passed. */
    public Step time(long now) {
        if (now < nextAt()) {
            return Step.NOTHING;
        }
        if (phase == Phase.LAGGING) {
            phase = Phase.ENDED;
            return Step.END_READER;
        }
        phase = Phase.STALLING;
        return Step.LEAVE_BOX;
    }

    /** The longest gap that is no stall, by what this stream has shown so far. */
    public long gapNs() {
        if (phase == Phase.OPENING || phase == Phase.SAVED || gaps.count() < GAPS_KNOWN || Double.isInfinite(limits.gapFactor())) {
            return limits.firstGapNs();
        }
        double own = limits.gapFactor() * gaps.quantile(NEARLY_ALL);
        return (long) Math.max(limits.leastGapNs(), Math.min(limits.firstGapNs(), own));
    }

    private void require(boolean holds) {
        if (!holds) {
            throw new IllegalStateException("a stream that is " + phase + " holding " + held);
        }
    }
}
