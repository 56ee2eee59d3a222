package streamproxy.program;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicLong;
import streamproxy.protocol.NodeConfig;
import streamproxy.protocol.NodeConfig.Unusable;
import streamproxy.protocol.OperatorFile;
import streamproxy.transport.SafeLog;

/** One router as a process, with its signals. */
final class Serving {
    /** What the operator says, read anew at each call. */
    interface Operator {
        OperatorFile read() throws Unusable;
    }

    private Serving() { }

    /** Runs a router until a signal ends the program; comes back only with an exception, where it cannot start. */
    static int run(Operator operator) throws Unusable, IOException, InterruptedException { return run(operator, Fleet.ALONE); }

    /** The same as a member of a fleet. */
    static int run(Operator operator, Fleet fleet) throws Unusable, IOException, InterruptedException {
        Semaphore hangUps = new Semaphore(0);
        AtomicLong hungUpAt = new AtomicLong(); // the first that is not handled yet; 0 for none
        Termination termination = new Termination();
        Signals.handle(Map.of("SIGHUP", () -> hangUp(hangUps, hungUpAt), "SIGTERM", termination::ask, "SIGINT", termination::ask)); // first: unhandled, they end a JVM
        termination.start();
        Router router = new Router(NodeConfig.read(System.getenv()), operator.read(), fleet);
        LogStream.replaceStandardError();
        Thread.setDefaultUncaughtExceptionHandler((thread, e) -> SafeLog.error(e, "in thread " + thread.getName()));
        termination.serves(router);
        router.start();
        Router.Reload reload = new Router.Reload() {
            @Override public NodeConfig.Again node() throws Unusable { return NodeConfig.again(System.getenv()); }

            @Override public OperatorFile operator() throws Unusable { return operator.read(); }
        };
        while (true) { // other threads do the work, until a signal ends the program
            hangUps.acquire();
            hangUps.drainPermits(); // what is read now is as new as the last of them wants
            long at = hungUpAt.getAndSet(0);
            reload(router, reload, at == 0 ? System.nanoTime() : at);
        }
    }

    private static void hangUp(Semaphore hangUps, AtomicLong hungUpAt) {
        hungUpAt.compareAndSet(0, System.nanoTime());
        hangUps.release();
    }

    /** Whatever fails, the process serves on, and the next signal is heard. */
    private static void reload(Router router, Router.Reload reload, long since) {
        try {
            router.reload(reload, since);
        } catch (RuntimeException | Error e) {
            SafeLog.error(e, "reload; what was not taken yet stays as it was");
        }
    }
}
