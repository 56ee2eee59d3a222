package streamproxy.syslog.reading;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** What many messages come to: how requests of each class ended, how long they took, and why answers were late. */
public final class Summary {
    /** A class's requests. Times are milliseconds. */
    public record Row(String clazz, long served, long broken, long refused, long failed, long left, double p50, double p95,
            double p99, double most) { }

    private static final long MOST_US = 3_600_000_000L;
    private static final String REQUEST = "request";

    private static final class Class {
        final Map<String, Long> ends = new TreeMap<>();
        final Histogram whole = new Histogram(MOST_US, 3);
    }

    private final Map<String, Class> classes = new TreeMap<>();
    private final Map<String, Long> late = new TreeMap<>();
    private final Map<String, Long> kinds = new TreeMap<>();
    private final double lateShare;

    /** @param lateShare a request counts as late once its first event took more than this share of its client's budget */
    public Summary(double lateShare) { this.lateShare = lateShare; }

    /** Counts one more. */
    public void add(ParsedMessage found) {
        kinds.merge(found.messageId(), 1L, Long::sum);
        if (found.element(REQUEST).isEmpty()) {
            return;
        }
        Class of = classes.computeIfAbsent(found.value(REQUEST, "class"), c -> new Class());
        String end = found.value(REQUEST, "end");
        of.ends.merge(end, 1L, Long::sum);
        double whole = ms(found, "whole_ms");
        if (end.equals("served") && whole >= 0) {
            of.whole.recordValue(Math.min(MOST_US, Math.round(whole * 1000)));
        }
        double first = ms(found, "first_ms");
        double budget = ms(found, "budget_ms");
        if (first >= 0 && budget > 0 && first > lateShare * budget) {
            late.merge(why(found, first), 1L, Long::sum);
        }
    }

    private static double ms(ParsedMessage found, String name) {
        try {
            return Double.parseDouble(found.value(REQUEST, name));
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    /** The largest part of the time up to the first event. */
    private static String why(ParsedMessage found, double first) {
        if (found.values(REQUEST, "tried").size() > 1) {
            return "tried more than once";
        }
        double waited = Math.max(0, ms(found, "wait_ms"));
        double connecting = Math.max(0, ms(found, "connect_ms"));
        double box = first - waited - connecting;
        return waited >= connecting && waited >= box ? "waited in the module" : connecting >= box ? "connecting to the box"
                : "the box was slow to begin";
    }

    /** Messages by their kind. */
    public Map<String, Long> kinds() { return kinds; }

    /** Late requests by what took longest. */
    public Map<String, Long> late() { return late; }

    /** A row for each class, in the order of their names. */
    public List<Row> rows() {
        List<Row> rows = new ArrayList<>();
        classes.forEach((name, of) -> rows.add(new Row(name, ended(of, "served"), ended(of, "broken"), ended(of, "refused"),
                ended(of, "failed"), ended(of, "left"), at(of, 50), at(of, 95), at(of, 99), of.whole.getMaxValue() / 1000.0)));
        return rows;
    }

    private static long ended(Class of, String end) { return of.ends.getOrDefault(end, 0L); }

    private static double at(Class of, double percentile) { return of.whole.getValueAtPercentile(percentile) / 1000.0; }

    /** As a person reads it. */
    public String text() {
        StringBuilder text = new StringBuilder(String.format(Locale.ROOT, "%-12s %8s %8s %8s %8s %8s %10s %10s %10s %10s%n", "class", "served",
                "broken", "refused", "failed", "left", "p50_ms", "p95_ms", "p99_ms", "max_ms"));
        for (Row r : rows()) {
            text.append(String.format(Locale.ROOT, "%-12s %8d %8d %8d %8d %8d %10.1f %10.1f %10.1f %10.1f%n", r.clazz, r.served, r.broken,
                    r.refused, r.failed, r.left, r.p50, r.p95, r.p99, r.most));
        }
        late.forEach((why, count) -> text.append(String.format(Locale.ROOT, "late: %d %s%n", count, why)));
        kinds.forEach((kind, count) -> text.append(String.format(Locale.ROOT, "%s: %d%n", kind, count)));
        return text.toString();
    }
}
