package streamproxy.records;

import java.util.List;

/**
 * An event in words: elements with params, and a sentence. Both shapes, syslog's and JSON's, are made of it.
 *
 * @param severity syslog's, RFC 5424 6.2.1
 * @param elements each with a name of its own
 */
public record EventText(long atMs, Event.Kind kind, int severity, List<Element> elements, String sentence) {
    public static final int ERROR = 3;
    public static final int WARNING = 4;
    public static final int NOTICE = 5;
    public static final int INFO = 6;

    public EventText { elements = List.copyOf(elements); }

    /** Params of one subject. {@code own} names stand under the installation's enterprise number, others are registered. */
    public record Element(String name, boolean own, List<Param> params) {
        public Element { params = List.copyOf(params); }
    }

    /** One name with its value; the higher {@code worth}, the later it is cut; {@link #ID} never is, but shortened. */
    public record Param(String name, String value, int worth) {
        public static final int ID = 9;
    }
}
