package streamproxy.protocol;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/** One model box as the box list tells of it; its endpoint is null where none was told. */
public record EndpointEntry(String uid, InetSocketAddress endpoint, String centre, String kind, int cell, String state,
        double weight, long bootMs) {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    /**
     * One version of the list, or what changed since the one before.
     *
     * @param boxes  what could be read, each box once
     * @param kept   uids of boxes that are named in a way that cannot be read: they stay as they were
     * @param faults what could not be read, one line each
     */
    public record News(long version, boolean full, List<EndpointEntry> boxes, List<String> kept, List<String> faults) {
        public News(long version, boolean full, List<EndpointEntry> boxes) { this(version, full, boxes, List.of(), List.of()); }
    }

    /** Whether new prompts may be sent there; a state unknown here gets nothing new, as one that drains. */
    public boolean isReady() { return state.equals("ready"); }

    public boolean isGone() { return state.equals("gone"); }

    /** The same number at every router, whatever endpoint it has there: owners are found by it. */
    public long id() { return id(uid); }

    public static long id(String uid) {
        long hash = FNV_OFFSET;
        for (byte b : uid.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ b & 0xff) * FNV_PRIME;
        }
        return hash;
    }

    /** Reads a list that was parsed as a whole; throws IllegalArgumentException where it is no list at all. */
    public static News news(Object json) {
        Map<String, Object> list = Json.object(json);
        if (!(list.get("targets") instanceof List)) {
            throw new IllegalArgumentException("a box list without targets");
        }
        EndpointList entries = new EndpointList();
        Json.list(list.get("targets")).forEach(entries::add);
        return entries.news(list);
    }
}
