package streamproxy.lab.fleet;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** {@code audit}. */
@Command(name = "audit", mixinStandardHelpOptions = true,
        description = "Judges what stand-ins saw of a fleet by the guarantees of docs/fleet-together.md; names each breach with its line.",
        footer = {"", "Exit codes: 0 no breach, 1 a breach or a file that cannot be read.", "", "Example:", "  lab audit out/observed.jsonl"})
public final class AuditCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "Observed lines, as docs/observed.md has them.")
    private Path file;

    @Override public Integer call() throws Exception {
        Audit.Found found = Audit.of(file);
        found.breaches().forEach(b -> System.out.println("line " + b.line() + ": guarantee " + b.guarantee() + ": " + b.why()));
        System.out.println(found.acts() + " acts, " + found.stale() + " refused by their fence, " + found.breaches().size() + " breaches");
        return found.breaches().isEmpty() ? 0 : 1;
    }
}
