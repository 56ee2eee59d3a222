package streamproxy;

import java.io.IOException;
import streamproxy.benchlink.BenchLink;

/** Command-line entry: dispatches to the bench link, the only subcommand. */
public final class Main {
    private Main() { }

    public static void main(String[] args) throws IOException {
        if (args.length != 1 || !args[0].equals("benchlink")) {
            System.err.println("usage: java -jar streamproxy.jar benchlink");
            System.exit(2);
        }
        System.exit(BenchLink.run(System.in, System.out, System.err));
    }
}
