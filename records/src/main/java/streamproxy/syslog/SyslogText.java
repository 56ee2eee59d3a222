package streamproxy.syslog;

import java.nio.charset.StandardCharsets;

/** What of a text may stand where in a message, RFC 5424 section 6. */
final class SyslogText {
    private static final char REPLACEMENT = '\uFFFD';

    private SyslogText() { }

    /** PRINTUSASCII: other characters become '?', the rest is cut; "-" (NILVALUE) where nothing is left. */
    static String header(String text, int most) {
        StringBuilder clean = new StringBuilder(Math.min(most, text.length()));
        for (int i = 0; i < text.length() && clean.length() < most; i++) {
            char c = text.charAt(i);
            clean.append(c > ' ' && c < 127 ? c : '?');
        }
        return clean.length() == 0 ? "-" : clean.toString();
    }

    /** SD-NAME: as a header's field, and without '=', ']' and '"'. */
    static String name(String text) { return header(text.replace('=', '?').replace(']', '?').replace('"', '?'), 32); }

    /**
     * Text in which each character may be written as UTF-8 and none ends a line: control characters, U+2028, U+2029 and
     * lone surrogates become U+FFFD.
     */
    static String text(String text) {
        int i = 0;
        while (i < text.length() && isPlain(text.charAt(i))) {
            i++;
        }
        if (i == text.length()) {
            return text;
        }
        StringBuilder clean = new StringBuilder(text.length()).append(text, 0, i);
        for (; i < text.length(); i++) {
            char c = text.charAt(i);
            if (Character.isHighSurrogate(c) && i + 1 < text.length() && Character.isLowSurrogate(text.charAt(i + 1))) {
                clean.append(c).append(text.charAt(++i));
            } else {
                clean.append(isPlain(c) ? c : REPLACEMENT);
            }
        }
        return clean.toString();
    }

    private static boolean isPlain(char c) {
        return c >= ' ' && !(c >= 0x7f && c < 0xa0) && c != 0x2028 && c != 0x2029 && !Character.isSurrogate(c);
    }

    /** PARAM-VALUE with its escapes (6.3.3), of a text that is clean. */
    static String escaped(String clean) {
        if (clean.indexOf('"') < 0 && clean.indexOf('\\') < 0 && clean.indexOf(']') < 0) {
            return clean;
        }
        StringBuilder escaped = new StringBuilder(clean.length() + 8);
        for (int i = 0; i < clean.length(); i++) {
            char c = clean.charAt(i);
            if (c == '"' || c == '\\' || c == ']') {
                escaped.append('\\');
            }
            escaped.append(c);
        }
        return escaped.toString();
    }

    /** The longest beginning of a clean text that takes at most so many bytes once it is escaped; whole characters only. */
    static String within(String clean, int bytes) {
        int taken = 0;
        int i = 0;
        while (i < clean.length()) {
            int point = clean.codePointAt(i);
            int size = point == '"' || point == '\\' || point == ']' ? 2 : size(point);
            if (taken + size > bytes) {
                break;
            }
            taken += size;
            i += Character.charCount(point);
        }
        return clean.substring(0, i);
    }

    private static int size(int point) { return point < 0x80 ? 1 : point < 0x800 ? 2 : point < 0x10000 ? 3 : 4; }

    /** Bytes of a text as UTF-8. */
    static int size(String text) {
        int size = 0;
        for (int i = 0; i < text.length();) {
            int point = text.codePointAt(i);
            size += size(point);
            i += Character.charCount(point);
        }
        return size;
    }

    static byte[] bytes(String text) { return text.getBytes(StandardCharsets.UTF_8); }
}
