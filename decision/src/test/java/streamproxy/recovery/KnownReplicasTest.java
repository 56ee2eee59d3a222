package streamproxy.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import streamproxy.recovery.KnownReplicas.Believed;
import streamproxy.recovery.KnownReplicas.Source;
import streamproxy.recovery.KnownReplicas.State;
import streamproxy.recovery.KnownReplicas.Told;

/** Each row of the table, by the harm that believing more, or less, would do. */
class KnownReplicasTest {
    private static final Told CONFIGURED = new Told("here", 5, true, Map.of("a", State.READY, "b", State.READY));

    private static Told kept(String service, long version, boolean whole) {
        return new Told(service, version, whole, Map.of("a", State.DRAINING, "b", State.READY, "c", State.READY, "d", State.GONE));
    }

    private static Believed believed(Told kept) { return KnownReplicas.of(CONFIGURED, kept); }

    @Test void withNothingKeptTheConfigurationIsAllThereIs() {
        assertEquals(new Believed(Source.CONFIGURED, Set.of()), believed(null));
    }

    @Test void aNewerWholeListOfTheSameServiceIsBegunWith() {
        assertEquals(new Believed(Source.KEPT, Set.of()), believed(kept("here", 6, true)), "else a drains, and is sent to");
        assertEquals(new Believed(Source.KEPT, Set.of()), believed(kept("here", 5, true)), "told as late as what was configured");
    }

    @Test void anOlderListOfTheSameServiceIsTakenBackByTheNewer() {
        assertEquals(new Believed(Source.CONFIGURED, Set.of()), believed(kept("here", 4, true)), "else a would wait for the list for nothing");
    }

    @Test void ofAListThatIsNotWholeOnlyDrainsAreBelieved() {
        assertEquals(new Believed(Source.CONFIGURED, Set.of("a", "d")), believed(kept("here", 6, false)),
                "c may have been told gone in what is missing");
    }

    @Test void ofAnotherServicesListOnlyDrainsAreBelievedWhateverItsVersion() {
        assertEquals(new Believed(Source.CONFIGURED, Set.of("a", "d")), believed(kept("elsewhere", 9, true)), "9 there is not newer than 5 here");
        assertEquals(new Believed(Source.CONFIGURED, Set.of("a", "d")), believed(kept("elsewhere", 1, true)), "and 1 not older");
    }
}
