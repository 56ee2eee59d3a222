package streamproxy.duties;

import java.util.Map;
import java.util.TreeMap;

/**
 * Whether this member's ledger is as the others'. At certain places of the log each member takes a sum of its ledger and tells
 * it through the log ({@link Command.Mark}); one that finds more than half of all members with one sum, and itself with
 * another, has gone apart and must act by its ledger no more. The majority's word is taken, not a leader's: whoever leads
 * may be the one that is wrong. One thread at a time may use it.
 */
public final class DivergenceCheck {
    /** A sum is taken at every place that this divides: often enough to find a fault within minutes, seldom enough to cost nothing. */
    public static final long EVERY = 1_000;
    private static final int PLACES = 4;
    private static final long NONE = -1;

    private final TreeMap<Long, Integer> own = new TreeMap<>();
    private final TreeMap<Long, Map<String, Integer>> told = new TreeMap<>();

    /** Whether a sum is taken of the ledger as it is with what is at that place. */
    public static boolean due(long place) { return place > 0 && place % EVERY == 0; }

    /** This member's sum. */
    public void own(long place, int sum) {
        own.put(place, sum);
        while (own.size() > PLACES) {
            own.pollFirstEntry();
        }
    }

    /** A member's sum, this one's too, as the log has it. */
    public void told(String member, long place, int sum) {
        told.computeIfAbsent(place, p -> new TreeMap<>()).put(member, sum);
        while (told.size() > PLACES) {
            told.pollFirstEntry();
        }
    }

    /**
     * The place at which this member has gone apart from the others; -1 where it has not, as far as is told.
     *
     * @param members how many there are
     */
    public long apart(int members) {
        for (Map.Entry<Long, Integer> here : own.entrySet()) {
            Map<Integer, Integer> votes = new TreeMap<>();
            told.getOrDefault(here.getKey(), Map.of()).values().forEach(sum -> votes.merge(sum, 1, Integer::sum));
            for (Map.Entry<Integer, Integer> one : votes.entrySet()) {
                if (2 * one.getValue() > members && !one.getKey().equals(here.getValue())) {
                    return here.getKey();
                }
            }
        }
        return NONE;
    }
}
