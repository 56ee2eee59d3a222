package streamproxy.duties;

import java.util.ArrayDeque;
import java.util.List;

/**
 * What a list's service has told, as lines, for members that follow without asking the service: the last whole list and
 * the changes since. It is bounded; one that would need what is not there any more needs the whole list anew.
 * It has no clock and no thread; one thread at a time may use it.
 */
public final class ListLog {
    /** Beyond so many characters of changes the whole list is shorter to tell. */
    private static final int CHANGES_MOST = 128 * 1024;

    /** One line of the service's, with the version that it brings to. */
    public record Line(long version, boolean full, String text) { }

    private final ArrayDeque<Line> lines = new ArrayDeque<>();
    private boolean begun;
    private long base; // whoever has this version can be told what came after
    private long newest;
    private long changes; // characters

    /** Told by the service; changes only after {@link #begin}. One that goes back makes all that was told before void. */
    public void told(Line line) {
        if (line.full()) {
            begin(line.version());
            lines.add(line);
        } else if (begun && line.version() > newest) {
            lines.add(line);
            newest = line.version();
            changes += line.text().length();
            while (changes > CHANGES_MOST) {
                Line gone = lines.poll();
                changes -= gone.full() ? 0 : gone.text().length();
                base = Math.max(base, gone.version());
            }
        } else if (!begun || line.version() < newest) {
            forget();
        }
    }

    /** From that version on changes will be told: it is known here, and others who have it need no more. */
    public void begin(long version) {
        forget();
        begun = true;
        base = version;
        newest = version;
    }

    public void forget() {
        lines.clear();
        changes = 0;
        begun = false;
    }

    /** Whether anything is told from here. */
    public boolean begun() { return begun; }

    /** The last version told; only where it has begun. */
    public long newest() { return newest; }

    /** Whether there is a whole list, for those who have no version, or an older one than the changes go back to. */
    public boolean whole() { return begun && !lines.isEmpty() && lines.peek().full(); }

    /**
     * What one needs who has that version; negative for none. Null where the whole list would be needed and is not here.
     */
    public List<Line> since(long version) {
        if (begun && version >= base) {
            return lines.stream().filter(line -> line.version() > version).toList();
        }
        return whole() ? List.copyOf(lines) : null;
    }
}
