package streamproxy.benchlink;

import java.nio.ByteBuffer;
import streamproxy.Routing;

/** Turns the wire's numbered report values into named measures. */
final class ReportLayout {
    private static final int SLOTS = 4;
    private static final int MEASURES = 7;

    private final int[] measure = new int[SLOTS];
    private final double[] scale = new double[SLOTS];

    ReportLayout(String[] fields, String x0, String x1) {
        for (int i = 0; i < SLOTS; i++) {
            String name = i < fields.length ? fields[i] : "";
            String words = name.equals("x0") ? x0 : name.equals("x1") ? x1 : "";
            measure[i] = words.isEmpty() ? named(name) : described(words);
            scale[i] = words.startsWith("thousands_") ? 1000 : 1;
        }
    }

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
    Routing.LoadReport read(ByteBuffer in, int at) {
        int n = Math.min(in.get(at) & 0xff, SLOTS);
        if (n == 0) {
            return null;
        }
        double[] v = new double[MEASURES];
        java.util.Arrays.fill(v, Double.NaN);
        for (int i = 0; i < n; i++) {
            if (measure[i] >= 0) {
                v[measure[i]] = in.getFloat(at + 1 + 4 * i) * scale[i];
            }
        }
        return new Routing.LoadReport(v[0], v[1], v[2], v[3], v[4], v[5], v[6]);
    }
}
