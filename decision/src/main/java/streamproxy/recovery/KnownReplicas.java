package streamproxy.recovery;

import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * What a router that starts believes of its model boxes until the list's service has spoken: from its configuration, which may
 * be old, and from what it kept on its disk of what the service told it.
 *
 * <p>Drains are believed from wherever they are known, unless a newer word of the same service takes them back: what is sent to
 * a box that drains breaks a promise, what is not sent to one that is ready again only waits for the list. That a box is ready
 * is a hint, and believed only as part of a whole list. Versions of one service say nothing of another's.
 */
public final class KnownReplicas {
    /** How a box was told of. */
    public enum State { READY, DRAINING, GONE }

    /** Whose list is begun with. */
    public enum Source { CONFIGURED, KEPT }

    /**
     * The boxes as one source has them.
     *
     * @param service who told of them; empty where that is not known
     * @param version the service's
     * @param whole   whether nothing that was told is missing, so that a box that is not there was not told of
     */
    public record Told(String service, long version, boolean whole, Map<String, State> boxes) {
        public Told { boxes = Map.copyOf(boxes); }
    }

    /**
     * What is begun with.
     *
     * @param list    whose list, with its version
     * @param nothing boxes of it that get nothing, whatever it says of them, until the service has spoken
     */
    public record Believed(Source list, Set<String> nothing) { }

    private KnownReplicas() { }

    /**
     * @param configured as the configuration has it, of the service that it names
     * @param kept       as the disk has it; null where it has none
     */
    public static Believed of(Told configured, Told kept) {
        if (kept == null) {
            return new Believed(Source.CONFIGURED, Set.of());
        }
        boolean sameService = kept.service.equals(configured.service);
        if (sameService && kept.version < configured.version) {
            return new Believed(Source.CONFIGURED, Set.of()); // the newer word of the same service holds
        }
        if (sameService && kept.whole) {
            return new Believed(Source.KEPT, Set.of());
        }
        return new Believed(Source.CONFIGURED, kept.boxes.entrySet().stream().filter(box -> box.getValue() != State.READY)
                .map(Map.Entry::getKey).collect(Collectors.toSet()));
    }
}
