package streamproxy.program;

import java.io.IOException;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.tinylog.Logger;
import streamproxy.protocol.NodeConfig.Unusable;
import streamproxy.protocol.OperatorFile;
import streamproxy.records.Event;
import streamproxy.routing.Records;
import streamproxy.syslog.Syslog;

/** Where a router's records go, as its operator says: nowhere, to collectors, to standard error as JSON lines, or both. */
final class Recording {
    private final Syslog syslog; // null: no collectors
    private final JsonLog json; // null: no lines
    private final Records records;
    private final Consumer<Event> to;
    private final Map<String, Map<String, String>> set;

    private Recording(Syslog syslog, JsonLog json, Map<String, Map<String, String>> set) {
        this.syslog = syslog;
        this.json = json;
        this.set = set;
        to = syslog == null ? json : json == null ? syslog : syslog.andThen(json);
        records = to == null ? Records.NONE : new Records(to);
    }

    static Recording of(OperatorFile operator, long seed) throws Unusable, IOException {
        if (operator == OperatorFile.NONE) {
            return new Recording(null, null, Map.of()); // the platform's way: not even the classes are loaded
        }
        Optional<Syslog.Wishes> wishes = SyslogSettings.wishes(operator, seed);
        return new Recording(wishes.isEmpty() ? null : new Syslog(wishes.get()), SyslogSettings.json(operator) ? new JsonLog() : null,
                texts(operator));
    }

    private static Map<String, Map<String, String>> texts(OperatorFile operator) {
        Map<String, Map<String, String>> texts = new TreeMap<>();
        for (String name : operator.collectors()) {
            texts.put(name, operator.section(OperatorFile.collectorSection(name)));
        }
        texts.put("", operator.section("syslog") == null ? Map.of() : operator.section("syslog"));
        return texts;
    }

    Records records() { return records; }

    /** Where events go; null where nobody wants any. */
    Consumer<Event> to() { return to; }

    Syslog.Counts counts() { return syslog == null ? null : syslog.counts(); }

    void start() {
        if (syslog != null) {
            syslog.start();
        }
        if (json != null) {
            json.start();
        }
    }

    void phase(Lifecycle.Phase phase, Lifecycle.Phase after) {
        if (to != null) {
            to.accept(new Event.PhaseEntered(System.currentTimeMillis(), word(phase), word(after)));
        }
    }

    private static String word(Lifecycle.Phase phase) { return phase.name().toLowerCase(Locale.ROOT); }

    /** Whether a file that was read anew could be used; before anything of it takes effect. */
    static void check(OperatorFile operator) throws Unusable {
        if (operator != OperatorFile.NONE) {
            SyslogSettings.wishes(operator, 0);
        }
    }

    /** The operator's file was read anew: keys are, too; what else concerns records needs a restart, and that is said. */
    void reloaded(OperatorFile operator) {
        if (operator != OperatorFile.NONE && !texts(operator).equals(set)) {
            Logger.warn("reload: [syslog] and its collectors are as before until a restart; certificates and keys are read anew");
        }
        if (syslog != null) {
            syslog.rereadKeys();
        }
        if (to != null) {
            to.accept(new Event.Reloaded(System.currentTimeMillis(), ""));
        }
    }

    void refused(String why) {
        if (to != null) {
            to.accept(new Event.Reloaded(System.currentTimeMillis(), why));
        }
    }

    void close() throws InterruptedException {
        if (syslog != null) {
            syslog.close();
        }
        if (json != null) {
            json.close();
        }
    }
}
