package streamproxy.program;

import java.io.IOException;
import streamproxy.protocol.NodeConfig.Unusable;
import streamproxy.protocol.OperatorFile;

/** A router's process for programs that bring a fleet of their own; {@code serve} is the one without. */
public final class Daemon {
    /** The exit code for a configuration that cannot be used. */
    public static final int UNUSABLE = Main.UNUSABLE;

    /** What the operator says, read anew at each call. */
    public interface Operator {
        OperatorFile read() throws Unusable;
    }

    private Daemon() { }

    /** Runs a router until a signal ends the program; comes back only with an exception, where it cannot start. */
    public static int run(Operator operator, Fleet fleet) throws Unusable, IOException, InterruptedException {
        return Serving.run(operator::read, fleet);
    }

    /** The one line for what cannot be used; null for any other exception. */
    public static String unusable(Exception e) { return Main.isUnusable(e) ? Main.unusable(e) : null; }
}
