package streamproxy.protocol;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads JSON (RFC 8259) into maps, lists, strings, booleans, null and numbers; a number is kept as its text,
 * {@link Number}, so that 64-bit integers lose nothing.
 */
public final class Json {
    private static final int DEEPEST = 64;

    /** A number as it was written. */
    public record Number(String text) {
        public double value() { return Double.parseDouble(text); }

        @Override public String toString() { return text; }
    }

    /** The text is not JSON. */
    public static final class Malformed extends IllegalArgumentException {
        private static final long serialVersionUID = 1L;

        Malformed(String what, int at) { super("malformed JSON at character " + at + ": " + what); }
    }

    private final String text;
    private int at;

    private Json(String text) { this.text = text; }

    public static Object parse(String text) {
        Json json = new Json(text);
        Object value = json.value(0);
        json.space();
        if (json.at < text.length()) {
            throw json.bad("something follows the value");
        }
        return value;
    }

    /** Whether a text in UTF-8 is one JSON object and nothing else. */
    public static boolean isObject(byte[] utf8) {
        try {
            return parse(new String(utf8, StandardCharsets.UTF_8)) instanceof Map;
        } catch (Malformed e) {
            return false;
        }
    }

    /** The value as an object; empty where it is none. */
    @SuppressWarnings("unchecked")
    public static Map<String, Object> object(Object value) {
        return value instanceof Map ? (Map<String, Object>) value : Map.of();
    }

    @SuppressWarnings("unchecked")
    public static List<Object> list(Object value) {
        return value instanceof List ? (List<Object>) value : List.of();
    }

    public static String string(Object value, String otherwise) {
        return value instanceof String || value instanceof Number ? value.toString() : otherwise;
    }

    public static double number(Object value, double otherwise) {
        return value instanceof Number n ? n.value() : otherwise;
    }

    private Malformed bad(String what) { return new Malformed(what, at); }

    private void space() {
        while (at < text.length() && " \t\r\n".indexOf(text.charAt(at)) >= 0) {
            at++;
        }
    }

    private boolean take(char c) {
        space();
        boolean there = at < text.length() && text.charAt(at) == c;
        at += there ? 1 : 0;
        return there;
    }

    private void expect(char c) {
        if (!take(c)) {
            throw bad("'" + c + "' expected");
        }
    }

    private Object value(int depth) {
        if (depth > DEEPEST) {
            throw bad("nested too deep");
        }
        space();
        if (at >= text.length()) {
            throw bad("a value expected");
        }
        switch (text.charAt(at)) {
            case '{':
                return members(depth);
            case '[':
                return items(depth);
            case '"':
                return quoted();
            default:
                return bare();
        }
    }

    private Map<String, Object> members(int depth) {
        Map<String, Object> members = new LinkedHashMap<>();
        expect('{');
        if (take('}')) {
            return members;
        }
        do {
            space();
            String name = quoted();
            expect(':');
            members.put(name, value(depth + 1));
        } while (take(','));
        expect('}');
        return members;
    }

    private List<Object> items(int depth) {
        List<Object> items = new ArrayList<>();
        expect('[');
        if (take(']')) {
            return items;
        }
        do {
            items.add(value(depth + 1));
        } while (take(','));
        expect(']');
        return items;
    }

    private String quoted() {
        expect('"');
        StringBuilder out = new StringBuilder();
        while (at < text.length()) {
            char c = text.charAt(at++);
            if (c == '"') {
                return out.toString();
            }
            if (c < 0x20) {
                throw bad("a control character in a string");
            }
            out.append(c == '\\' ? escaped() : c);
        }
        throw bad("a string without its end");
    }

    private char escaped() {
        char c = at < text.length() ? text.charAt(at++) : ' ';
        int plain = "\"\\/bfnrt".indexOf(c);
        if (plain >= 0) {
            return "\"\\/\b\f\n\r\t".charAt(plain);
        }
        if (c != 'u' || at + 4 > text.length()) {
            throw bad("an unknown escape");
        }
        try {
            char code = (char) Integer.parseInt(text.substring(at, at + 4), 16);
            at += 4;
            return code;
        } catch (NumberFormatException e) {
            throw bad("an unknown escape");
        }
    }

    private Object bare() {
        int from = at;
        while (at < text.length() && ",]} \t\r\n".indexOf(text.charAt(at)) < 0) {
            at++;
        }
        String word = text.substring(from, at);
        switch (word) {
            case "true":
                return Boolean.TRUE;
            case "false":
                return Boolean.FALSE;
            case "null":
                return null;
            default:
                if (!word.matches("-?(0|[1-9]\\d*)(\\.\\d+)?([eE][-+]?\\d+)?")) {
                    throw bad("no value: " + word);
                }
                return new Number(word);
        }
    }
}
