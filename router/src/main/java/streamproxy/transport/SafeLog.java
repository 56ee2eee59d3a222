package streamproxy.transport;

import org.tinylog.Logger;

/** The log for what must go on whatever happens: where a line cannot be written, as memory is short, it is left out. */
public final class SafeLog {
    private SafeLog() { }

    public static void error(Throwable e, String what) {
        try {
            Logger.error(e, what);
        } catch (RuntimeException | Error lost) {
            // there is nowhere left to say so
        }
    }

    public static void warn(String what) {
        try {
            Logger.warn(what);
        } catch (RuntimeException | Error lost) {
            // there is nowhere left to say so
        }
    }
}
