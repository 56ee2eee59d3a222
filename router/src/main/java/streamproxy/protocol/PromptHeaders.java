package streamproxy.protocol;

import java.util.HashMap;
import java.util.Map;
import java.util.regex.Pattern;

/** The {@code Req-} header fields of a client's request. A key or prefix of 0 means that there is none. */
public record PromptHeaders(String id, String clazz, String tenant, long key, long deadlineNs, long prefix,
        double promptTokens, double prefixTokens, double mostTokens, boolean clientRetry) {
    private static final double SECOND = 1e9;
    private static final Pattern DECIMAL = Pattern.compile("\\d{1,12}(\\.\\d{0,12})?");

    public static PromptHeaders read(HttpHead head) throws BadMessage {
        String id = need(head, "Req-Id");
        if (id.length() > 128 || id.chars().anyMatch(c -> c <= ' ' || c >= 127)) {
            throw new BadMessage(400, "Req-Id cannot be passed on");
        }
        double deadline = number("Req-Deadline", need(head, "Req-Deadline"));
        Map<String, String> extra = new HashMap<>();
        for (String pair : need(head, "Req-Extra").split(",")) {
            int eq = pair.indexOf('=');
            if (eq <= 0) {
                throw new BadMessage(400, "Req-Extra is malformed");
            }
            extra.put(pair.substring(0, eq).strip(), pair.substring(eq + 1).strip());
        }
        String tenant = head.get("Req-Owner");
        return new PromptHeaders(id, need(head, "Req-Kind"), tenant == null ? "" : tenant,
                key("Req-Key", need(head, "Req-Key")), (long) (Math.min(deadline, 86_400) * SECOND),
                extra.containsKey("prefix") ? key("prefix", extra.get("prefix")) : 0,
                number("prompt_len", extra.get("prompt_len")), number("prefix_len", extra.getOrDefault("prefix_len", "0")),
                number("max_out", extra.getOrDefault("max_out", "0")), "1".equals(head.get("Req-Retry")));
    }

    private static String need(HttpHead head, String name) throws BadMessage {
        String value = head.get(name);
        if (value == null || value.isEmpty()) {
            throw new BadMessage(400, name + " is missing");
        }
        if (head.count(name) > 1) {
            throw new BadMessage(400, name + " is given twice"); // a replica would be sent what its client may not have meant
        }
        return value;
    }

    private static double number(String name, String text) throws BadMessage {
        // Double.parseDouble alone would also take hexadecimal numbers, a trailing d, and words.
        if (text != null && DECIMAL.matcher(text).matches()) {
            return Double.parseDouble(text);
        }
        throw new BadMessage(400, name + " is missing or no number");
    }

    private static long key(String name, String text) throws BadMessage {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw new BadMessage(400, name + " is not hexadecimal");
        }
    }
}
