package streamproxy.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import streamproxy.decision.Routing;
import streamproxy.streams.StreamLimits;

/** The classes that clients may name in {@code Req-Kind}, as the settings in force have them; SIGHUP may bring others. */
public final class Classes {
    /**
     * One class. A request looks its own up once, when its head is read, and keeps it.
     *
     * @param streams what a stream of it may do
     */
    public record Served(Routing.RequestClass clazz, StreamLimits streams) { }

    private final Map<String, Served> byName = new HashMap<>();

    /** @param streams what a stream of each may do, in the same order */
    public Classes(List<Routing.RequestClass> classes, List<StreamLimits> streams) {
        if (classes.size() != streams.size()) {
            throw new IllegalArgumentException(classes.size() + " classes, " + streams.size() + " limits of streams");
        }
        for (int i = 0; i < classes.size(); i++) {
            byName.putIfAbsent(classes.get(i).name(), new Served(classes.get(i), streams.get(i)));
        }
    }

    /** The class of that name; null where there is none. */
    Served named(String name) { return byName.get(name); }
}
