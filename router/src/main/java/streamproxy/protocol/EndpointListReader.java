package streamproxy.protocol;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/**
 * Reads lists of endpoints from a stream of bytes, entry by entry as they come, so that a list of thousands takes the memory
 * of what it tells and of one entry's text. Entries that cannot be read, that are too long or too many are faults of the
 * list, and the others count; a list that is longer than it may be, or that is no JSON object, is {@link Json.Malformed}.
 */
public final class EndpointListReader {
    /** What a byte has brought. */
    public enum Progress {
        /** A list is not whole yet, or nothing but white space has come. */
        NOTHING,
        /** An empty line between lists. */
        EMPTY_LINE,
        /** The list is whole, and is taken with {@link #take}. */
        LIST
    }

    /** The longest list. */
    public static final int MOST_BYTES = 8 << 20;
    /** The longest entry. */
    static final int MOST_ENTRY_BYTES = 16 << 10;
    /** The most bytes besides the entries. */
    static final int MOST_OTHER_BYTES = 64 << 10;
    private static final String ENTRIES = "targets";

    private final boolean keepsText;
    private final ByteArrayOutputStream text = new ByteArrayOutputStream(); // of the whole list, where it is kept
    private final ByteArrayOutputStream other = new ByteArrayOutputStream(); // the list without its entries
    private final ByteArrayOutputStream entry = new ByteArrayOutputStream();
    private final StringBuilder member = new StringBuilder(); // the last string at the list's own level
    private EndpointList list = new EndpointList();
    private boolean entryTooLong;
    private boolean inEntries;
    private boolean lineHasList;
    private boolean inString;
    private boolean escaped;
    private int depth; // of objects and arrays
    private int bytes; // of the list, or of the white space before it

    /** @param keepsText whether the text of each list is kept for {@link #text} */
    public EndpointListReader(boolean keepsText) { this.keepsText = keepsText; }

    /** Takes the next byte. */
    public Progress next(byte b) {
        if (depth == 0) {
            return between(b);
        }
        count(b);
        if (inString) {
            string(b);
        } else if (b == '"') {
            inString = true;
            if (depth == 1) {
                member.setLength(0);
            }
            keep(b);
        } else if (b == '{' || b == '[') {
            open(b);
        } else if (b == '}' || b == ']') {
            return close(b);
        } else if (b == ',' && inEntries && depth == 2) {
            endEntry();
        } else {
            keep(b);
        }
        return Progress.NOTHING;
    }

    /** Whether a list has begun and is not whole. */
    public boolean isWithinList() { return depth > 0; }

    /** The list that is whole, once. */
    public EndpointEntry.News take() {
        Map<String, Object> fields = Json.object(Json.parse(other.toString(StandardCharsets.UTF_8)));
        other.reset();
        EndpointList whole = list;
        list = new EndpointList();
        if (!(fields.get(ENTRIES) instanceof List)) {
            throw new IllegalArgumentException("a list of endpoints without " + ENTRIES);
        }
        return whole.news(fields);
    }

    /** The text of the list that was taken last; empty where it is not kept. */
    public String text() {
        String all = text.toString(StandardCharsets.UTF_8);
        text.reset();
        return all;
    }

    private Progress between(byte b) {
        bytes++;
        if (bytes > MOST_OTHER_BYTES) {
            throw new Json.Malformed("a line without an end", bytes);
        }
        if (b == '\n') {
            bytes = 0;
            boolean empty = !lineHasList;
            lineHasList = false;
            return empty ? Progress.EMPTY_LINE : Progress.NOTHING;
        }
        if (b == ' ' || b == '\t' || b == '\r') {
            return Progress.NOTHING;
        }
        if (b != '{') {
            throw new Json.Malformed("a list of endpoints expected", bytes);
        }
        bytes = 0;
        text.reset();
        count(b);
        open(b);
        return Progress.NOTHING;
    }

    private void count(byte b) {
        bytes++;
        if (bytes > MOST_BYTES) {
            throw new Json.Malformed("the list is too long", bytes);
        }
        if (keepsText) {
            text.write(b);
        }
    }

    private void string(byte b) {
        boolean ends = b == '"' && !escaped;
        escaped = b == '\\' && !escaped;
        inString = !ends;
        if (depth == 1 && !ends) {
            member.append((char) (b & 0xff));
        }
        keep(b);
    }

    private void open(byte b) {
        depth++;
        if (b == '[' && depth == 2 && ENTRIES.contentEquals(member)) {
            inEntries = true;
            other.write('[');
        } else {
            keep(b);
        }
    }

    private Progress close(byte b) {
        depth--;
        if (inEntries && depth == 1) {
            endEntry();
            inEntries = false;
            other.write(']');
        } else {
            keep(b);
        }
        if (depth == 0) {
            bytes = 0;
            lineHasList = true;
            return Progress.LIST;
        }
        return Progress.NOTHING;
    }

    private void keep(byte b) {
        ByteArrayOutputStream to = inEntries ? entry : other;
        if (inEntries && to.size() == MOST_ENTRY_BYTES) {
            entryTooLong = true;
            return;
        }
        if (to.size() == MOST_OTHER_BYTES) {
            throw new Json.Malformed("the list has too much besides its " + ENTRIES, bytes);
        }
        to.write(b);
    }

    private void endEntry() {
        String one = entry.toString(StandardCharsets.UTF_8);
        entry.reset();
        if (entryTooLong) {
            list.addUnreadable("an entry of over " + MOST_ENTRY_BYTES + " bytes");
        } else if (!one.isBlank()) {
            parse(one);
        }
        entryTooLong = false;
    }

    private void parse(String one) {
        Object parsed;
        try {
            parsed = Json.parse(one);
        } catch (Json.Malformed e) {
            list.addUnreadable("an entry that is no JSON");
            return;
        }
        list.add(parsed);
    }
}
