package streamproxy.program;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import streamproxy.limits.ConnectionLimits;
import streamproxy.protocol.NodeConfig;
import streamproxy.protocol.NodeConfig.Unusable;
import streamproxy.protocol.OperatorFile;
import streamproxy.protocol.OperatorReader;

/** {@code config}: what concerns the configuration without running a router. */
@Command(name = "config", mixinStandardHelpOptions = true, versionProvider = Commands.Version.class,
        description = "Looks at configurations.", subcommands = ConfigCommand.Check.class,
        footer = {"", "Example:", "  streamproxy config check --operator deploy/streamproxy.ini"})
final class ConfigCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Override public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return Main.USAGE;
    }

    /** {@code config check}. */
    @Command(name = "check", mixinStandardHelpOptions = true, versionProvider = Commands.Version.class,
            description = {"Checks the operator's file and, where NODE_CONFIG is set, the node's configuration, and prints what",
                    "limits they come to. The heap is this command's own: give it the flags that the router runs with."},
            footer = {"", "Exit codes: 0 usable, 2 wrong usage, 3 a configuration that cannot be used.", "", "Examples:",
                    "  streamproxy config check --operator deploy/streamproxy.ini",
                    "  streamproxy config check --operator deploy/streamproxy.ini --descriptors 20000 --memory-mb 1024 --json"})
    static final class Check implements Callable<Integer> {
        @Spec private CommandSpec spec;

        @Option(names = "--operator", paramLabel = "FILE", description = "The operator's file (INI).")
        private String operator;

        @Option(names = "--descriptors", paramLabel = "N", defaultValue = "1024",
                description = "Descriptors, where NODE_CONFIG is not set; ${DEFAULT-VALUE} by default.")
        private int descriptors;

        @Option(names = "--memory-mb", paramLabel = "MB", defaultValue = "192",
                description = "Memory, where NODE_CONFIG is not set; ${DEFAULT-VALUE} by default.")
        private int memoryMb;

        @Option(names = "--json", description = "Prints one JSON object.")
        private boolean json;

        @Override public Integer call() throws Unusable {
            OperatorFile file = operator == null ? OperatorFile.NONE : OperatorReader.read(operator);
            if (System.getenv("NODE_CONFIG") != null) {
                NodeConfig node = NodeConfig.read(System.getenv());
                descriptors = node.sockets();
                memoryMb = node.memoryMb();
            }
            SyslogSettings.wishes(file, 0);
            ConnectionLimits limits = Router.limits(descriptors, memoryMb, file);
            Map<String, String> shown = new LinkedHashMap<>();
            shown.put("descriptors", String.valueOf(descriptors));
            shown.put("memory_mb", String.valueOf(memoryMb));
            shown.put("clients_most", String.valueOf(limits.clientsMost()));
            shown.put("active_most", String.valueOf(limits.activeMost()));
            shown.put("clients_per_address", most(limits.clientsPerAddress()));
            shown.put("accepts_per_s", Double.isInfinite(limits.acceptsPerS()) ? "null" : String.valueOf(limits.acceptsPerS()));
            shown.put("boxes_most", String.valueOf(limits.boxesMost()));
            shown.put("connections_most", most(limits.boxMost()));
            shown.put("connecting_most", most(limits.connectingMost()));
            shown.put("client_idle_s", String.valueOf(limits.clientIdleNs() / 1e9));
            shown.put("client_mute_s", String.valueOf(limits.clientMuteNs() / 1e9));
            if (json) {
                Commands.say(spec, shown.entrySet().stream().map(e -> "\"" + e.getKey() + "\":" + e.getValue())
                        .collect(Collectors.joining(",", "{", "}")));
            } else {
                shown.forEach((key, value) -> Commands.say(spec, String.format("%-20s %s", key,
                        value.equals("null") ? "not limited" : value)));
            }
            return 0;
        }

        private static String most(int limit) { return limit == Integer.MAX_VALUE ? "null" : String.valueOf(limit); }
    }
}
