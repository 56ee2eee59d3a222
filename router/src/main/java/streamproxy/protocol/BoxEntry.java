package streamproxy.protocol;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** One model box as the box list tells of it; its endpoint is null where none was told. */
public record BoxEntry(String uid, InetSocketAddress endpoint, String centre, String kind, int cell, String state,
        double weight, long bootMs) {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    /** One version of the list, or what changed since the one before. */
    public record News(long version, boolean full, List<BoxEntry> boxes) { }

    /** The same number at every router, whatever endpoint it has there: owners are found by it. */
    public long id() {
        long hash = FNV_OFFSET;
        for (byte b : uid.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ b & 0xff) * FNV_PRIME;
        }
        return hash;
    }

    /** Reads the list in discovery's form; throws IllegalArgumentException where it is malformed. */
    public static News news(Object json) {
        Map<String, Object> list = Json.object(json);
        if (!(list.get("targets") instanceof List)) {
            throw new IllegalArgumentException("a box list without targets");
        }
        List<BoxEntry> boxes = new ArrayList<>();
        for (Object item : Json.list(list.get("targets"))) {
            Map<String, Object> box = Json.object(item);
            String uid = Json.string(box.get("uid"), "");
            if (uid.isEmpty()) {
                throw new IllegalArgumentException("a box without a uid");
            }
            boolean placed = box.get("endpoint") instanceof String; // one that is gone may have none
            boxes.add(new BoxEntry(uid, placed ? NodeConfig.address((String) box.get("endpoint")) : null,
                    Json.string(box.get("az"), ""), Json.string(box.get("model"), ""),
                    (int) Json.number(box.get("pod_group"), 0), Json.string(box.get("state"), ""),
                    Json.number(box.get("capacity_hint"), 1), (long) Json.number(box.get("boot_ms"), 0)));
        }
        return new News((long) Json.number(list.get("rev"), 0), Boolean.TRUE.equals(list.get("all")), boxes);
    }
}
