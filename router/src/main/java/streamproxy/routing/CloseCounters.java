package streamproxy.routing;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.Collectors;

/** Counts the connections of clients that ended, by reason. Any thread may count and read. */
final class CloseCounters {
    private final Map<CloseReason, LongAdder> counts = new EnumMap<>(CloseReason.class);

    CloseCounters() {
        for (CloseReason reason : CloseReason.values()) {
            counts.put(reason, new LongAdder());
        }
    }

    void count(CloseReason reason) { counts.get(reason).increment(); }

    long of(CloseReason reason) { return counts.get(reason).sum(); }

    /** The reasons that were met and how often, such as {@code idle_ended 3, drained 1}. */
    @Override public String toString() {
        return counts.entrySet().stream().filter(entry -> entry.getValue().sum() > 0)
                .map(entry -> entry.getKey().word() + " " + entry.getValue().sum()).collect(Collectors.joining(", "));
    }
}
