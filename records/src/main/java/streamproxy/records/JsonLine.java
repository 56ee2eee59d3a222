package streamproxy.records;

import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.StringJoiner;

/** A record as one line of JSON (RFC 8259): {@code time}, {@code kind}, {@code severity}, then its params by name. */
public final class JsonLine {
    private JsonLine() { }

    /** The line without its end. A name that a record has several times becomes an array. */
    public static String of(EventText told) {
        StringBuilder line = new StringBuilder(256).append("{\"time\":");
        string(line, Instant.ofEpochMilli(told.atMs()).toString());
        line.append(",\"kind\":");
        string(line, told.kind().word());
        line.append(",\"severity\":").append(told.severity());
        for (EventText.Element element : told.elements()) {
            Map<String, StringJoiner> values = new LinkedHashMap<>();
            Map<String, Integer> counts = new LinkedHashMap<>();
            for (EventText.Param param : element.params()) {
                values.computeIfAbsent(param.name(), n -> new StringJoiner(",")).add(quoted(param.value()));
                counts.merge(param.name(), 1, Integer::sum);
            }
            values.forEach((name, value) -> {
                line.append(',');
                string(line, name);
                boolean several = counts.get(name) > 1 || name.equals(Names.REQUEST_TRIED.word());
                line.append(':').append(several ? "[" + value + "]" : value.toString());
            });
        }
        line.append(",\"text\":");
        string(line, told.sentence());
        return line.append('}').toString();
    }

    /** A text as a JSON string, quotes included; control characters and lone surrogates as {@code \\u} escapes. */
    public static String quoted(String text) {
        StringBuilder to = new StringBuilder(text.length() + 2);
        string(to, text);
        return to.toString();
    }

    private static void string(StringBuilder to, String text) {
        to.append('"');
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            boolean pair = Character.isHighSurrogate(c) && i + 1 < text.length() && Character.isLowSurrogate(text.charAt(i + 1));
            if (c == '"' || c == '\\') {
                to.append('\\').append(c);
            } else if (c < ' ' || c >= 0x7f && c < 0xa0 || c == 0x2028 || c == 0x2029 || Character.isSurrogate(c) && !pair) {
                to.append("\\u").append(Character.forDigit(c >> 12, 16)).append(Character.forDigit(c >> 8 & 15, 16))
                        .append(Character.forDigit(c >> 4 & 15, 16)).append(Character.forDigit(c & 15, 16));
            } else {
                to.append(c);
                if (pair) {
                    to.append(text.charAt(++i));
                }
            }
        }
        to.append('"');
    }
}
