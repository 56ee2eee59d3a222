package streamproxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Each layer uses only those below it, and what decides uses none of them. */
class LayersTest {
    private static final List<String> DECIDING = List.of("decision", "dispatch", "duties", "lifecycle", "limits", "timing", "streams");
    private static final Map<String, List<String>> BELOW = Map.of(
            "transport", List.of("timing"),
            "protocol", List.of("transport", "limits", "syslog", "streams"),
            "routing", List.of("protocol", "transport", "decision", "dispatch", "lifecycle", "limits", "timing", "records", "streams"),
            "program", List.of("routing", "protocol", "transport", "decision", "dispatch", "lifecycle", "limits", "benchlink", "records", "syslog", "streams"),
            "benchlink", List.of("decision"));
    private static final Pattern USED = Pattern.compile("^import (?:static )?streamproxy\\.(\\w+)\\.", Pattern.MULTILINE);
    private static final Pattern OUTSIDE = Pattern.compile("java\\.(net|io|nio)\\.|System\\.(nanoTime|currentTimeMillis)|\\bThread\\b");

    private static List<Path> sources(Path root) throws IOException {
        try (Stream<Path> files = Files.walk(root)) {
            return files.filter(file -> file.toString().endsWith(".java")).toList();
        }
    }

    @Test void noLayerUsesOneAboveIt() throws IOException {
        List<String> wrong = new ArrayList<>();
        List<Path> sources = sources(Path.of("src/main/java/streamproxy"));
        for (Path source : sources) {
            String layer = source.getParent().getFileName().toString();
            Matcher used = USED.matcher(Files.readString(source));
            while (used.find()) {
                if (!used.group(1).equals(layer) && !BELOW.get(layer).contains(used.group(1))) {
                    wrong.add(source.getFileName() + " uses " + used.group(1));
                }
            }
        }
        assertTrue(sources.size() > 30, "sources are there");
        assertEquals(List.of(), wrong);
    }

    /** Records may go from any program to any collector; and what decides of them needs no socket to be tested. */
    @Test void recordsKnowNothingOfRoutingAndTheirDecisionsNothingOfSockets() throws IOException {
        List<String> wrong = new ArrayList<>();
        List<Path> sources = sources(Path.of("../records/src/main/java/streamproxy"));
        for (Path source : sources) {
            Matcher used = USED.matcher(Files.readString(source));
            while (used.find()) {
                if (!used.group(1).equals("records") && !used.group(1).equals("syslog")) {
                    wrong.add(source.getFileName() + " uses " + used.group(1));
                }
            }
        }
        assertTrue(sources.size() > 20, "sources are there");
        for (String name : List.of("syslog/FailOver", "syslog/Backoff", "syslog/Framing", "syslog/RecordQueue", "records/EventFormatter", "records/EventText")) {
            String source = Files.readString(Path.of("../records/src/main/java/streamproxy/" + name + ".java"));
            Matcher used = OUTSIDE.matcher(source.replaceAll("(?s)/\\*.*?\\*/|//[^\n]*", "").replace("java.nio.charset", ""));
            if (used.find()) {
                wrong.add(name + " uses " + used.group());
            }
        }
        assertEquals(List.of(), wrong);
    }

    /** The compiler keeps sockets of ours out; this keeps out the JDK's, its clocks and its threads. */
    @Test void whatDecidesHasNoSocketsClocksOrThreads() throws IOException {
        List<String> wrong = new ArrayList<>();
        for (String part : DECIDING) {
            for (Path source : sources(Path.of("../decision/src/main/java/streamproxy/" + part))) {
                Matcher used = OUTSIDE.matcher(Files.readString(source).replaceAll("(?s)/\\*.*?\\*/|//[^\n]*", ""));
                if (used.find()) {
                    wrong.add(source.getFileName() + " uses " + used.group());
                }
            }
        }
        assertEquals(List.of("ReportLayout.java uses java.nio."), wrong, "bytes of the simulator's wire, and no more");
    }
}
