package streamproxy.routing;

import java.util.List;
import streamproxy.streams.StreamLimits;

/**
 * The classes that clients may name, as the settings in force have them; SIGHUP may bring others.
 *
 * @param names   as clients name them in {@code Req-Kind}
 * @param streams what a stream of each may do, in the same order
 */
public record Classes(List<String> names, List<StreamLimits> streams) {
    public Classes {
        names = List.copyOf(names);
        streams = List.copyOf(streams);
        if (names.size() != streams.size()) {
            throw new IllegalArgumentException(names.size() + " classes, " + streams.size() + " limits of streams");
        }
    }
}
