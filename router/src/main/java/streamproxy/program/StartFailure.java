package streamproxy.program;

import java.io.IOException;
import streamproxy.decision.SettingsText;
import streamproxy.protocol.NodeConfig.Unusable;
import streamproxy.transport.ResourceShortageException;

/** Why a command could not be begun: its exit code, and the reason in one line. */
public record StartFailure(int exitCode, String line) {
    /** A configuration that cannot be used. */
    static final int UNUSABLE = 3;
    /** The machine is short of something that the process cannot do without. */
    static final int SHORTAGE = 4;

    private static final String NAME = "streamproxy: ";

    /** What that exception says of a start; null where it is a fault of the program. */
    public static StartFailure of(Throwable e) {
        if (e instanceof ResourceShortageException) {
            return new StartFailure(SHORTAGE, NAME + "cannot start: " + oneLine(e.getMessage()));
        }
        if (e instanceof VirtualMachineError || e instanceof LinkageError) {
            return new StartFailure(SHORTAGE, NAME + "cannot start: " + oneLine(cause(e).toString()));
        }
        if (e instanceof SettingsText.Missing) {
            return new StartFailure(UNUSABLE, NAME + "NODE_CONFIG: " + oneLine(e.getMessage()));
        }
        if (e instanceof Unusable || e instanceof IllegalArgumentException || e instanceof IOException) {
            return new StartFailure(UNUSABLE, NAME + oneLine(e.getMessage()));
        }
        return null;
    }

    private static Throwable cause(Throwable e) { return e.getCause() == null ? e : e.getCause(); }

    private static String oneLine(String text) { return String.valueOf(text).replace('\n', ' '); }

    /** Says it on standard error, and ends the process with what little that can be done with. */
    public void exit() {
        try {
            System.err.println(line);
            LogStream.awaitLastLines();
        } finally {
            Runtime.getRuntime().halt(exitCode);
        }
    }
}
