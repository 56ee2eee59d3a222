package streamproxy.lab;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;
import streamproxy.lab.fleet.AuditCommand;
import streamproxy.lab.fleet.FleetCommand;
import streamproxy.lab.fleet.FleetIdleCommand;
import streamproxy.lab.soak.SoakCommand;

/** Command-line entry of the measuring programs. */
@Command(name = "lab", mixinStandardHelpOptions = true, versionProvider = Lab.Version.class,
        description = "Measures the router on loopback. Results go to standard output and, with --out, to CSV files and charts.",
        subcommands = {IdleCommand.class, ManyCommand.class, HoldCommand.class, ReconnectCommand.class, StartCommand.class, SyslogCommand.class,
                TimersCommand.class, FleetCommand.class, FleetIdleCommand.class, FleetServiceCommand.class, AuditCommand.class, SoakCommand.class},
        footer = {"", "Exit codes: 0 measured, 1 failed, 2 wrong usage.", "", "Examples:",
                "  java -jar lab/target/streamproxy-lab.jar idle --clients 1000,5000,15000 --out docs/measurements",
                "  java -jar lab/target/streamproxy-lab.jar timers --out docs/measurements"})
public final class Lab implements Callable<Integer> {
    static final int USAGE = 2;

    @Spec private CommandSpec spec;

    private Lab() { }

    public static void main(String[] args) { System.exit(new CommandLine(new Lab()).execute(args)); }

    @Override public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return USAGE;
    }

    /** The version that the build wrote into the manifest. */
    static final class Version implements CommandLine.IVersionProvider {
        @Override public String[] getVersion() {
            String version = Lab.class.getPackage().getImplementationVersion();
            return new String[] {"streamproxy lab " + (version == null ? "(not packaged)" : version)};
        }
    }

    /** Progress goes to standard error, and only where somebody looks. */
    static void progress(String line) {
        if (System.console() != null) {
            System.err.println(line);
        }
    }
}
