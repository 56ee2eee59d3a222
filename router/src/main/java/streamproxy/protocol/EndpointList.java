package streamproxy.protocol;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Gathers the entries of one list of endpoints. An entry that cannot be read costs no more than itself: an endpoint told
 * draining or gone is, whatever else is wrong with its entry, and of two entries for one endpoint the one that is not ready
 * counts. A list with an entry that names no endpoint at all, or with more than are taken, is not whole: what it leaves out
 * may be what that one stood for, so it is taken for changes.
 */
final class EndpointList {
    /** So many entries of one list are taken. */
    static final int MOST_ENTRIES = 10_000;
    /** So many faults of one list are told one by one. */
    private static final int MOST_FAULTS = 100;
    private static final Set<String> STATES = Set.of("ready", "draining", "gone");

    private final Map<String, EndpointEntry> entries = new LinkedHashMap<>();
    private final Set<String> kept = new LinkedHashSet<>();
    private final List<String> faults = new ArrayList<>();
    private final Map<String, String> texts = new HashMap<>(); // one copy of what most entries say alike
    private boolean whole = true;

    /** Takes the next entry, as parsed JSON. */
    void add(Object item) {
        Map<String, Object> fields = Json.object(item);
        String uid = Json.string(fields.get("uid"), "");
        if (uid.isEmpty()) {
            addUnreadable("an entry without a uid");
            return;
        }
        if (entries.size() + kept.size() >= MOST_ENTRIES) {
            addUnreadable("more than " + MOST_ENTRIES + " entries, of which the others are left out");
            return;
        }
        EndpointEntry entry = entry(uid, fields);
        if (entry == null) {
            kept.add(uid);
        } else if (entries.containsKey(uid)) {
            fault(uid + " stands there twice");
            entries.merge(uid, entry, (one, other) -> one.isReady() ? other : one);
        } else {
            entries.put(uid, entry);
        }
    }

    /** An entry that names no endpoint: the list is not whole. */
    void addUnreadable(String why) {
        whole = false;
        fault(why);
    }

    private void fault(String what) {
        if (faults.size() < MOST_FAULTS && !faults.contains(what)) {
            faults.add(what);
        }
    }

    /** What the list tells, with the fields that it has besides its entries. */
    EndpointEntry.News news(Map<String, Object> list) {
        kept.removeAll(entries.keySet());
        boolean full = whole && Boolean.TRUE.equals(list.get("all"));
        return new EndpointEntry.News((long) Json.number(list.get("rev"), 0), full, List.copyOf(entries.values()), List.copyOf(kept),
                List.copyOf(faults));
    }

    /** One entry; null where the endpoint would be ready, but has no place that could be sent to. */
    private EndpointEntry entry(String uid, Map<String, Object> fields) {
        String state = Json.string(fields.get("state"), "");
        if (!STATES.contains(state)) {
            fault("state \"" + state + "\" of " + uid + ", which is unknown here and gets nothing new");
        }
        InetSocketAddress endpoint = null;
        if (fields.get("endpoint") != null || state.equals("ready")) { // one that is gone may have none
            try {
                endpoint = NodeConfig.address(Json.string(fields.get("endpoint"), ""));
            } catch (IllegalArgumentException e) {
                fault("endpoint of " + uid + ": " + e.getMessage());
                if (state.equals("ready")) {
                    return null;
                }
            }
        }
        return new EndpointEntry(uid, endpoint, shared(Json.string(fields.get("az"), "")), shared(Json.string(fields.get("model"), "")),
                (int) Json.number(fields.get("pod_group"), 0), shared(state), Json.number(fields.get("capacity_hint"), 1),
                (long) Json.number(fields.get("boot_ms"), 0));
    }

    private String shared(String text) {
        String known = texts.putIfAbsent(text, text);
        return known == null ? text : known;
    }
}
