package streamproxy.protocol;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Reads JSON (RFC 8259) into maps, lists, strings, booleans, null and numbers; a number is kept as its text,
 * {@link Number}, so that 64-bit integers lose nothing.
 *
 * <p>A value takes many times more memory than its text: an empty object of three bytes takes 60. So what a peer has sent is
 * only checked ({@link #isObject}), which takes no memory, or read with a bound on what is kept ({@link #parseFields}).
 */
public final class Json {
    private static final int DEEPEST = 64;
    private static final int HEX_DIGITS = 4;

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

    /** Each byte as one character: what gives a text its form is ASCII, and the bytes of all else only stand in strings. */
    private record Bytes(byte[] bytes) implements CharSequence {
        @Override public int length() { return bytes.length; }

        @Override public char charAt(int at) { return (char) (bytes[at] & 0xff); }

        @Override public CharSequence subSequence(int from, int to) { throw new UnsupportedOperationException(); }
    }

    private final CharSequence text;
    private final Set<String> wanted; // the names whose members are kept; null for all
    private int valuesLeft; // so many more may be kept
    private int at;

    private Json(CharSequence text, Set<String> wanted, int mostValues) {
        this.text = text;
        this.wanted = wanted;
        valuesLeft = mostValues;
    }

    /** Reads a text whole, however much memory that takes: for one's own files, and for texts that are bounded already. */
    public static Object parse(String text) { return new Json(text, null, Integer.MAX_VALUE).whole(true); }

    /**
     * Reads the members that have one of these names, at any depth, of a text that a peer has sent; the others are checked, and
     * left out. An object whose first member is left out has that one's name all the same, with null: it is not empty.
     *
     * @throws Malformed where the text is not JSON, or more values would be kept than that
     */
    public static Object parseFields(String text, Set<String> names, int mostValues) { return new Json(text, names, mostValues).whole(true); }

    /** Whether a text in UTF-8 is one JSON object and nothing else; nothing of it is kept meanwhile. */
    public static boolean isObject(byte[] utf8) {
        try {
            Json json = new Json(new Bytes(utf8), null, 0);
            json.whole(false);
            return json.startsWith('{');
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

    private Object whole(boolean keep) {
        Object value = value(0, keep);
        space();
        if (at < text.length()) {
            throw bad("something follows the value");
        }
        return value;
    }

    private boolean startsWith(char c) {
        at = 0;
        return take(c);
    }

    private boolean isAt(char c) { return at < text.length() && text.charAt(at) == c; }

    private void space() {
        while (at < text.length() && " \t\r\n".indexOf(text.charAt(at)) >= 0) {
            at++;
        }
    }

    private boolean take(char c) {
        space();
        boolean there = isAt(c);
        at += there ? 1 : 0;
        return there;
    }

    private void expect(char c) {
        if (!take(c)) {
            throw bad("'" + c + "' expected");
        }
    }

    /** Reads one value; null where it is not to be kept. */
    private Object value(int depth, boolean keep) {
        if (depth > DEEPEST) {
            throw bad("nested too deep");
        }
        if (keep && valuesLeft-- <= 0) {
            throw bad("too many values");
        }
        space();
        if (at >= text.length()) {
            throw bad("a value expected");
        }
        switch (text.charAt(at)) {
            case '{':
                return members(depth, keep);
            case '[':
                return items(depth, keep);
            case '"':
                return quoted(keep);
            default:
                return bare(keep);
        }
    }

    private Map<String, Object> members(int depth, boolean keep) {
        Map<String, Object> members = keep ? new LinkedHashMap<>() : null;
        expect('{');
        if (take('}')) {
            return members;
        }
        do {
            space();
            String name = quoted(keep);
            boolean keepMember = keep && (wanted == null || wanted.contains(name));
            expect(':');
            Object value = value(depth + 1, keepMember);
            if (keepMember || keep && members.isEmpty()) {
                members.put(name, value);
            }
        } while (take(','));
        expect('}');
        return members;
    }

    private List<Object> items(int depth, boolean keep) {
        List<Object> items = keep ? new ArrayList<>() : null;
        expect('[');
        if (take(']')) {
            return items;
        }
        do {
            Object value = value(depth + 1, keep);
            if (keep) {
                items.add(value);
            }
        } while (take(','));
        expect(']');
        return items;
    }

    private String quoted(boolean keep) {
        expect('"');
        StringBuilder out = keep ? new StringBuilder() : null;
        while (at < text.length()) {
            char c = text.charAt(at++);
            if (c == '"') {
                return keep ? out.toString() : null;
            }
            if (c < 0x20) {
                throw bad("a control character in a string");
            }
            char meant = c == '\\' ? escaped() : c;
            if (keep) {
                out.append(meant);
            }
        }
        throw bad("a string without its end");
    }

    private char escaped() {
        char c = at < text.length() ? text.charAt(at++) : ' ';
        int plain = "\"\\/bfnrt".indexOf(c);
        if (plain >= 0) {
            return "\"\\/\b\f\n\r\t".charAt(plain);
        }
        if (c != 'u' || at + HEX_DIGITS > text.length()) {
            throw bad("an unknown escape");
        }
        int code = 0;
        for (int end = at + HEX_DIGITS; at < end; at++) {
            char digit = text.charAt(at);
            int value = digit < 128 ? Character.digit(digit, 16) : -1;
            if (value < 0) {
                throw bad("an unknown escape");
            }
            code = code << 4 | value;
        }
        return (char) code;
    }

    private Object bare(boolean keep) {
        switch (text.charAt(at)) {
            case 't':
                return literal("true", Boolean.TRUE);
            case 'f':
                return literal("false", Boolean.FALSE);
            case 'n':
                return literal("null", null);
            default:
                int from = at;
                number();
                return keep ? new Number(text.subSequence(from, at).toString()) : null;
        }
    }

    private Object literal(String word, Object value) {
        for (int i = 0; i < word.length(); i++, at++) {
            if (!isAt(word.charAt(i))) {
                throw bad("no value");
            }
        }
        return value;
    }

    private void number() {
        at += isAt('-') ? 1 : 0;
        if (isAt('0')) {
            at++;
        } else {
            digits();
        }
        if (isAt('.')) {
            at++;
            digits();
        }
        if (isAt('e') || isAt('E')) {
            at++;
            at += isAt('+') || isAt('-') ? 1 : 0;
            digits();
        }
    }

    private void digits() {
        int from = at;
        while (at < text.length() && text.charAt(at) >= '0' && text.charAt(at) <= '9') {
            at++;
        }
        if (at == from) {
            throw bad("no value");
        }
    }
}
