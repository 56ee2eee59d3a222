package streamproxy.protocol;

import java.nio.charset.StandardCharsets;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import streamproxy.streams.StreamEventKind;

/**
 * What one event of a stream says: its lines are read as server-sent events have them, its data as the protocol page does.
 *
 * @param says       nothing for a comment
 * @param keptTokens the prompt tokens that the replica found kept, where the event tells them; else -1
 * @param loadReport the load report in a comment as it was written; null where there is none
 */
public record EventContent(Set<StreamEventKind> says, double keptTokens, String loadReport) {
    private static final String DATA = "data";
    private static final String EVENT = "event";
    private static final String ERROR = "error";
    private static final String DONE = "[DONE]";
    private static final String LOAD_REPORT = "Srv-Load:";
    private static final String FINISH_REASON = "\"finish_reason\"";
    private static final String OBJECT = "object";
    private static final String CHOICES = "choices";
    private static final String USAGE = "usage";
    private static final String DETAILS = "prompt_tokens_details";
    private static final String CACHED = "cached_tokens";
    /** The fields that are read; what else an event holds, such as a probability for each token, is left out. */
    private static final Set<String> FIELDS = Set.of(ERROR, OBJECT, CHOICES, "finish_reason", USAGE, DETAILS, CACHED);
    /** So many of their values are kept; an event with more tells nothing. */
    private static final int MOST_VALUES = 1_024;
    private static final int NOT_TOLD = -1;
    /** That of a comment, or of an event that is not whole yet. */
    static final EventContent NOTHING = new EventContent(Set.of(), NOT_TOLD, null);

    /** Whether it says nothing. */
    public boolean isComment() { return says.isEmpty(); }

    /** Whether it has some of the answer, if only its usage. */
    public boolean isData() { return !isComment() && !says.contains(StreamEventKind.DONE); }

    /** Reads the lines of an event. */
    public static EventContent of(byte[] event) {
        String text = new String(event, StandardCharsets.UTF_8);
        Lines lines = new Lines();
        for (int from = 0; from < text.length();) {
            int end = text.indexOf('\n', from);
            end = end < 0 ? text.length() : end;
            lines.take(text.substring(from, end > from && text.charAt(end - 1) == '\r' ? end - 1 : end));
            from = end + 1;
        }
        return lines.content();
    }

    /** The lines of one event, as they are taken together. */
    private static final class Lines {
        private String data; // null while there is none
        private String report;
        private boolean error;

        void take(String line) {
            int colon = line.indexOf(':');
            String name = colon < 0 ? line : line.substring(0, colon);
            String value = colon < 0 ? "" : line.substring(colon + 1).strip();
            if (colon == 0 && value.startsWith(LOAD_REPORT)) {
                report = value.substring(LOAD_REPORT.length());
            } else if (name.equals(DATA)) {
                data = data == null ? value : data + '\n' + value;
            } else if (name.equals(EVENT)) {
                error = value.equals(ERROR);
            }
        }

        EventContent content() {
            if (error) {
                return new EventContent(EnumSet.of(StreamEventKind.ERROR), NOT_TOLD, report);
            }
            return data == null ? new EventContent(Set.of(), NOT_TOLD, report) : ofData(data.strip(), report);
        }
    }

    private static EventContent ofData(String data, String report) {
        if (data.equals(DONE)) {
            return new EventContent(EnumSet.of(StreamEventKind.DONE), NOT_TOLD, report);
        }
        if (data.startsWith("{") && !data.endsWith("}")) {
            return new EventContent(EnumSet.of(StreamEventKind.UNCLOSED), NOT_TOLD, report);
        }
        Map<String, Object> fields = saysMore(data) ? fields(data) : Map.of();
        EnumSet<StreamEventKind> says = EnumSet.noneOf(StreamEventKind.class);
        if (fields.get(ERROR) != null || ERROR.equals(fields.get(OBJECT))) {
            says.add(StreamEventKind.ERROR);
        }
        if (hasReason(fields.get(CHOICES))) {
            says.add(StreamEventKind.FINISH);
        }
        Map<String, Object> usage = Json.object(fields.get(USAGE));
        if (!usage.isEmpty()) {
            says.add(StreamEventKind.USAGE);
        }
        if (says.isEmpty() || !Json.list(fields.get(CHOICES)).isEmpty()) {
            says.add(StreamEventKind.TEXT);
        }
        Map<String, Object> details = Json.object(usage.get(DETAILS));
        return new EventContent(says, Json.number(details.get(CACHED), NOT_TOLD), report);
    }

    /** Whether data may be more than text; most events are not, and need no reading. */
    private static boolean saysMore(String data) {
        if (data.contains("\"usage\"") || data.contains("\"error\"")) {
            return true;
        }
        for (int at = data.indexOf(FINISH_REASON); at >= 0; at = data.indexOf(FINISH_REASON, at + 1)) {
            int value = at + FINISH_REASON.length();
            while (value < data.length() && (data.charAt(value) == ':' || Character.isWhitespace(data.charAt(value)))) {
                value++;
            }
            if (!data.startsWith("null", value)) {
                return true;
            }
        }
        return false;
    }

    private static Map<String, Object> fields(String data) {
        try {
            return Json.object(Json.parseFields(data, FIELDS, MOST_VALUES));
        } catch (Json.Malformed e) {
            return Map.of(); // text in a form that is not the page's
        }
    }

    private static boolean hasReason(Object choices) {
        return choices instanceof List<?> list && list.stream().anyMatch(choice -> Json.object(choice).get("finish_reason") instanceof String);
    }
}
