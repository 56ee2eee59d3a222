package streamproxy.protocol;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import streamproxy.limits.ConnectionLimits;
import streamproxy.protocol.NodeConfig.Unusable;
import streamproxy.streams.RetryBudget;
import streamproxy.streams.StreamLimits;
import streamproxy.streams.StallCorrelator;

/**
 * What the operator of an installation sets beyond what the platform tells: a file of sections and keys (INI).
 * {@code deploy/streamproxy.ini} has them all. What is unknown, set twice, out of range or no number is refused with the
 * file, the line, the section and the key. {@link OperatorReader} reads it.
 */
public final class OperatorFile {
    /** All keys that there are; a default of 0 leaves the figure to the deployment's limits. */
    public enum Key {
        /** Connections that clients may hold, idle and active together. */
        CLIENTS_MOST("connections", 1, 1_000_000, 0, true),
        /** Of these, the ones with a request under way. */
        ACTIVE_MOST("connections", 1, 100_000, 0, true),
        /** Connections from one address. */
        CLIENTS_PER_ADDRESS("connections", 1, 1_000_000, 0, true),
        /** Connections taken in a second. */
        ACCEPTS_PER_S("connections", 1, 1_000_000, 0, true),
        /** Seconds for which one that was served waits for its next request. */
        CLIENT_IDLE_S("connections", 0.1, 86_400, 3, false),
        /** Seconds for which one waits for its first request. */
        CLIENT_MUTE_S("connections", 0.1, 86_400, 2, false),
        /** Connections to one model box. */
        CONNECTIONS_MOST("boxes", 1, 100_000, 0, true),
        /** Connections that are being opened to one model box at a time. */
        CONNECTING_MOST("boxes", 1, 10_000, 0, true),
        /** KiB of an answer that may wait for its client. */
        HOLD_KB("streams", 1, 16_384, 64, true),
        /** MiB that may wait for all clients together. */
        HOLD_ALL_MB("streams", 1, 65_536, 0, true),
        /** Seconds for which a client may leave that waiting. */
        LAG_S("streams", 0.1, 3_600, 5, false),
        /** A gap so many times as long as nearly all before it is a stall; 0 where only the settings' limit is. */
        STALL_FACTOR("streams", 2, 1_000, 0, false),
        /** Seconds that are no stall, however quick the stream was. */
        STALL_LEAST_S("streams", 0.05, 600, 1, false),
        /** Resends for each request, over all; 0 for any number. */
        SHARE("retries", 0.001, 10, 0, false),
        /** Resends a second beside that. */
        PER_S("retries", 0, 10_000, 1, false),
        /** Resends that may be saved up. */
        SAVED_MOST("retries", 1, 100_000, 20, true);

        private final String section;
        private final double least;
        private final double most;
        private final double otherwise;
        private final boolean whole;

        Key(String section, double least, double most, double otherwise, boolean whole) {
            this.section = section;
            this.least = least;
            this.most = most;
            this.otherwise = otherwise;
            this.whole = whole;
        }

        public String section() { return section; }

        /** The key as it is written. */
        public String word() { return name().toLowerCase(Locale.ROOT); }

        /** What holds where the file does not say; 0 for what the deployment's limits come to. */
        public double otherwise() { return otherwise; }

        double least() { return least; }

        double most() { return most; }

        boolean whole() { return whole; }

        String range() { return figure(least) + " to " + figure(most); }

        /** A figure as it is written: without a fraction where it has none. */
        public String figure(double value) {
            return value == Math.rint(value) ? String.valueOf((long) value) : String.valueOf(value);
        }
    }

    /** Streams that stall within so long, so large a share of the box's and so many at least, stall together. */
    private static final long STALL_WINDOW = 2_000_000_000L;
    private static final double STALL_SHARE = 0.5;
    private static final int STALL_STREAMS = 3;
    private static final String COLLECTOR = "syslog collector ";
    private static final Set<String> SYSLOG = Set.of("json", "to", "facility", "host", "app", "enterprise", "clock_synced", "queue",
            "fail_back_s", "drain_s", "report_s", "stalled_s", "spool", "spool_mb");
    private static final Set<String> COLLECTORS = Set.of("address", "transport", "framing", "most_bytes", "trust_store",
            "trust_password_file", "key_store", "key_password_file", "check_name");

    /** Of the section that {@code streamproxy daemon} reads; the router itself makes nothing of it. */
    public static final String FLEET = "fleet";
    private static final Set<String> FLEET_KEYS = Set.of("id", "name", "members", "voters", "folder", "lease_s", "drift_ppm",
            "act_ms", "duties", "turn_wait_s", "joins", "ownership", "zone", "turns", "shares_list");

    /** No file: everything is as the deployment says. */
    public static final OperatorFile NONE = new OperatorFile("", "", new EnumMap<>(Key.class));

