package streamproxy.lab.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import streamproxy.protocol.Json;

/**
 * Judges a file of observed lines (docs/observed.md) by the guarantees of docs/fleet-together.md. It reads nothing else
 * and knows nothing of the program.
 */
public final class Audit {
    /** A breach of a guarantee, and the line that shows it. */
    public record Breach(int guarantee, int line, String why) { }

    /** What was found. */
    public record Found(long acts, long stale, List<Breach> breaches) { }

    private static final class Duty {
        private long fence = Long.MIN_VALUE;
        private String holder = "";
        private long firstDone; // of that fence
    }

    private final Map<String, Duty> duties = new HashMap<>();
    private final List<Breach> breaches = new ArrayList<>();
    private long last = Long.MIN_VALUE;
    private long acts;
    private long stale;

    private Audit() { }

    /** @throws IOException where the file cannot be read, or a line of it is none of the format's */
    public static Found of(Path file) throws IOException {
        Audit audit = new Audit();
        int number = 0;
        for (String line : Files.readAllLines(file)) {
            number++;
            try {
                audit.take(number, Json.object(Json.parse(line)));
            } catch (RuntimeException e) {
                throw new IOException(file + ": line " + number + ": " + e.getMessage());
            }
        }
        return new Found(audit.acts, audit.stale, List.copyOf(audit.breaches));
    }

    private void take(int number, Map<String, Object> line) {
        long at = whole(line, "t");
        if (at < last) {
            breaches.add(new Breach(0, number, "its time goes back: the file is not in the stand-in's order"));
        }
        last = at;
        if ("act".equals(line.get("kind"))) {
            act(number, at, line);
        }
    }

    private void act(int number, long at, Map<String, Object> line) {
        Duty duty = duties.computeIfAbsent(text(line, "duty"), name -> new Duty());
        String who = text(line, "who");
        long fence = whole(line, "fence");
        long asked = whole(line, "asked");
        boolean done = Boolean.TRUE.equals(line.get("done"));
        acts += done ? 1 : 0;
        stale += done ? 0 : 1;
        if (fence > duty.fence) {
            duty.fence = fence;
            duty.holder = who;
            duty.firstDone = at;
            return;
        }
        if (fence == duty.fence && !who.equals(duty.holder)) {
            breaches.add(new Breach(1, number, who + " bears fence " + fence + " of " + duty.holder));
        }
        if (fence < duty.fence && done) {
            breaches.add(new Breach(1, number, who + "'s act of fence " + fence + " was done after one of fence " + duty.fence));
        }
        if (fence < duty.fence && asked > duty.firstDone) {
            breaches.add(new Breach(1, number, who + " was told that it may act by fence " + fence + ", asked " + (asked - duty.firstDone)
                    + " ns after " + duty.holder + " had acted by " + duty.fence));
        }
    }

    private static long whole(Map<String, Object> line, String key) {
        if (line.get(key) instanceof Json.Number n) {
            return Long.parseLong(n.text());
        }
        throw new IllegalArgumentException("no whole number: " + key);
    }

    private static String text(Map<String, Object> line, String key) {
        if (line.get(key) instanceof String s) {
            return s;
        }
        throw new IllegalArgumentException("no text: " + key);
    }
}
