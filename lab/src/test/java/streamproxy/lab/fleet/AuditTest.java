package streamproxy.lab.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Files with one breach of each kind planted: the auditor must name the line. */
class AuditTest {
    @TempDir private Path folder;

    private static String act(long t, String who, long fence, long asked, boolean done) {
        return "{\"t\":" + t + ",\"kind\":\"act\",\"duty\":\"d\",\"who\":\"" + who + "\",\"fence\":" + fence + ",\"asked\":" + asked
                + ",\"done\":" + done + "}";
    }

    private Audit.Found audit(String... lines) throws IOException {
        return Audit.of(Files.write(folder.resolve("observed.jsonl"), List.of(lines)));
    }

    @Test void aFleetThatKeepsItsWordIsNotAccused() throws IOException {
        Audit.Found found = audit(act(10, "a", 1, 5, true), "{\"t\":11,\"kind\":\"fault\",\"what\":\"stall\",\"whom\":\"a\",\"begins\":true}",
                act(20, "b", 2, 15, true), act(30, "a", 1, 12, false));
        assertEquals(new Audit.Found(2, 1, List.of()), found);
    }

    @Test void eachBreachIsNamedWithItsLine() throws IOException {
        assertEquals(List.of(3), lines(audit(act(10, "a", 1, 5, true), act(20, "b", 2, 15, true), act(30, "a", 1, 12, true))), "done late");
        assertEquals(List.of(3), lines(audit(act(10, "a", 1, 5, true), act(20, "b", 2, 15, true), act(30, "a", 1, 25, false))), "two at once");
        assertEquals(List.of(2), lines(audit(act(10, "a", 1, 5, true), act(20, "b", 1, 15, true))), "one fence for two");
        assertEquals(List.of(2), lines(audit(act(10, "a", 1, 5, true), act(9, "a", 1, 6, true))), "out of order");
    }

    private static List<Integer> lines(Audit.Found found) { return found.breaches().stream().map(Audit.Breach::line).toList(); }

    @Test void whatIsNoSuchFileIsSaidWithItsLine() {
        IOException e = assertThrows(IOException.class, () -> audit(act(10, "a", 1, 5, true), "{\"t\":11,\"kind\":\"act\"}"));
        assertEquals(folder.resolve("observed.jsonl") + ": line 2: no text: duty", e.getMessage());
    }
}