    private final String name;
    private final String text;
    private final Map<Key, Double> set;
    private final Map<String, Map<String, String>> texts = new LinkedHashMap<>();

    OperatorFile(String name, String text, Map<Key, Double> set) {
        this.name = name;
        this.text = text;
        this.set = set;
    }

    /** What is wrong with a key, in one line with where it stands. */
    public Unusable unusable(String section, String key, String why) {
        String what = section == null ? "" : key == null ? " [" + section + "]:" : " [" + section + "] " + key + ":";
        return new Unusable(name + ": line " + lineOf(section, key) + ":" + what + " " + why);
    }

    /** The keys of a section that holds texts; null for any other. Sections {@code syslog collector NAME} are one kind. */
    static Set<String> textKeys(String section) {
        return section == null ? null : section.equals("syslog") ? SYSLOG : section.equals(FLEET) ? FLEET_KEYS : section.startsWith(COLLECTOR) ? COLLECTORS : null;
    }

    void setText(String section, String word, String value) { texts.get(section).put(word, value); }

    void addSection(String section) { texts.put(section, new LinkedHashMap<>()); }

    /** The texts of a section in their order; null where the file does not have it. */
    public Map<String, String> section(String section) { return texts.get(section); }

    /** The names of the collectors that the file has sections for, in their order. */
    public List<String> collectors() {
        return texts.keySet().stream().filter(s -> s.startsWith(COLLECTOR)).map(s -> s.substring(COLLECTOR.length())).toList();
    }

    /** The section of a collector. */
    public static String collectorSection(String collector) { return COLLECTOR + collector; }

    /** Whether the file sets the key of that word. */
    public boolean says(String word) { return set.keySet().stream().anyMatch(key -> key.word().equals(word)); }

    /** The library tells no lines; the last place that sets the key is the one that a reader looks for. */
    private int lineOf(String section, String key) {
        String in = null;
        int found = 1;
        int number = 0;
        for (String line : text.lines().toList()) {
            number++;
            String stripped = line.strip();
            if (stripped.startsWith("[") && stripped.endsWith("]")) {
                in = stripped.substring(1, stripped.length() - 1);
                found = key == null && in.equals(section) ? number : found;
            } else if (section == null ? in == null && isKey(stripped) && found == 1
                    : key != null && section.equals(in) && word(stripped).equals(key)) {
                found = number;
            }
        }
        return found;
    }

    private static boolean isKey(String line) { return !line.isEmpty() && !line.startsWith(";") && !line.startsWith("#"); }

    private static String word(String line) {
        int end = 0;
        while (end < line.length() && line.charAt(end) != '=' && line.charAt(end) != ':') {
            end++;
        }
        return line.substring(0, end).strip();
    }

    /** Whether both come to the same figures in that section. */
    public boolean isAlike(OperatorFile other, String section) {
        return Arrays.stream(Key.values()).filter(key -> key.section.equals(section)).allMatch(key -> get(key) == other.get(key));
    }

    /** What is set, or what holds else. */
    public double get(Key key) { return set.getOrDefault(key, key.otherwise); }

    /**
     * What the file wishes for a stream.
     *
     * @param longestGapNs the longest gap between events that the deployment's settings allow
     */
    public StreamLimits stream(long longestGapNs) {
        double factor = get(Key.STALL_FACTOR);
        return new StreamLimits((int) get(Key.HOLD_KB) * 1024, (long) (get(Key.LAG_S) * 1e9), longestGapNs,
                Math.min(longestGapNs, (long) (get(Key.STALL_LEAST_S) * 1e9)), factor > 0 ? factor : Double.POSITIVE_INFINITY);
    }

    /** What may be sent again; null where the file does not bound it. */
    public RetryBudget retries(long now) {
        return get(Key.SHARE) > 0 ? new RetryBudget(get(Key.SHARE), get(Key.PER_S), get(Key.SAVED_MOST), now) : null;
    }

    /** What tells streams of a box that stall together; null where no stall is looked for but by the settings' limit. */
    public StallCorrelator stalls() {
        return get(Key.STALL_FACTOR) > 0 ? new StallCorrelator(STALL_WINDOW, STALL_SHARE, STALL_STREAMS) : null;
    }

    /** What the file wishes for connections. */
    public ConnectionLimits.Wishes connections() {
        return new ConnectionLimits.Wishes((int) get(Key.CLIENTS_MOST), (int) get(Key.ACTIVE_MOST),
                (int) get(Key.CLIENTS_PER_ADDRESS), get(Key.ACCEPTS_PER_S), (int) get(Key.CONNECTIONS_MOST),
                (int) get(Key.CONNECTING_MOST), get(Key.CLIENT_IDLE_S), get(Key.CLIENT_MUTE_S));
    }
}
