package streamproxy.program;

import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.tinylog.Logger;

/**
 * The program's phases, from start to exit. They follow one another in this order; none comes back, but for
 * RELOADING, which ends in SERVING again unless the program is leaving by then.
 */
public final class Lifecycle {
    /** Where the program is: SERVING and RELOADING are ready, and both and LEAVING take new connections. */
    public enum Phase { STARTING, SERVING, RELOADING, LEAVING, FINISHING, STOPPED }

    private final BiConsumer<Phase, Phase> told;
    private Phase phase = Phase.STARTING;
    private volatile boolean quiesced;
    private volatile long quiescedAt;

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
    }

    /** Whether the process can serve, quiesced or not. */
    public boolean serving() {
        Phase now = phase(); // one look: between two a reload may begin or end
        return now == Phase.SERVING || now == Phase.RELOADING;
    }

    /** Whether clients are to be sent here: the process serves and an operator has not sent them away. */
    public boolean ready() { return serving() && !quiesced; }

    /**
     * An operator sends clients away, or takes them back: while quiesced the router serves what comes, but is not ready
     * and closes each connection after its answer. Nothing restarts. False where the program is leaving, where it stays.
     */
    public boolean quiesce(boolean away) {
        if (phase().compareTo(Phase.RELOADING) > 0) {
            return false;
        }
        if (quiesced != away) {
            long now = System.nanoTime();
            if (away) {
                Logger.info("quiesced: clients are sent away");
                quiescedAt = now;
            } else {
                Logger.info("resumed: clients come again, {} ms after they were sent away", TimeUnit.NANOSECONDS.toMillis(now - quiescedAt));
            }
        }
        quiesced = away;
        return true;
    }

    /**
     * The grace for new requests is over: the process may be killed before a request that comes now has its whole answer.
     */
    public boolean finishing() { return phase().compareTo(Phase.LEAVING) > 0; }

    /** Answers close their connections from now on. */
    public boolean leaving() { return quiesced || phase().compareTo(Phase.RELOADING) > 0; }
}
