package streamproxy.program;

import java.io.IOException;
import java.util.concurrent.Semaphore;
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
        Signals.handle("HUP", hangUps::release); // first of all: unhandled, SIGHUP ends a JVM
        Termination termination = new Termination();
        termination.handleSignals();
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
            router.reload(reload);
        }
    }
}
