package streamproxy.duties;

import java.util.Collection;

/**
 * Who stands where in line for a duty: rendezvous hashing (Thaler and Ravishankar, "Using Name-Based Mappings to
 * Increase Hit Rates", IEEE/ACM Transactions on Networking 6(1), 1998). Each duty has an order of all members of its own,
 * the same at every member; when one goes, only what it held moves, and it moves to many.
 */
public final class RendezvousOrder {
    private RendezvousOrder() { }

    /** How many of these members stand before that one. */
    public static int of(String duty, String member, Collection<String> members) {
        long own = weight(duty, member);
        int before = 0;
        for (String other : members) {
            long weight = weight(duty, other);
            before += !other.equals(member) && (weight > own || weight == own && other.compareTo(member) < 0) ? 1 : 0;
        }
        return before;
    }

    /** Who stands first; null where there is nobody. */
    public static String first(String duty, Collection<String> members) {
        return members.stream().filter(member -> of(duty, member, members) == 0).findFirst().orElse(null);
    }

    private static long weight(String duty, String member) {
        long hash = 0xcbf29ce484222325L; // FNV-1a, then a finalizer that spreads it over all bits
        String both = duty + '\0' + member;
        for (int i = 0; i < both.length(); i++) {
            hash = (hash ^ both.charAt(i)) * 0x100000001b3L;
        }
        hash = (hash ^ hash >>> 30) * 0xbf58476d1ce4e5b9L;
        hash = (hash ^ hash >>> 27) * 0x94d049bb133111ebL;
        return (hash ^ hash >>> 31) >>> 1;
    }
}
