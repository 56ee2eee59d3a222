package streamproxy.fleet;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import org.tinylog.Logger;
import streamproxy.program.Daemon;
import streamproxy.program.StartFailure;
import streamproxy.program.Fleet;
import streamproxy.protocol.NodeConfig.Unusable;
import streamproxy.protocol.OperatorFile;
import streamproxy.protocol.OperatorReader;

/** Command-line entry of routers that talk to each other. */
@Command(name = "streamproxy", mixinStandardHelpOptions = true,
        description = "Runs a router as a member of its fleet.", subcommands = {FleetMain.Run.class, FleetCommands.class},
        footer = {"", "Exit codes: 0 done, 1 failed, 2 wrong usage, 3 a configuration that cannot be used, 4 the machine is short.", "", "Examples:",
                "  streamproxy daemon --operator /etc/streamproxy/r0.ini", "  streamproxy fleet status --at 127.0.0.1:9800"})
final class FleetMain implements Callable<Integer> {
    private FleetMain() { }

    /** The transport would keep 4 MB pieces of memory for each core, for messages of some hundred bytes. */
    private static final Map<String, String> TRANSPORT = Map.of("numDirectArenas", "1", "numHeapArenas", "1", "maxOrder", "4");
    private static final String ALLOCATOR = "org.apache.ratis.thirdparty.io.netty.allocator.";

    public static void main(String[] words) {
        TRANSPORT.forEach((key, value) -> System.setProperty(ALLOCATOR + key, value));
        CommandLine line = new CommandLine(new FleetMain());
        line.setExecutionExceptionHandler((e, command, parsed) -> {
            StartFailure failure = StartFailure.of(e);
            if (failure == null) {
                throw e;
            }
            command.getErr().println(failure.line());
            return failure.exitCode();
        });
        try {
            System.exit(line.execute(words));
        } catch (VirtualMachineError | LinkageError e) {
            StartFailure.of(e).exit();
        }
    }

    @Override public Integer call() {
        CommandLine.usage(this, System.err);
        return CommandLine.ExitCode.USAGE;
    }

    /** {@code daemon}. */
    @Command(name = "daemon", mixinStandardHelpOptions = true,
            description = {"Runs one router in the foreground, as serve does, and as a member of the fleet that [fleet] of the operator's",
                    "file tells of. Without a majority it serves alone and holds no duty."},
            footer = {"", "Exit codes: 0 after SIGTERM, 2 wrong usage, 3 a configuration that cannot be used, 4 the machine is short.", "", "Example:",
                    "  streamproxy daemon --operator /etc/streamproxy/r0.ini"})
    static final class Run implements Callable<Integer> {
        @Option(names = "--operator", required = true, paramLabel = "FILE", description = "The operator's file (INI), with [fleet].")
        private String operator;

        @Override public Integer call() throws Exception {
            Map<String, String> told = System.getenv();
            OperatorFile file = OperatorReader.read(operator);
            return Daemon.run(() -> OperatorReader.read(operator), member(FleetSettings.read(file, told.get("NODE_NAME"))));
        }

        private static Fleet member(FleetSettings settings) throws Unusable, IOException {
            MemberDirectory folder = MemberDirectory.open(settings.folder(), settings.id(), settings.name());
            try {
                FleetNode node = new FleetNode(settings, folder);
                node.start();
                return node;
            } catch (DiskCheck.Damaged e) {
                Logger.error("fleet: {}; this router serves alone until it joins anew with an empty folder", e.getMessage());
                return new Stopped(settings, folder, e.getMessage());
            }
        }
    }
}
