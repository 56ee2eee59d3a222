package streamproxy.lab.fleet;

import java.io.IOException;
import java.io.InputStreamReader;
import java.io.Reader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.SubnodeConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;

/**
 * What fails, how often and for how long: an INI file whose section {@code plan} says how long is waited between faults,
 * and which has a section for each kind of fault with its weight and how long it lasts, in ms or in leases. The seed draws the rest: the same
 * plan and seed give the same faults.
 */
final class Plan {
    /** What may be done to a router. */
    enum Kind { KILL, STALL, LEAVE, CUT, ONE_WAY, SLOW, LOSSY, HAND_ON }

    /**
     * One fault.
     *
     * @param atMs     after the one before has ended
     * @param holder   whether it befalls whoever holds the duty; any router else
     * @param whom     which of them then
     * @param outwards for {@link Kind#ONE_WAY}: what it sends is held up; what it is sent else
     */
    record Fault(Kind kind, long atMs, long forMs, boolean holder, int whom, boolean outwards) { }

    private record Span(long least, long most) {
        Span times(long by) { return new Span(least * by, most * by); }

        long draw(SplittableRandom random) { return least + (most > least ? random.nextLong(most - least + 1) : 0); }
    }

    private final Span every;
    private final double holderShare;
    private final Map<Kind, Double> weights = new EnumMap<>(Kind.class);
    private final Map<Kind, Span> spans = new EnumMap<>(Kind.class);
    private final SplittableRandom random;

    private Plan(INIConfiguration ini, long seed, double leaseS) throws IOException {
        random = new SplittableRandom(seed);
        SubnodeConfiguration plan = ini.getSection("plan");
        every = span("plan", plan.getString("every_ms", "1000 3000"));
        holderShare = plan.getDouble("holder_share", 0.8);
        for (Kind kind : Kind.values()) {
            String section = kind.name().toLowerCase(Locale.ROOT);
            SubnodeConfiguration part = ini.getSection(section);
            double weight = part.getDouble("weight", 0);
            if (weight > 0) {
                weights.put(kind, weight);
                spans.put(kind, part.containsKey("for_leases") ? span(section, part.getString("for_leases")).times((long) (1e3 * leaseS))
                        : span(section, part.getString("for_ms", "500 3000")));
            }
        }
        if (weights.isEmpty()) {
            throw new IOException("the plan has no kind of fault with a weight");
        }
    }

    /** Reads a plan: one that comes along, by its name, or a file. */
    static Plan read(String which, long seed, double leaseS) throws IOException {
        INIConfiguration ini = new INIConfiguration();
        try (Reader in = which.endsWith(".ini") ? Files.newBufferedReader(Path.of(which))
                : new InputStreamReader(Plan.class.getResourceAsStream("/plans/" + which + ".ini"), StandardCharsets.UTF_8)) {
            ini.read(in);
        } catch (ConfigurationException | RuntimeException e) {
            throw new IOException("plan " + which + ": " + e.getMessage(), e);
        }
        return new Plan(ini, seed, leaseS);
    }

    private static Span span(String section, String text) throws IOException {
        String[] words = text.strip().split("\\s+");
        try {
            Span span = new Span(Long.parseLong(words[0]), Long.parseLong(words[words.length - 1]));
            if (words.length <= 2 && 0 <= span.least && span.least <= span.most) {
                return span;
            }
        } catch (NumberFormatException e) {
            // said below
        }
        throw new IOException("[" + section + "]: not LEAST MOST in ms: " + text);
    }

    Fault next(int routers) {
        double drawn = random.nextDouble() * weights.values().stream().mapToDouble(w -> w).sum();
        List<Kind> kinds = new ArrayList<>(weights.keySet());
        Kind kind = kinds.get(kinds.size() - 1);
        for (Kind one : kinds) {
            drawn -= weights.get(one);
            if (drawn < 0) {
                kind = one;
                break;
            }
        }
        return new Fault(kind, every.draw(random), spans.get(kind).draw(random), random.nextDouble() < holderShare,
                random.nextInt(routers), random.nextBoolean());
    }
}
