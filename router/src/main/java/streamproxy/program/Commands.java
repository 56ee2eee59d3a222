package streamproxy.program;

import java.io.IOException;
import java.io.PrintWriter;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import streamproxy.benchlink.BenchLink;
import streamproxy.protocol.OperatorFile;
import streamproxy.protocol.OperatorReader;

/** All commands but the plain ones that {@link Main} runs by itself, as a command line with options and help. */
@Command(name = "streamproxy", mixinStandardHelpOptions = true, versionProvider = Commands.Version.class,
        description = "Routes requests for a language model to the model boxes that serve them.",
        subcommands = {Commands.Serve.class, Commands.Link.class, ConfigCommand.class, LogCommand.class},
        footer = {"", "Exit codes: 0 done, 1 failed, 2 wrong usage, 3 a configuration that cannot be used,",
                "4 the machine is short of something that a start needs.", "", "Examples:",
                "  streamproxy serve --operator deploy/streamproxy.ini",
                "  streamproxy config check --operator deploy/streamproxy.ini --json",
                "  streamproxy log --class complete --sum records.log"})
final class Commands implements Callable<Integer> {

    @Spec private CommandSpec spec;

    private Commands() { }

    /** Runs what the words say; returns the exit code. */
    static int run(String[] words) {
        CommandLine line = new CommandLine(new Commands());
        line.setExecutionExceptionHandler((e, command, parsed) -> {
            StartFailure failure = StartFailure.of(e);
            if (failure != null) {
                command.getErr().println(failure.line());
                return failure.exitCode();
            }
            throw e;
        });
        return line.execute(words);
    }

    @Override public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return Main.USAGE;
    }

    /** The version that the build wrote into the manifest. */
    static final class Version implements CommandLine.IVersionProvider {
        @Override public String[] getVersion() {
            String version = Commands.class.getPackage().getImplementationVersion();
            return new String[] {"streamproxy " + (version == null ? "(not packaged)" : version)};
        }
    }

    /** {@code benchlink}. */
    @Command(name = "benchlink", mixinStandardHelpOptions = true, versionProvider = Version.class,
            description = "Hosts the decision module on the simulator's wire, from standard input to standard output.",
            footer = {"", "Example:", "  streamproxy benchlink < batches > replies"})
    static final class Link implements Callable<Integer> {
        @Override public Integer call() throws IOException { return BenchLink.run(System.in, System.out, System.err); }
    }

    /** {@code serve}. */
    @Command(name = "serve", mixinStandardHelpOptions = true, versionProvider = Version.class,
            description = {"Runs one router in the foreground, as NODE_NAME, NODE_LISTEN, NODE_DISCOVERY and NODE_CONFIG say.",
                    "SIGHUP reads NODE_CONFIG's discovery and the operator's file again; SIGTERM finishes and exits with 0."},
            footer = {"", "Exit codes: 0 after SIGTERM, 2 wrong usage, 3 a configuration that cannot be used,",
                "4 the machine is short of something that a start needs.", "", "Examples:",
                    "  streamproxy serve", "  streamproxy serve --operator deploy/streamproxy.ini"})
    static final class Serve implements Callable<Integer> {
        @Option(names = "--operator", paramLabel = "FILE", description = "The operator's file (INI); none by default.")
        private String operator;

        @Override public Integer call() throws Exception { return Serving.run(() -> operator == null ? OperatorFile.NONE : OperatorReader.read(operator)); }
    }

    /** A results line on standard output. */
    static void say(CommandSpec spec, String line) {
        PrintWriter out = spec.commandLine().getOut();
        out.println(line);
        out.flush();
    }
}
