package streamproxy.program;

import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.tinylog.Logger;
import streamproxy.lifecycle.DrainState;

/**
 * The program's phases, from start to exit. They follow one another in this order; none comes back, but for
 * RELOADING, which ends in SERVING again unless the program is leaving by then.
 */
public final class Lifecycle {
    /** Where the program is: SERVING and RELOADING are ready, and both and LEAVING take new connections. */
    public enum Phase { STARTING, SERVING, RELOADING, LEAVING, FINISHING, STOPPED }

    private final BiConsumer<Phase, Phase> told;
    private Phase phase = Phase.STARTING;
    private volatile DrainState drain = DrainState.SERVING;

    public Lifecycle() { this((phase, after) -> { }); }

    /** @param told is told each phase that is entered, and the one before; it does not wait */
    public Lifecycle(BiConsumer<Phase, Phase> told) { this.told = told; }

    public synchronized Phase phase() { return phase; }

    /** Enters a later phase; false where the program is there or further already. */
    public synchronized boolean enter(Phase next) {
        if (next.compareTo(phase) <= 0) {
            return false;
        }
        become(next);
        return true;
    }

    /** Reads the configuration anew with {@code reading}; not before the program serves, nor once it leaves. */
    public boolean reload(Runnable reading) {
        synchronized (this) {
            if (phase != Phase.SERVING) {
                return false;
            }
            become(Phase.RELOADING);
        }
        try {
            reading.run();
        } finally {
            synchronized (this) {
                if (phase == Phase.RELOADING) {
                    become(Phase.SERVING);
                }
            }
        }
        return true;
    }

    private void become(Phase next) {
        Logger.info("{} after {}", next, phase);
        told.accept(next, phase);
        phase = next;
        DrainState.Stage stage = stage(next);
        if (stage != drain.stage()) {
            drain = drain.at(stage, System.nanoTime());
        }
    }

    private static DrainState.Stage stage(Phase phase) {
        return switch (phase) {
            case STARTING, SERVING, RELOADING -> DrainState.Stage.SERVING;
            case LEAVING -> DrainState.Stage.LEAVING;
            case FINISHING, STOPPED -> DrainState.Stage.FINISHING;
        };
    }

    /** What becomes of clients' connections and requests at this moment. */
    public DrainState drain() { return drain; }

    /** Whether the process can serve, quiesced or not. */
    public boolean serving() {
        Phase now = phase(); // one look: between two a reload may begin or end
        return now == Phase.SERVING || now == Phase.RELOADING;
    }

    /** Whether clients are to be sent here: the process serves and an operator has not sent them away. */
    public boolean ready() { return serving() && !drain.quiesced(); }

    /**
     * An operator sends clients away, or takes them back. Nothing restarts. False where the program is leaving, where it
     * stays as it is.
     */
    public synchronized boolean quiesce(boolean away) {
        if (phase.compareTo(Phase.RELOADING) > 0) {
            return false;
        }
        long now = System.nanoTime();
        if (away && !drain.quiesced()) {
            Logger.info("quiesced: clients are sent away");
        } else if (!away && drain.quiesced()) {
            Logger.info("resumed: clients come again, {} ms after they were sent away",
                    TimeUnit.NANOSECONDS.toMillis(now - drain.quiescedAtNs()));
        }
        drain = away ? drain.quiescedAt(now) : drain.resumed();
        return true;
    }

    /**
     * The grace for new requests is over: the process may be killed before a request that comes now has its whole answer.
     */
    public boolean finishing() { return drain.stage() == DrainState.Stage.FINISHING; }
}
