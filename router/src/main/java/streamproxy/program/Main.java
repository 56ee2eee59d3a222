package streamproxy.program;

import java.io.IOException;
import streamproxy.benchlink.BenchLink;
import streamproxy.decision.SettingsText;
import streamproxy.protocol.NodeConfig.Unusable;
import streamproxy.protocol.OperatorFile;

/**
 * Command-line entry. {@code serve} and {@code benchlink} without options run at once; anything else goes through
 * {@link Commands}, whose library takes longer to read its annotations than a router does to start: 0.43 s in place of
 * 0.13 s on one core, which a planned restart would lose.
 */
public final class Main {
    static final int USAGE = 2;
    static final int UNUSABLE = 3;

    private Main() { }

    public static void main(String[] words) throws Exception {
        System.exit(run(words));
    }

    private static int run(String[] words) throws Exception {
        String only = words.length == 1 ? words[0] : "";
        try {
            return switch (only) {
                case "serve" -> Serving.run(() -> OperatorFile.NONE);
                case "benchlink" -> BenchLink.run(System.in, System.out, System.err);
                default -> Commands.run(words);
            };
        } catch (Unusable | SettingsText.Missing | IllegalArgumentException | IOException e) {
            System.err.println(unusable(e));
            return UNUSABLE;
        }
    }

    /** Whether a command failed since its configuration cannot be used. */
    static boolean isUnusable(Exception e) {
        return e instanceof Unusable || e instanceof SettingsText.Missing || e instanceof IllegalArgumentException
                || e instanceof IOException;
    }

    /** Why, in one line. */
    static String unusable(Exception e) {
        String where = e instanceof SettingsText.Missing ? "NODE_CONFIG: " : "";
        return "streamproxy: " + where + String.valueOf(e.getMessage()).replace('\n', ' ');
    }
}
