package streamproxy.fleet;

import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.URI;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import streamproxy.protocol.Json;

/** {@code fleet}: how a fleet looks from one router, and what operators may ask of it, over that router's operator calls. */
@Command(name = "fleet", mixinStandardHelpOptions = true, description = "Looks at a fleet, and asks things of it, through one of its routers.",
        subcommands = {FleetCommands.Status.class, FleetCommands.ListDuties.class, FleetCommands.HandOn.class,
                FleetCommands.Join.class, FleetCommands.Leave.class, FleetCommands.Overrule.class, DiskCommand.class},
        footer = {"", "Exit codes: 0 done, 1 refused or no answer, 2 wrong usage.", "", "Examples:",
                "  streamproxy fleet status --at 127.0.0.1:9800", "  streamproxy fleet duties --watch",
                "  streamproxy fleet hand-on report --to r2", "  streamproxy fleet join r3 10.0.0.4:9700 --votes", "  streamproxy fleet leave r1"})
final class FleetCommands implements Callable<Integer> {
    private static final int PATIENCE_MS = 2_000;
    private static final int USAGE = 2;

    @Spec private CommandSpec spec;

    @Override public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return USAGE;
    }

    /** Which router is asked, and how its answer is shown. */
    static final class At {
        @Option(names = "--at", defaultValue = "${env:NODE_OPERATOR:-127.0.0.1:9800}", paramLabel = "HOST:PORT",
                description = "Where the router's operators call; NODE_OPERATOR or 127.0.0.1:9800 by default.")
        private String at;

        @Option(names = "--json", description = "Prints what the router answers as it is.")
        private boolean json;

        private record Answer(int status, String text) { }

        private Answer ask(String method, String path) throws IOException {
            URL url = URI.create("http://" + at + path).toURL();
            HttpURLConnection call = (HttpURLConnection) url.openConnection();
            call.setRequestMethod(method);
            call.setConnectTimeout(PATIENCE_MS);
            call.setReadTimeout(PATIENCE_MS);
            int status = call.getResponseCode();
            try (InputStream body = status < 400 ? call.getInputStream() : call.getErrorStream()) {
                return new Answer(status, body == null ? "" : new String(body.readAllBytes(), StandardCharsets.UTF_8).strip());
            }
        }

        /** Asks, shows, and says by its exit code whether the answer was yes. */
        private int show(CommandSpec spec, String method, String path, Shown shown) {
            try {
                Answer answer = ask(method, path);
                boolean done = answer.status < 300;
                (done ? spec.commandLine().getOut() : spec.commandLine().getErr())
                        .println(json || !done ? answer.text : shown.of(Json.object(Json.parse(answer.text))));
                spec.commandLine().getOut().flush();
                return done ? 0 : 1;
            } catch (IOException | IllegalArgumentException e) {
                spec.commandLine().getErr().println("streamproxy: " + at + ": " + e.getMessage());
                return 1;
            }
        }
    }

    /** An answer for people. */
    private interface Shown {
        String of(Map<String, Object> answer);
    }

    private static List<Map<String, Object>> list(Map<String, Object> of, String key) {
        return of.get(key) instanceof List<?> items ? items.stream().map(Json::object).toList() : List.of();
    }

    private static String duties(Map<String, Object> answer) {
        StringBuilder text = new StringBuilder(String.format("%-24s %-12s %8s", "DUTY", "HOLDER", "FENCE"));
        for (Map<String, Object> duty : list(answer, "duties")) {
            Object holder = "".equals(duty.get("holder")) ? "-" : duty.get("holder");
            text.append(String.format("%n%-24s %-12s %8s%s", duty.get("duty"), holder, duty.get("fence"),
                    Boolean.TRUE.equals(duty.get("leaving")) ? "  asked to hand on" : ""));
        }
        return text.toString();
    }

    private static String status(Map<String, Object> answer) {
        String leader = "".equals(answer.get("leader")) ? "none heard: no majority from here" : String.valueOf(answer.get("leader"));
        StringBuilder text = new StringBuilder(String.format("%s in fleet %s: %s; leader %s; term %s, applied %s, epoch %s", answer.get("name"),
                answer.get("fleet"), Boolean.TRUE.equals(answer.get("member")) ? "member" : "no member "
                        + answer.get("refused"), leader, answer.get("term"), answer.get("applied"), answer.get("epoch")));
        for (Map<String, Object> member : list(answer, "members")) {
            text.append(String.format("%n  %-12s start %s, in since epoch %s", member.get("name"), member.get("start"), member.get("since")));
        }
        for (Map<String, Object> here : list(answer, "here")) {
            text.append(String.format("%n  seeks %-18s %s, granted %s, lapsed %s, late acts %s", here.get("duty"), here.get("state"),
                    here.get("granted"), here.get("lapsed"), here.get("late_acts")));
        }
        return text.toString();
    }

    /** {@code fleet status}. */
    @Command(name = "status", mixinStandardHelpOptions = true, description = "How the fleet looks from one router.",
            footer = {"", "Example:", "  streamproxy fleet status --at 127.0.0.1:9800 --json"})
    static final class Status implements Callable<Integer> {
        @Spec private CommandSpec spec;
        @Mixin private At at;

        @Override public Integer call() { return at.show(spec, "GET", "/admin/fleet", FleetCommands::status); }
    }

    /** {@code fleet duties}. */
    @Command(name = "duties", mixinStandardHelpOptions = true, description = "Who holds which duty, by the ledger.",
            footer = {"", "Example:", "  streamproxy fleet duties --watch"})
    static final class ListDuties implements Callable<Integer> {
        @Spec private CommandSpec spec;
        @Mixin private At at;

        @Option(names = "--watch", description = "Again each second, until it is interrupted.")
        private boolean watch;

        @Override public Integer call() throws InterruptedException {
            int code = at.show(spec, "GET", "/admin/fleet", FleetCommands::duties);
            while (watch) {
                TimeUnit.SECONDS.sleep(1);
                code = at.show(spec, "GET", "/admin/fleet", FleetCommands::duties);
            }
            return code;
        }
    }

    /** {@code fleet hand-on}. */
    @Command(name = "hand-on", mixinStandardHelpOptions = true, description = "Asks whoever holds a duty to hand it on.",
            footer = {"", "Exit codes: 0 asked, 1 refused (nobody holds it, or no such member) or no answer.", "", "Example:",
                    "  streamproxy fleet hand-on report --to r2"})
    static final class HandOn implements Callable<Integer> {
        @Spec private CommandSpec spec;
        @Mixin private At at;

        @Parameters(paramLabel = "DUTY", description = "The duty's name.")
        private String duty;

        @Option(names = "--to", paramLabel = "NAME", defaultValue = "", description = "Who is to have it; whoever comes first by default.")
        private String to;

        @Override public Integer call() {
            String path = "/admin/fleet/hand-on/" + duty.replace(" ", "%20") + (to.isEmpty() ? "" : "/" + to);
            return at.show(spec, "POST", path, answer -> "asked");
        }
    }

    /** {@code fleet join}. */
    @Command(name = "join", mixinStandardHelpOptions = true,
            description = {"Has the fleet take a member in that was started with joins = yes and a new folder. Comes back at once;",
                    "fleet status tells when it is in."},
            footer = {"", "Exit codes: 0 begun, 1 refused or no answer.", "", "Example:", "  streamproxy fleet join r3 10.0.0.4:9700 --votes"})
    static final class Join implements Callable<Integer> {
        @Spec private CommandSpec spec;
        @Mixin private At at;

        @Parameters(index = "0", paramLabel = "NAME", description = "The member's name.")
        private String name;

        @Parameters(index = "1", paramLabel = "HOST:PORT", description = "Where it listens for the others.")
        private String address;

        @Option(names = "--votes", description = "It votes, too; it only follows by default.")
        private boolean votes;

        @Override public Integer call() {
            return at.show(spec, "POST", "/admin/fleet/join/" + name + "/" + address + (votes ? "/votes" : ""), answer -> "begun");
        }
    }

    /** {@code fleet leave}. */
    @Command(name = "leave", mixinStandardHelpOptions = true,
            description = "Has a member leave the fleet for good: its duties go to others once their leases are over.",
            footer = {"", "Exit codes: 0 begun, 1 refused or no answer.", "", "Example:", "  streamproxy fleet leave r1"})
    static final class Leave implements Callable<Integer> {
        @Spec private CommandSpec spec;
        @Mixin private At at;

        @Parameters(paramLabel = "NAME", description = "The member's name.")
        private String name;

        @Override public Integer call() { return at.show(spec, "POST", "/admin/fleet/leave/" + name, answer -> "begun"); }
    }

    /** {@code fleet overrule}. */
    @Command(name = "overrule", mixinStandardHelpOptions = true,
            description = {"Has the router that is asked leave without waiting for its turn, now or when it is told to leave.",
                    "fleet duties tells who has the turn; fleet status, at each router, whether it asks for one."},
            footer = {"", "Example:", "  streamproxy fleet overrule --at 127.0.0.1:9800"})
    static final class Overrule implements Callable<Integer> {
        @Spec private CommandSpec spec;
        @Mixin private At at;

        @Override public Integer call() { return at.show(spec, "POST", "/admin/fleet/overrule", answer -> "it waits for no turn"); }
    }
}
