package streamproxy.dispatch;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.Collectors;

/** Counts what happens, by one of a few kinds. Any thread may count and read. */
public final class EnumCounters<E extends Enum<E>> {
    private final Map<E, LongAdder> counts;

    public EnumCounters(Class<E> kinds) {
        counts = new EnumMap<>(kinds);
        for (E kind : kinds.getEnumConstants()) {
            counts.put(kind, new LongAdder());
        }
    }

    public void count(E kind) { counts.get(kind).increment(); }

    /** How often that kind was counted so far. */
    public long of(E kind) { return counts.get(kind).sum(); }

    /** How often any kind was counted so far. */
    public long total() { return counts.values().stream().mapToLong(LongAdder::sum).sum(); }

    /** The kinds that were counted and how often, such as {@code idle_ended 3, drained 1}; empty where none was. */
    @Override public String toString() {
        return counts.entrySet().stream().filter(entry -> entry.getValue().sum() > 0)
                .map(entry -> entry.getKey().name().toLowerCase(Locale.ROOT) + " " + entry.getValue().sum()).collect(Collectors.joining(", "));
    }
}
