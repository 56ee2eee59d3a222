package streamproxy.program;

import java.io.IOException;
import org.tinylog.Logger;
import streamproxy.transport.SafeLog;

/**
 * Ends the process on SIGTERM and SIGINT, with exit code 0 once all that was taken is answered. The signal's own thread does
 * all of it: a shutdown hook would need a second one, and there may be none.
 */
final class Termination {
    private Router serving; // null before any request can be taken
    private boolean asked;

    /** Handles the signals from now on. */
    void handleSignals() {
        Signals.handle("TERM", this::end);
        Signals.handle("INT", this::end);
    }

    /** From now on the router may take requests, which are to be finished; false where the process is ending already. */
    synchronized boolean serves(Router router) {
        serving = router;
        return !asked;
    }

    private void end() {
        Router router;
        synchronized (this) {
            if (asked) {
                return;
            }
            asked = true;
            router = serving;
        }
        if (router != null) {
            leave(router);
        }
        LogStream.awaitLastLines();
        Runtime.getRuntime().halt(0);
    }

    private static void leave(Router router) {
        try {
            router.leave();
        } catch (IOException | InterruptedException e) {
            Logger.error(e, "leaving");
        } catch (RuntimeException | Error e) {
            SafeLog.error(e, "leaving");
        }
    }
}
