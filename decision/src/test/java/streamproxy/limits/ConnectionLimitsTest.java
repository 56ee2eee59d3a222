package streamproxy.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import streamproxy.limits.ConnectionLimits.Impossible;
import streamproxy.limits.ConnectionLimits.Wishes;

class ConnectionLimitsTest {
    private static final long HEAP = 48L << 20;

    private static ConnectionLimits of(int descriptors, int memoryMb, Wishes wishes) throws Impossible {
        return ConnectionLimits.of(descriptors, memoryMb, HEAP, wishes);
    }

    private static String keyAtFault(int descriptors, int memoryMb, Wishes wishes) {
        return assertThrows(Impossible.class, () -> of(descriptors, memoryMb, wishes)).key();
    }

    private static Wishes clients(int most, int active, int perAddress) {
        return new Wishes(most, active, perAddress, 0, 0, 0, 3, 2);
    }

    /** With the deployment's 192 MB idle clients are limited by descriptors; before, by memory for as many threads. */
    @Test void theDeploymentsMemoryHoldsAsManyIdleClientsAsItsDescriptorsAllow() throws Impossible {
        ConnectionLimits limits = of(1024, 192, Wishes.NONE);
        assertEquals(480, limits.clientsMost());
        assertEquals(480, limits.boxesMost());
        assertTrue(limits.activeMost() > 400 && limits.activeMost() <= 480, "active " + limits.activeMost());
        assertEquals(Integer.MAX_VALUE, limits.clientsPerAddress());
        assertTrue(Double.isInfinite(limits.acceptsPerS()));
        assertEquals(3_000_000_000L, limits.clientIdleNs());
    }

    /**
     * With half the deployment's memory and descriptors, 24 requests at a time were all that was let in, for a
     * footprint reckoned at twice what was measured: more than half of the requests were turned away.
     */
    @Test void halfTheMemoryStillLetsMostPlacesHaveARequest() throws Impossible {
        ConnectionLimits limits = of(384, 104, Wishes.NONE);
        assertTrue(limits.activeMost() >= limits.clientsMost() / 2, limits.activeMost() + " of " + limits.clientsMost());
    }

    @Test void manyDescriptorsAreNotWorthMoreThanTheHeapHolds() throws Impossible {
        ConnectionLimits limits = of(100_000, 192, Wishes.NONE);
        assertTrue(limits.clientsMost() > 10_000 && limits.clientsMost() < 20_000, "clients " + limits.clientsMost());
        assertTrue(limits.activeMost() >= 100, "half of the room is left for requests: " + limits.activeMost());
    }

    @Test void anOperatorMayHaveMoreClientsThanHalfOfTheDescriptors() throws Impossible {
        ConnectionLimits limits = of(4096, 1024, clients(3000, 100, 0));
        assertEquals(3000, limits.clientsMost());
        assertEquals(100, limits.activeMost());
        assertTrue(limits.boxesMost() >= 100, "each request needs one to a box");
    }

    @Test void whatContradictsIsRefusedByTheKeyAtFault() {
        assertEquals("limits", keyAtFault(64, 192, Wishes.NONE));
        assertEquals("limits", keyAtFault(1024, 64, Wishes.NONE));
        assertEquals("clients_most", keyAtFault(1024, 192, clients(961, 1, 0)));
        assertEquals("clients_most", keyAtFault(100_000, 192, clients(50_000, 0, 0)));
        assertEquals("active_most", keyAtFault(1024, 192, clients(400, 401, 0)));
        assertEquals("active_most", keyAtFault(100_000, 192, clients(0, 5_000, 0)));
        assertEquals("connecting_most", keyAtFault(1024, 192, new Wishes(0, 0, 0, 0, 10, 11, 3, 2)));
        assertEquals("clients_per_address", keyAtFault(1024, 192, clients(100, 0, 101)));
    }
}
