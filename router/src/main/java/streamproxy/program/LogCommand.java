package streamproxy.program;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import streamproxy.records.JsonLine;
import streamproxy.syslog.reading.ParsedMessage;
import streamproxy.syslog.reading.Frames;
import streamproxy.syslog.reading.Malformed;
import streamproxy.syslog.reading.Query;
import streamproxy.syslog.reading.StrictParser;
import streamproxy.syslog.reading.Summary;

/** {@code log}: finds records and sums them up. */
@Command(name = "log", mixinStandardHelpOptions = true, versionProvider = Commands.Version.class,
        description = {"Reads records in syslog's form (RFC 5424), one a line or each with its length ahead, from files or standard input.",
                "Prints those that are asked for, or sums them up. What cannot be read is told on standard error, with its line and column."},
        footer = {"", "Exit codes: 0 read, 1 some of it could not be, 2 wrong usage, 3 a file that cannot be opened.", "", "Examples:",
                "  streamproxy log --request 7f3a9c21 records.log", "  streamproxy log --class complete --outcome refused --json < records.log",
                "  streamproxy log --sum --from 2026-12-01T08:00:00Z records.log"})
final class LogCommand implements Callable<Integer> {
    private static final String REQUEST = "request";

    @Spec private CommandSpec spec;

    @Parameters(paramLabel = "FILE", arity = "0..*", description = "Files with records; standard input where none is named.")
    private List<Path> files = List.of();

    @Option(names = "--request", paramLabel = "ID", description = "Only that request and its attempts.")
    private String request;

    @Option(names = "--class", paramLabel = "NAME", description = "Only requests of that class.")
    private String clazz;

    @Option(names = "--box", paramLabel = "UID", description = "Only what concerns that box, attempts within requests too.")
    private String box;

    @Option(names = "--outcome", paramLabel = "WORD", description = "Only requests or attempts that ended so: served, refused, timeout, ...")
    private String outcome;

    @Option(names = "--kind", paramLabel = "WORD", description = "Only records of that kind: answer, refusal, failure, attempt, box, list, ...")
    private String kind;

    @Option(names = "--from", paramLabel = "TIME", description = "Not before that time, as 2026-12-01T08:00:00Z.")
    private String from;

    @Option(names = "--to", paramLabel = "TIME", description = "Before that time.")
    private String to;

    @Option(names = "--sum", description = "Sums up in place of printing: ends and percentiles by class, why answers were late.")
    private boolean sum;

    @Option(names = "--late", paramLabel = "SHARE", defaultValue = "0.5",
            description = "With --sum: late is a first event after that share of the client's time; ${DEFAULT-VALUE} by default.")
    private double late;

    @Option(names = "--json", description = "Prints JSON lines.")
    private boolean json;

    private boolean allRead = true;

    @Override public Integer call() throws IOException {
        Query query = new Query(request, clazz, box, outcome, kind, time("--from", from), time("--to", to));
        Summary summary = new Summary(late);
        PrintWriter out = spec.commandLine().getOut();
        if (!sum && !json) {
            out.println(String.format(Locale.ROOT, "%-24s %-8s %-20s %-10s %-12s %-16s %10s  %s", "time", "kind", REQUEST, "class", "end", "box",
                    "whole_ms", "text"));
        }
        if (files.isEmpty()) {
            read("standard input", System.in, query, summary, out);
        }
        for (Path file : files) {
            try (InputStream in = Files.newInputStream(file)) {
                read(file.toString(), in, query, summary, out);
            }
        }
        if (sum && json) {
            summary.rows().forEach(r -> out.println(String.format(Locale.ROOT, "{\"class\":%s,\"served\":%d,\"broken\":%d,\"refused\":%d,"
                    + "\"failed\":%d,\"left\":%d,\"p50_ms\":%.3f,\"p95_ms\":%.3f,\"p99_ms\":%.3f,\"max_ms\":%.3f}", JsonLine.quoted(r.clazz()),
                    r.served(), r.broken(), r.refused(), r.failed(), r.left(), r.p50(), r.p95(), r.p99(), r.most())));
            summary.late().forEach((why, count) -> out.println("{\"late\":" + JsonLine.quoted(why) + ",\"count\":" + count + "}"));
        } else if (sum) {
            out.print(summary.text());
        }
        out.flush();
        return allRead ? 0 : 1;
    }

    private Instant time(String option, String text) {
        try {
            return text == null ? null : Instant.parse(text);
        } catch (DateTimeParseException e) {
            throw new CommandLine.ParameterException(spec.commandLine(), option + " is no time: " + text);
        }
    }

    private void read(String name, InputStream in, Query query, Summary summary, PrintWriter out) throws IOException {
        Frames frames = new Frames(in);
        while (true) {
            try {
                byte[] message = frames.next();
                if (message == null) {
                    return;
                }
                ParsedMessage found = StrictParser.parse(message);
                if (query.wants(found)) {
                    if (sum) {
                        summary.add(found);
                    } else {
                        out.println(json ? jsonLine(found) : row(found));
                    }
                }
            } catch (Malformed e) {
                allRead = false;
                spec.commandLine().getErr().println(name + ": line " + frames.line() + ", column " + e.column() + ": " + e.getMessage());
            }
        }
    }

    private static String row(ParsedMessage found) {
        String id = found.value(REQUEST, "id") + found.value("attempt", "id");
        String end = found.value(REQUEST, "end") + found.value("attempt", "outcome") + found.value("box", "state");
        String which = found.value(REQUEST, "box") + found.value("attempt", "box") + found.value("box", "id");
        return String.format(Locale.ROOT, "%-24s %-8s %-20s %-10s %-12s %-16s %10s  %s", found.time() == null ? "-" : found.time(),
                found.messageId(), id, found.value(REQUEST, "class"), end, which, found.value(REQUEST, "whole_ms"), found.message());
    }

    private static String jsonLine(ParsedMessage found) {
        List<String> parts = new ArrayList<>();
        parts.add("\"time\":" + (found.time() == null ? "null" : JsonLine.quoted(found.time().toString())));
        parts.add("\"severity\":" + found.severity());
        parts.add("\"host\":" + JsonLine.quoted(found.host()));
        parts.add("\"kind\":" + JsonLine.quoted(found.messageId()));
        for (ParsedMessage.Element element : found.elements()) {
            parts.add(JsonLine.quoted(element.name()) + ":" + element.params().stream().map(ParsedMessage.Param::name).distinct()
                    .map(name -> JsonLine.quoted(name) + ":" + values(found.values(element.name(), name)))
                    .collect(Collectors.joining(",", "{", "}")));
        }
        parts.add("\"text\":" + JsonLine.quoted(found.message()));
        return parts.stream().collect(Collectors.joining(",", "{", "}"));
    }

    private static String values(List<String> values) {
        return values.size() == 1 ? JsonLine.quoted(values.get(0))
                : values.stream().map(JsonLine::quoted).collect(Collectors.joining(",", "[", "]"));
    }
}
