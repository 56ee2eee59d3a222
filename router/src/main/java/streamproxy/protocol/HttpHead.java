package streamproxy.protocol;

import java.util.ArrayList;
import java.util.List;

/** The head of an HTTP/1.1 message: its first line, split at the spaces, and its header fields in order. */
public final class HttpHead {
    private final String[] start;
    private final List<String> names = new ArrayList<>();
    private final List<String> values = new ArrayList<>();

    HttpHead(String first, String second, String third) { start = new String[] {first, second, third}; }

    void add(String name, String value) {
        names.add(name);
        values.add(value);
    }

    public String method() { return start[0]; }

    public String target() { return start[1]; }

    /** The path without its query. */
    public String path() {
        int query = start[1].indexOf('?');
        return query < 0 ? start[1] : start[1].substring(0, query);
    }

    /** An answer's status code. */
    public int status() { return Integer.parseInt(start[1]); }

    /** The first value of a field, null where it is absent. */
    public String get(String name) {
        for (int i = 0; i < names.size(); i++) {
            if (names.get(i).equalsIgnoreCase(name)) {
                return values.get(i);
            }
        }
        return null;
    }

    /** How many fields it has. */
    int fields() { return names.size(); }

    int count(String name) { return (int) names.stream().filter(n -> n.equalsIgnoreCase(name)).count(); }

    public boolean chunked() {
        String coding = get("Transfer-Encoding");
        return coding != null && coding.equalsIgnoreCase("chunked");
    }

    /** Whether the connection ends with this message. */
    public boolean closes() {
        String connection = get("Connection");
        if (connection == null) {
            return start[0].equals("HTTP/1.0"); // an old box
        }
        for (String option : connection.split(",")) {
            if (option.strip().equalsIgnoreCase("close")) {
                return true;
            }
        }
        return false;
    }
}
