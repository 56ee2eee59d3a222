package streamproxy.syslog;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import streamproxy.records.EventText;

/**
 * Makes RFC 5424 messages of records. The header and its limits are section 6.2's, elements section 6.3's, the
 * registered ones section 7's.
 *
 * <p>A message over its collector's limit is cut by this rule: the sentence (MSG) first, at a character; then the
 * params worth least, the last of equals first, each as a whole; then the ids are shortened, at a character. What was
 * cut is said by a param {@code truncated} in the first element: {@code msg}, or {@code msg N} with N params.
 */
public final class Message {
    /** The least limit that a collector may have: RFC 5424 6.1 has every receiver take so much. */
    public static final int LEAST = 480;
    /** The enterprise number that RFC 5612 keeps for documentation. */
    public static final int DOCUMENTATION = 32473;

    /**
     * What all messages of a program have in common.
     *
     * @param facility   syslog's, RFC 5424 6.2.1: 0 to 23
     * @param enterprise the private enterprise number of the installation, for the names of its own elements
     * @param isSynced   whether the machine's clock is set from outside, as the operator says
     * @param startedMs  when the program started, milliseconds since 1970
     */
    public record Origin(int facility, String host, String app, long processId, String version, int enterprise, boolean isSynced,
            long startedMs) { }

    private static final int HOST = 255;
    private static final int APP = 48;
    private static final String BOM = "\uFEFF";
    private static final int BOM_BYTES = 3;
    private static final int HUNDREDTH_MS = 10;

    /** A param that is to be written, or is left out. */
    private static final class Piece {
        final int element;
        final EventText.Param param;
        String value;
        boolean out;

        Piece(int element, EventText.Param param) {
            this.element = element;
            this.param = param;
            value = SyslogText.text(param.value());
        }

        int size() { return 4 + SyslogText.size(SyslogText.name(param.name())) + SyslogText.size(SyslogText.escaped(value)); } // ' name="value"'
    }

    private final Origin origin;
    private final String after; // host, app and process, each with a blank ahead
    private final EventText.Element originElement;

    public Message(Origin origin) {
        this.origin = origin;
        after = " " + SyslogText.header(origin.host, HOST) + " " + SyslogText.header(origin.app, APP) + " " + origin.processId + " ";
        originElement = new EventText.Element("origin", false, List.of(new EventText.Param("software", "streamproxy", 2),
                new EventText.Param("swVersion", origin.version, 1)));
    }

    /** The message without a frame, of at most so many bytes. */
    public byte[] of(EventText told, int sequence, int most) {
        List<EventText.Element> elements = new ArrayList<>(told.elements());
        elements.add(new EventText.Element("meta", false, List.of(new EventText.Param("sequenceId", String.valueOf(sequence), 8),
                new EventText.Param("sysUpTime", String.valueOf(Math.max(0, told.atMs() - origin.startedMs) / HUNDREDTH_MS), 1))));
        elements.add(originElement);
        elements.add(new EventText.Element("timeQuality", false, List.of(new EventText.Param("tzKnown", "1", 0),
                new EventText.Param("isSynced", origin.isSynced ? "1" : "0", 0))));
        String header = "<" + (origin.facility * 8 + told.severity()) + ">1 " + Instant.ofEpochMilli(told.atMs()) + after
                + SyslogText.header(told.kind().word(), 32) + " ";
        List<Piece> pieces = new ArrayList<>();
        for (int i = 0; i < elements.size(); i++) {
            for (EventText.Param param : elements.get(i).params()) {
                pieces.add(new Piece(i, param));
            }
        }
        String sentence = SyslogText.text(told.sentence());
        int room = Math.max(LEAST, most) - header.length();
        int rest = room - size(elements, pieces) - 1 - BOM_BYTES;
        String truncated = "";
        if (SyslogText.size(sentence) > rest) {
            truncated = "msg";
            sentence = fitting(sentence, rest - truncatedSize(truncated));
            if (rest < truncatedSize(truncated)) {
                truncated = cut(elements, pieces, room);
            }
        }
        StringBuilder message = new StringBuilder(header);
        write(elements, pieces, truncated, message);
        if (!sentence.isEmpty()) {
            message.append(' ').append(BOM).append(sentence);
        }
        return SyslogText.bytes(message.toString());
    }

    private static String fitting(String clean, int bytes) {
        int end = clean.length();
        while (end > 0 && (SyslogText.size(clean.substring(0, end)) > bytes
                || end < clean.length() && Character.isLowSurrogate(clean.charAt(end)))) {
            end--;
        }
        return clean.substring(0, end);
    }

    private static int truncatedSize(String truncated) { return " truncated=\"\"".length() + truncated.length(); }

    /** Leaves out params until the rest fits, then shortens what may not be left out; says what it did. */
    private String cut(List<EventText.Element> elements, List<Piece> pieces, int room) {
        List<Piece> order = new ArrayList<>(pieces);
        java.util.Collections.reverse(order); // the last of equals first: the sort is stable
        order.sort(Comparator.comparingInt(piece -> piece.param.worth()));
        int out = 0;
        String truncated = "msg";
        for (Piece piece : order) {
            if (size(elements, pieces) + truncatedSize(truncated) <= room || piece.param.worth() >= EventText.Param.ID) {
                break;
            }
            piece.out = true;
            truncated = "msg " + ++out;
        }
        int over = size(elements, pieces) + truncatedSize(truncated) - room;
        for (Piece piece : pieces) {
            if (over > 0 && !piece.out) {
                int before = piece.size();
                piece.value = SyslogText.within(piece.value, Math.max(0, SyslogText.size(SyslogText.escaped(piece.value)) - over));
                over -= before - piece.size();
            }
        }
        return truncated;
    }

    private String id(EventText.Element element) {
        return element.own() ? SyslogText.name(element.name() + "@" + origin.enterprise) : element.name();
    }

    private int size(List<EventText.Element> elements, List<Piece> pieces) {
        int size = 0;
        for (int i = 0; i < elements.size(); i++) {
            boolean stands = i == 0;
            for (Piece piece : pieces) {
                if (piece.element == i && !piece.out) {
                    size += piece.size();
                    stands = true;
                }
            }
            size += stands ? 2 + id(elements.get(i)).length() : 0;
        }
        return size;
    }

    private void write(List<EventText.Element> elements, List<Piece> pieces, String truncated, StringBuilder to) {
        for (int i = 0; i < elements.size(); i++) {
            int at = i;
            if (i > 0 && pieces.stream().noneMatch(piece -> piece.element == at && !piece.out)) {
                continue;
            }
            to.append('[').append(id(elements.get(i)));
            for (Piece piece : pieces) {
                if (piece.element == i && !piece.out) {
                    to.append(' ').append(SyslogText.name(piece.param.name())).append("=\"").append(SyslogText.escaped(piece.value)).append('"');
                }
            }
            if (i == 0 && !truncated.isEmpty()) {
                to.append(" truncated=\"").append(truncated).append('"');
            }
            to.append(']');
        }
    }
}
