package streamproxy.syslog.reading;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.time.DateTimeException;
import java.time.Instant;
import java.time.LocalDateTime;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Reads one message by the grammar of RFC 5424 section 6 and refuses whatever that does not allow. */
public final class StrictParser {
    private static final int MOST_HOST = 255;
    private static final int MOST_APP = 48;
    private static final int MOST_PROCESS = 128;
    private static final int MOST_MESSAGE_ID = 32;
    private static final int MOST_NAME = 32;
    private static final int MOST_PRIORITY = 191;

    private final byte[] in;
    private int at;

    private StrictParser(byte[] in) { this.in = in; }

    /** Reads a message without its frame. */
    public static ParsedMessage parse(byte[] message) throws Malformed { return new StrictParser(message).message(); }

    private Malformed wrong(String why) { return new Malformed(at + 1, why); }

    private int peek() { return at < in.length ? in[at] & 0xff : -1; }

    private void expect(char c, String what) throws Malformed {
        if (peek() != c) {
            throw wrong(what + " wanted");
        }
        at++;
    }

    private ParsedMessage message() throws Malformed {
        expect('<', "'<'");
        int from = at;
        int priority = number(3);
        if (priority > MOST_PRIORITY || at - from > 1 && in[from] == '0') {
            at = from;
            throw wrong("a priority is 0 to 191, without zeros ahead");
        }
        expect('>', "'>'");
        from = at;
        int version = number(3);
        if (version != 1) {
            at = from;
            throw wrong("version 1 wanted");
        }
        space();
        Instant time = time();
        space();
        String host = field(MOST_HOST, "a host name");
        space();
        String app = field(MOST_APP, "an application's name");
        space();
        String process = field(MOST_PROCESS, "a process id");
        space();
        String id = field(MOST_MESSAGE_ID, "a message id");
        space();
        List<ParsedMessage.Element> elements = elements();
        String text = "";
        if (at < in.length) {
            space();
            text = text();
        }
        return new ParsedMessage(priority / 8, priority % 8, time, host, app, process, id, elements, text);
    }

    private void space() throws Malformed { expect(' ', "a blank"); }

    private int number(int mostDigits) throws Malformed {
        int from = at;
        int value = 0;
        while (peek() >= '0' && peek() <= '9' && at - from < mostDigits) {
            value = 10 * value + peek() - '0';
            at++;
        }
        if (at == from) {
            throw wrong("a digit wanted");
        }
        return value;
    }

    private int digits(int count) throws Malformed {
        int from = at;
        int value = number(count);
        if (at - from != count) {
            throw wrong(count + " digits wanted");
        }
        return value;
    }

    private String field(int most, String what) throws Malformed {
        int from = at;
        while (peek() > ' ' && peek() < 127) {
            at++;
        }
        if (at == from) {
            throw wrong(what + " wanted");
        }
        if (at - from > most) {
            at = from + most;
            throw wrong(what + " has at most " + most + " characters");
        }
        String field = new String(in, from, at - from, StandardCharsets.US_ASCII);
        return field.equals("-") ? "" : field;
    }

    private Instant time() throws Malformed {
        if (peek() == '-') {
            at++;
            return null;
        }
        int from = at;
        int year = digits(4);
        expect('-', "'-'");
        int month = digits(2);
        expect('-', "'-'");
        int day = digits(2);
        expect('T', "'T'");
        int hour = digits(2);
        expect(':', "':'");
        int minute = digits(2);
        expect(':', "':'");
        int second = digits(2);
        int nanos = 0;
        if (peek() == '.') {
            at++;
            int fraction = at;
            int micros = number(6);
            for (int digits = at - fraction; digits < 6; digits++) {
                micros *= 10;
            }
            nanos = micros * 1000;
        }
        int offset = offset();
        try {
            return LocalDateTime.of(year, month, day, hour, minute, second, nanos).toInstant(ZoneOffset.ofTotalSeconds(offset * 60));
        } catch (DateTimeException e) {
            at = from;
            throw wrong("no such time");
        }
    }

    /** Minutes east of Greenwich. */
    private int offset() throws Malformed {
        int sign = peek();
        if (sign == 'Z') {
            at++;
            return 0;
        }
        if (sign != '+' && sign != '-') {
            throw wrong("'Z', '+' or '-' wanted");
        }
        at++;
        int hours = digits(2);
        expect(':', "':'");
        int minutes = digits(2);
        if (hours > 23 || minutes > 59) {
            throw wrong("no such offset");
        }
        return (sign == '-' ? -1 : 1) * (60 * hours + minutes);
    }

    private List<ParsedMessage.Element> elements() throws Malformed {
        List<ParsedMessage.Element> elements = new ArrayList<>();
        if (peek() == '-') {
            at++;
            return elements;
        }
        if (peek() != '[') {
            throw wrong("'[' or '-' wanted");
        }
        Set<String> ids = new HashSet<>();
        while (peek() == '[') {
            at++;
            int from = at;
            String id = name();
            if (!ids.add(id)) {
                at = from;
                throw wrong("an element of that name stands before");
            }
            List<ParsedMessage.Param> params = new ArrayList<>();
            while (peek() == ' ') {
                at++;
                String name = name();
                expect('=', "'='");
                expect('"', "'\"'");
                params.add(new ParsedMessage.Param(name, value()));
            }
            expect(']', "a blank or ']'");
            elements.add(new ParsedMessage.Element(id, params));
        }
        return elements;
    }

    private String name() throws Malformed {
        int from = at;
        while (peek() > ' ' && peek() < 127 && peek() != '=' && peek() != ']' && peek() != '"') {
            at++;
        }
        if (at == from) {
            throw wrong("a name wanted");
        }
        if (at - from > MOST_NAME) {
            at = from + MOST_NAME;
            throw wrong("a name has at most " + MOST_NAME + " characters");
        }
        return new String(in, from, at - from, StandardCharsets.US_ASCII);
    }

    /** RFC 5424 6.3.3: quotes, backslashes and closing brackets are escaped; another escape stands for itself. */
    private String value() throws Malformed {
        int from = at;
        byte[] value = new byte[in.length - at];
        int size = 0;
        while (peek() != '"') {
            int c = peek();
            if (c < 0) {
                throw wrong("'\"' wanted");
            }
            if (c == ']') {
                throw wrong("']' must be escaped");
            }
            if (c == '\\' && at + 1 < in.length && (in[at + 1] == '"' || in[at + 1] == '\\' || in[at + 1] == ']')) {
                at++;
            }
            value[size++] = in[at++];
        }
        at++;
        return utf8(value, 0, size, from);
    }

    private String text() throws Malformed {
        int from = at;
        if (in.length - at >= 3 && in[at] == (byte) 0xEF && in[at + 1] == (byte) 0xBB && in[at + 2] == (byte) 0xBF) {
            at = in.length;
            return utf8(in, from + 3, in.length - from - 3, from);
        }
        at = in.length;
        return new String(in, from, in.length - from, StandardCharsets.ISO_8859_1); // MSG-ANY: whatever it is
    }

    private String utf8(byte[] bytes, int start, int length, int from) throws Malformed {
        try {
            return StandardCharsets.UTF_8.newDecoder().onMalformedInput(CodingErrorAction.REPORT)
                    .onUnmappableCharacter(CodingErrorAction.REPORT).decode(ByteBuffer.wrap(bytes, start, length)).toString();
        } catch (CharacterCodingException e) {
            at = from;
            throw wrong("not UTF-8");
        }
    }
}
