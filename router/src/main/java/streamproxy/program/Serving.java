package streamproxy.program;

import java.io.IOException;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;
import streamproxy.protocol.NodeConfig;
import streamproxy.protocol.NodeConfig.Unusable;
import streamproxy.protocol.OperatorFile;

/** One router as a process, with its signals. */
final class Serving {
    /** What the operator says, read anew at each call. */
    interface Operator {
        OperatorFile read() throws Unusable;
    }

    /** How long the last lines of the log may take to be written. */
    private static final long LAST_LINES_NS = TimeUnit.MILLISECONDS.toNanos(100);

    private Serving() { }

    /** Runs a router until a signal ends the program; comes back only with an exception, where it cannot start. */
    static int run(Operator operator) throws Unusable, IOException, InterruptedException { return run(operator, Fleet.ALONE); }

    /** The same as a member of a fleet. */
    static int run(Operator operator, Fleet fleet) throws Unusable, IOException, InterruptedException {
        Semaphore hangUps = new Semaphore(0);
        HangupSignal.then(hangUps::release); // first of all: unhandled, SIGHUP ends a JVM
        Router router = new Router(NodeConfig.read(System.getenv()), operator.read(), fleet);
        LogStream log = LogStream.replaceStandardError();
        Thread.setDefaultUncaughtExceptionHandler((thread, e) -> Logger.error(e, "in thread {}", thread.getName()));
        // SIGTERM runs this hook; other threads go on until it is done, and the exit code is 0 then.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            try {
                router.leave();
            } catch (IOException | InterruptedException | RuntimeException e) {
                Logger.error(e, "leaving");
            }
            awaitWritten(log);
            Runtime.getRuntime().halt(0);
        }, "leaving"));
        router.start();
        Router.Reload reload = new Router.Reload() {
            @Override public NodeConfig.Again node() throws Unusable { return NodeConfig.again(System.getenv()); }

            @Override public OperatorFile operator() throws Unusable { return operator.read(); }
        };
        while (true) { // other threads do the work, until a signal ends the program
            hangUps.acquire();
            hangUps.drainPermits(); // what is read now is as new as the last of them wants
            router.reload(reload);
        }
    }

    private static void awaitWritten(LogStream log) {
        try {
            log.awaitWritten(LAST_LINES_NS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
