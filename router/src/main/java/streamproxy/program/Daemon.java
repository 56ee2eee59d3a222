package streamproxy.program;

import java.io.IOException;
import streamproxy.protocol.NodeConfig.Unusable;
import streamproxy.protocol.OperatorFile;

/** A router's process for programs that bring a fleet of their own; {@code serve} is the one without. */
public final class Daemon {
    /** What the operator says, read anew at each call. */
    public interface Operator {
        OperatorFile read() throws Unusable;
    }

    private Daemon() { }

    /** Runs a router until a signal ends the program; comes back only with an exception, where it cannot start. */
    public static int run(Operator operator, Fleet fleet) throws Unusable, IOException, InterruptedException {
        return Serving.run(operator::read, fleet);
    }
}
