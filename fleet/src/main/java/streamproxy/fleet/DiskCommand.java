package streamproxy.fleet;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import streamproxy.protocol.EndpointEntry;

/** {@code fleet disk}: what is in a member's folder, and in which state, while no router runs from it. It changes nothing. */
@Command(name = "disk", mixinStandardHelpOptions = true, description = "Looks at a member's folder while no router runs from it; changes nothing.",
        subcommands = {DiskCommand.Check.class, DiskCommand.Show.class},
        footer = {"", "Examples:", "  streamproxy fleet disk check /var/lib/streamproxy", "  streamproxy fleet disk show /var/lib/streamproxy"})
final class DiskCommand implements Callable<Integer> {
    private static final int USAGE = 2;

    @Spec private CommandSpec spec;

    @Override public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return USAGE;
    }

    /** What was found: what a start would put right, and what it could not. */
    private record Found(List<String> mended, List<String> damaged) { }

    private static Found look(Path folder) throws IOException {
        if (!Files.exists(folder.resolve("member.properties"))) {
            throw new IOException(folder + ": no member's folder: member.properties is not there");
        }
        List<String> mended = new ArrayList<>();
        List<String> damaged = new ArrayList<>();
        for (Path group : groups(folder.resolve("log"))) {
            try {
                mended.addAll(DiskCheck.look(group, false));
            } catch (DiskCheck.Damaged e) {
                damaged.add(e.getMessage() + "; a router that starts here serves alone");
            }
        }
        RecordFile.Found kept = KeptList.read(folder.resolve(KeptList.FILE)).found();
        if (kept != null && kept.wrong() != null) {
            (kept.torn() ? mended : damaged).add(kept.wrong() + (kept.torn() ? "; never wholly written, to be cut off"
                    : "; only drains of the list kept here would be believed"));
        }
        return new Found(mended, damaged);
    }

    private static List<Path> groups(Path log) throws IOException {
        if (!Files.isDirectory(log)) {
            return List.of();
        }
        try (Stream<Path> all = Files.list(log)) {
            return all.filter(Files::isDirectory).sorted().toList();
        }
    }

    /** {@code fleet disk check}. */
    @Command(name = "check", mixinStandardHelpOptions = true, description = "Reads a member's folder through, and names what does not fit.",
            footer = {"", "Exit codes: 0 whole, or torn where a start mends it; 1 damaged, or not to be read.", "", "Example:",
                    "  streamproxy fleet disk check /var/lib/streamproxy"})
    static final class Check implements Callable<Integer> {
        @Spec private CommandSpec spec;

        @Parameters(paramLabel = "FOLDER", description = "The member's folder.")
        private Path folder;

        @Override public Integer call() {
            PrintWriter out = spec.commandLine().getOut();
            try {
                Found found = look(folder);
                found.mended.forEach(line -> out.println("torn: " + line));
                found.damaged.forEach(line -> out.println("damaged: " + line));
                out.println(found.damaged.isEmpty() ? "whole" + (found.mended.isEmpty() ? "" : " but for what a start mends") : "damaged");
                out.flush();
                return found.damaged.isEmpty() ? 0 : 1;
            } catch (IOException e) {
                spec.commandLine().getErr().println("streamproxy: " + e.getMessage());
                return 1;
            }
        }
    }

    /** {@code fleet disk show}. */
    @Command(name = "show", mixinStandardHelpOptions = true, description = "What a router kept of the box list, and what of it would be believed.",
            footer = {"", "Exit codes: 0 shown, 1 not to be read.", "", "Example:", "  streamproxy fleet disk show /var/lib/streamproxy"})
    static final class Show implements Callable<Integer> {
        @Spec private CommandSpec spec;

        @Parameters(paramLabel = "FOLDER", description = "The member's folder.")
        private Path folder;

        @Option(names = "--json", description = "As one line in the form of the list's service.")
        private boolean json;

        @Override public Integer call() {
            PrintWriter out = spec.commandLine().getOut();
            try {
                KeptList.Known known = KeptList.read(folder.resolve(KeptList.FILE)).known();
                if (json) {
                    out.println(known.line().getText());
                } else if (known.version() < 0) {
                    out.println("no box list is kept here");
                } else {
                    out.printf("version %d of %s, %s%n", known.version(), known.service(), known.whole()
                            ? "whole: begun with, unless the configuration has a newer one" : "not whole: only that boxes drain or are gone is believed");
                    for (EndpointEntry box : known.boxes().values()) {
                        out.printf("  %-24s %-10s %s%n", box.uid(), box.state(), known.whole() ? "a hint if ready, else believed"
                                : box.isReady() ? "not believed" : "believed");
                    }
                }
                out.flush();
                return 0;
            } catch (IOException e) {
                spec.commandLine().getErr().println("streamproxy: " + e.getMessage());
                return 1;
            }
        }
    }
}
