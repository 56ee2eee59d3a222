package streamproxy.decision;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Set;
import java.util.function.ToDoubleFunction;

/** Turns the wire's numbered report values into named measures. */
public final class ReportLayout {
    private static final int SLOTS = 4;
    private static final int MEASURES = 7;
    /** What no box can mean: means kept of reports must not be spoilt for good by one that is infinite. */
    private static final double MOST = 1e9;

    private final String[] names = new String[SLOTS];
    private final int[] measure = new int[SLOTS];
    private final double[] scale = new double[SLOTS];

    public ReportLayout(String[] fields, String x0, String x1) {
        for (int i = 0; i < SLOTS; i++) {
            String name = i < fields.length ? fields[i] : "";
            String words = name.equals("x0") ? x0 : name.equals("x1") ? x1 : "";
            names[i] = name;
            measure[i] = words.isEmpty() ? named(name) : described(words);
            scale[i] = words.startsWith("thousands_") ? 1000 : 1;
        }
    }

    /** The names of the fields that a report has. */
    public Set<String> names() { return Set.copyOf(Arrays.asList(names)); }

    /** Whether replicas tell no report. */
    public boolean isEmpty() { return Arrays.stream(names).allMatch(String::isEmpty); }

    private static int named(String name) {
        return switch (name) {
            case "q" -> 1;
            case "rif" -> 2;
            case "busy" -> 4;
            case "lat_ms" -> 5;
            case "fail_rate" -> 6;
            default -> -1;
        };
    }

    private static int described(String words) {
        return words.contains("prompt_tokens") ? 0 : words.contains("memory") ? 3 : -1;
    }

    /** Reads a u8 count and four f32 at the position; null where no report came along. */
    public Routing.LoadReport read(ByteBuffer in, int at) {
        int n = Math.min(in.get(at) & 0xff, SLOTS);
        double[] values = new double[n];
        for (int i = 0; i < n; i++) {
            values[i] = in.getFloat(at + 1 + 4 * i);
        }
        return read(values);
    }

    /** Reads the values by the names of their fields, NaN for an absent or impossible one; null where all are absent. */
    public Routing.LoadReport read(ToDoubleFunction<String> field) {
        double[] values = Arrays.stream(names).mapToDouble(field).map(v -> v >= 0 && v < MOST ? v : Double.NaN).toArray();
        return Arrays.stream(values).allMatch(Double::isNaN) ? null : read(values);
    }

    private Routing.LoadReport read(double[] values) {
        if (values.length == 0) {
            return null;
        }
        double[] v = new double[MEASURES];
        Arrays.fill(v, Double.NaN);
        for (int i = 0; i < values.length; i++) {
            if (measure[i] >= 0) {
                v[measure[i]] = values[i] * scale[i];
            }
        }
        return new Routing.LoadReport(v[0], v[1], v[2], v[3], v[4], v[5], v[6]);
    }
}
