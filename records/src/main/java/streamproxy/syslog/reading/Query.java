package streamproxy.syslog.reading;

import java.time.Instant;
import java.util.List;

/**
 * Which messages are wanted; what is null is not asked for.
 *
 * @param request the request's id
 * @param outcome how a request or an attempt ended
 * @param from    not before that time
 * @param to      before that time
 */
public record Query(String request, String clazz, String box, String outcome, String kind, Instant from, Instant to) {
    private static final String REQUEST = "request";
    private static final String ATTEMPT = "attempt";

    /** Whether the message is wanted. */
    public boolean wants(ParsedMessage found) {
        return is(kind, List.of(found.messageId()))
                && is(request, List.of(found.value(REQUEST, "id"), found.value(ATTEMPT, "id")))
                && is(clazz, List.of(found.value(REQUEST, "class")))
                && (is(box, List.of(found.value(REQUEST, "box"), found.value(ATTEMPT, "box"), found.value("box", "id")))
                        || found.values(REQUEST, "tried").stream().anyMatch(tried -> box.equals(word(tried, 1))))
                && is(outcome, List.of(found.value(REQUEST, "end"), found.value(ATTEMPT, "outcome")))
                && (from == null || found.time() != null && !found.time().isBefore(from))
                && (to == null || found.time() != null && found.time().isBefore(to));
    }

    private static boolean is(String wanted, List<String> values) { return wanted == null || values.contains(wanted); }

    /** The word at that place, or "". */
    static String word(String text, int at) {
        String[] words = text.split(" ");
        return at < words.length ? words[at] : "";
    }
}
