package streamproxy.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The README's example as a router would write it, and what misuse does. */
class ExampleTest {
    private static final long MS = 1_000_000L;

    /** The host's side: here it only notes where requests went. */
    private static final class Router implements Routing.Actions {
        final List<Long> sentTo = new ArrayList<>();

        @Override public void send(long request, long replica, long timeoutNs) { sentTo.add(replica); }

        @Override public void cancel(long request, int attempt) { }

        @Override public void refuse(long request, long retryAfterNs) { }

        @Override public void fail(long request) { }

        @Override public void timer(long afterNs, int token) { }

        @Override public void probe(long replica) { }

        @Override public void watchList() { }

        @Override public void fetchList() { }

        @Override public void log(String line) { }
    }

    private static Routing.RequestClass chat() {
        return new Routing.RequestClass("chat", Routing.Effect.SAFE, Routing.Group.ALL, 0, 2_000 * MS, 60_000, 8_000 * MS, 1, 0, true);
    }

    private static Routing.Settings settings() {
        return new Routing.Settings(0, 1, 0, List.of(chat()), List.of(), 1, Routing.Reports.PIGGYBACK, false,
                new Routing.Rules(0, 250 * MS, 0, 0.2, 20_000 * MS, 3, 1_000 * MS),
                new Routing.Limits(3, true, true, true, false, 0), new Routing.Prices(0, 0, 0, 0, 0), Routing.Weights.NOMINAL);
    }

    @Test void routesARequestToAReplicaThatReportedItselfIdle() {
        Router router = new Router();
        long now = 5_000 * MS;
        Policy gateway = new Policy(settings(), 42, now, router);
        gateway.on(now, new Routing.ListChange(Routing.ListForm.FULL, List.of(
                new Routing.Endpoint(101, 1, 0, 0, 0, 0, Routing.Health.READY),
                new Routing.Endpoint(102, 1, 0, 0, 0, 0, Routing.Health.READY))));
        double no = Double.NaN;
        gateway.on(now, new Routing.Probed(102, Routing.Outcome.OK, MS, new Routing.LoadReport(0, no, no, no, no, no, no)));
        gateway.on(now, new Routing.Arrival(1, chat(), 0, 0, 0, 800, 0, 200, 8_000 * MS, -1, false));
        assertEquals(List.of(102L), router.sentTo);
        gateway.on(now + 900 * MS, new Routing.FirstByte(1, 0, 102, 200 * MS));
        gateway.on(now + 900 * MS, new Routing.Ended(1, 0, 102, Routing.Outcome.OK, true, 900 * MS, 0, null));
        gateway.on(now + 901 * MS, new Routing.Ended(1, 0, 102, Routing.Outcome.OK, true, 900 * MS, 0, null));
        assertEquals(1, router.sentTo.size(), "a second event for a finished request is passed over");
    }

    @Test void eventsBeforeAListArePassedOver() {
        Router router = new Router();
        Policy gateway = new Policy(settings(), 42, 0, router);
        gateway.on(0, new Routing.TimerDue(0));
        gateway.on(0, new Routing.Arrival(2, chat(), 0, 5, 7, 800, 400, 200, 800 * MS, -1, false));
        assertEquals(List.of(), router.sentTo);
    }

    @Test void malformedValuesAreRefusedByTheRecords() {
        assertThrows(NullPointerException.class, () -> new Routing.Endpoint(1, 1, 0, 0, 0, 0, null));
        assertThrows(NullPointerException.class, () -> new Routing.ListChange(null, List.of()));
        assertThrows(NullPointerException.class, () -> new Routing.Arrival(1, null, 0, 0, 0, 800, 0, 200, MS, -1, false));
        assertThrows(IllegalArgumentException.class, () -> new Routing.RequestClass("c", Routing.Effect.SAFE,
                Routing.Group.ALL, 0, -1, 0, 1, 1, 0, true));
        Routing.Settings s = settings();
        assertThrows(IllegalArgumentException.class, () -> new Routing.Settings(3, 1, 0, s.classes(), s.tenants(), 1,
                s.reports(), false, s.rules(), s.limits(), s.prices(), s.weights()));
        assertThrows(UnsupportedOperationException.class, () -> s.classes().clear());
    }
}
