package streamproxy.program;

import org.tinylog.Logger;

/** The program's phases, from start to exit. They follow one another in this order; none comes back. */
public final class Lifecycle {
    /** Where the program is: only SERVING is ready, and both it and LEAVING take new connections. */
    public enum Phase { STARTING, SERVING, LEAVING, FINISHING, STOPPED }

    private Phase phase = Phase.STARTING;

    public synchronized Phase phase() { return phase; }

    /** Enters a later phase; false where the program is there or further already. */
    public synchronized boolean enter(Phase next) {
        if (next.compareTo(phase) <= 0) {
            return false;
        }
        Logger.info("{} after {}", next, phase);
        phase = next;
        return true;
    }

    public boolean ready() { return phase() == Phase.SERVING; }

    /** Answers close their connections from now on. */
    public boolean leaving() { return phase().compareTo(Phase.SERVING) > 0; }
}
