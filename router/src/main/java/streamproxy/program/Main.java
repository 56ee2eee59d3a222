package streamproxy.program;

import streamproxy.benchlink.BenchLink;
import streamproxy.protocol.OperatorFile;

/**
 * Command-line entry. {@code serve} and {@code benchlink} without options run at once; anything else goes through
 * {@link Commands}, whose library takes longer to read its annotations than a router does to start: 0.43 s in place of
 * 0.13 s on one core, which a planned restart would lose.
 */
public final class Main {
    static final int USAGE = 2;

    private Main() { }

    public static void main(String[] words) throws Exception {
        try {
            int code = run(words);
            LogStream.awaitLastLines();
            System.exit(code);
        } catch (Exception | Error e) {
            StartFailure failure = StartFailure.of(e);
            if (failure == null) {
                throw e;
            }
            failure.exit();
        }
    }

    private static int run(String[] words) throws Exception {
        String only = words.length == 1 ? words[0] : "";
        return switch (only) {
            case "serve" -> Serving.run(() -> OperatorFile.NONE);
            case "benchlink" -> BenchLink.run(System.in, System.out, System.err);
            default -> Commands.run(words);
        };
    }
}
