package streamproxy.syslog.reading;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A message as it was read.
 *
 * @param time    null where the message has none (NILVALUE)
 * @param message the text behind the elements, its byte order mark taken off
 */
public record ParsedMessage(int facility, int severity, Instant time, String host, String app, String processId, String messageId,
        List<Element> elements, String message) {
    public ParsedMessage { elements = List.copyOf(elements); }

    /** One SD-ELEMENT, its params in their order. */
    public record Element(String id, List<Param> params) {
        public Element { params = List.copyOf(params); }

        /** The name without the enterprise number. */
        public String name() { return id.contains("@") ? id.substring(0, id.indexOf('@')) : id; }
    }

    /** One SD-PARAM, its escapes resolved. */
    public record Param(String name, String value) { }

    /** The element of that name, whoever's number it has. */
    public Optional<Element> element(String name) { return elements.stream().filter(e -> e.name().equals(name)).findFirst(); }

    /** The first value of a param, or "" where there is none. */
    public String value(String element, String param) {
        List<String> values = values(element, param);
        return values.isEmpty() ? "" : values.get(0);
    }

    /** All values of a param that may stand several times. */
    public List<String> values(String element, String param) {
        List<String> values = new ArrayList<>();
        element(element).ifPresent(e -> e.params().stream().filter(p -> p.name().equals(param)).forEach(p -> values.add(p.value())));
        return values;
    }
}
