package streamproxy.routing;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.tinylog.Logger;
import streamproxy.decision.Routing.Health;

/** The state transitions of endpoints that one answer of service discovery brings, for one line of the log. */
final class EndpointChanges {
    /** A line names so many endpoints of each state, and counts the others. */
    private static final int NAMED_MOST = 20;

    private final Map<Health, List<String>> changed = new EnumMap<>(Health.class);

    /** Notes that endpoint's state, unless it had that state before; {@code before} is null where it was unknown. */
    void note(String uid, Health before, Health after) {
        if (before != after) {
            changed.computeIfAbsent(after, state -> new ArrayList<>()).add(uid);
        }
    }

    /** Writes what was noted, if anything, as one line. */
    void log() {
        if (!changed.isEmpty()) {
            Logger.info("endpoints: {}", this);
        }
    }

    @Override public String toString() {
        List<String> parts = new ArrayList<>();
        changed.forEach((state, uids) -> parts.add(describe(state, uids)));
        return String.join("; ", parts);
    }

    private static String describe(Health state, List<String> uids) {
        String names = String.join(" ", uids.subList(0, Math.min(uids.size(), NAMED_MOST)));
        String rest = uids.size() > NAMED_MOST ? " and " + (uids.size() - NAMED_MOST) + " more" : "";
        return uids.size() + " " + state.name().toLowerCase(Locale.ROOT) + " (" + names + rest + ")";
    }
}
