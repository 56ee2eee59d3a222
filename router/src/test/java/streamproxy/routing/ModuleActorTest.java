package streamproxy.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import streamproxy.decision.Routing;
import streamproxy.decision.Routing.ListForm;
import streamproxy.decision.Routing.Outcome;
import streamproxy.decision.SettingsText;
import streamproxy.protocol.EndpointEntry;
import streamproxy.protocol.PassedOn;
import streamproxy.protocol.PromptHeaders;
import streamproxy.streams.StreamLimits;
import streamproxy.transport.Budget;

/** What is left of the module's actor where a line of a change throws. */
@Timeout(60)
class ModuleActorTest {
    private static final long SECOND = 1_000_000_000L;
    private static final int REPLICAS = 5;

    /** Notes what replicas are told and given; fails as often as it is told to. */
    private static final class Dispatcher implements ReplicaDispatcher {
        private final Map<Long, Boolean> told = new ConcurrentHashMap<>();
        private final BlockingQueue<Attempt> sent = new LinkedBlockingQueue<>();
        private final BlockingQueue<Long> probed = new LinkedBlockingQueue<>();
        private final AtomicInteger failures = new AtomicInteger();
        private final CountDownLatch failed = new CountDownLatch(1);
        private volatile long failsAt;

        void failAt(String uid, int times) {
            failsAt = EndpointEntry.id(uid);
            failures.set(times);
        }

        @Override public void told(long id, EndpointEntry box, boolean ready) {
            if (id == failsAt && failures.getAndDecrement() > 0) {
                failed.countDown();
                throw new OutOfMemoryError("as the test wants it");
            }
            told.put(id, ready);
        }

        @Override public void gone(long id) { told.remove(id); }

        @Override public boolean send(Attempt attempt) { return sent.add(attempt); }

        @Override public boolean probe(long id) { return probed.add(id); }
    }

    private final Clock clock = new Clock();
    private final Dispatcher dispatcher = new Dispatcher();
    private final ModuleActor module = new ModuleActor(ActorFixtures.SETTINGS, 1, clock, dispatcher);

    @AfterEach void end() { module.stop(); }

    private static EndpointEntry entry(String uid, String state) {
        return new EndpointEntry(uid, new InetSocketAddress("127.0.0.1", 80), "", "", 0, state, 1, 0);
    }

    private static List<EndpointEntry> entries(String state) {
        List<EndpointEntry> entries = new ArrayList<>();
        for (int i = 0; i < REPLICAS; i++) {
            entries.add(entry("s-" + i, state));
        }
        return entries;
    }

    private void start() { module.start(new Watchdog(Records.NONE)); }

    private Attempt attemptFor(String id) throws InterruptedException { return attemptFor(id, ActorFixtures.CHAT); }

    private Attempt attemptFor(String id, Routing.RequestClass clazz) throws InterruptedException {
        PromptHeaders prompt = new PromptHeaders(id, "chat", "", 1, 4 * SECOND, 0, 10, 0, 10, false);
        Client client = new AnswerBuffer(new StreamLimits(1_000, SECOND, SECOND, SECOND, 8), new Budget(1_000), System.nanoTime(), () -> false);
        assertTrue(module.taken(new Request(prompt, clazz, 0, new PassedOn("POST", "/", id, null, new byte[2]), client, clock.now())));
        return dispatcher.sent.poll(10, TimeUnit.SECONDS);
    }

    private static void await(BooleanSupplier so) throws InterruptedException {
        for (long until = System.nanoTime() + 30 * SECOND; !so.getAsBoolean();) {
            assertTrue(System.nanoTime() < until, "not in time");
            TimeUnit.MILLISECONDS.sleep(1);
        }
    }

    @Test void aListThatFailsAtOneReplicaIsTakenWholeInTheEnd() throws Exception {
        dispatcher.failAt("s-3", 3);
        module.listNews(ListForm.FULL, entries("ready"), List.of());
        start();
        assertTrue(dispatcher.failed.await(30, TimeUnit.SECONDS));
        assertTrue(attemptFor("a") != null, "a request is sent to one of them");
        assertEquals(REPLICAS, dispatcher.told.size());
        assertEquals(3, module.failures());
    }

    @Test void aDrainBindsThoughItsListCannotBeTaken() throws Exception {
        module.listNews(ListForm.FULL, entries("ready"), List.of());
        start();
        assertTrue(attemptFor("a") != null);
        dispatcher.failAt("new", Integer.MAX_VALUE);
        List<EndpointEntry> news = new ArrayList<>(List.of(entry("new", "ready")));
        news.addAll(entries("draining"));
        module.listNews(ListForm.DELTA, news, List.of());
        assertTrue(dispatcher.failed.await(30, TimeUnit.SECONDS));
        assertTrue(dispatcher.told.values().stream().noneMatch(ready -> ready), dispatcher.told.toString());
    }

    @Test void changesBehindOneThatFailsAreTakenInOrder() throws Exception {
        dispatcher.failAt("s-3", 3);
        module.listNews(ListForm.FULL, entries("ready"), List.of());
        module.listNews(ListForm.DELTA, entries("draining").subList(0, REPLICAS - 1), List.of());
        start();
        await(() -> dispatcher.told.values().stream().filter(ready -> !ready).count() == REPLICAS - 1);
        Attempt attempt = attemptFor("a");
        assertEquals("s-" + (REPLICAS - 1), attempt == null ? null : attempt.replica, "to the only one that is ready");
    }

    /**
     * A reload brought another class of the same name, or none: an open request's repeat was bound by that, and ran three
     * windows of its own class after the first sending.
     */
    @Test void anOpenRequestsRepeatIsBoundByTheClassThatItCameWithWhateverAReloadBrings() throws Exception {
        String keyed = "Name=chat Idempotency=keyed Group=all Window=1000000000";
        String[][] reloads = {{keyed}, {"Name=chat Idempotency=safe"}, {"Name=other Idempotency=safe"}, {"Name=other Idempotency=safe", keyed},
            {"Name=chat Idempotency=unsafe"}, {"Name=chat Idempotency=keyed Group=all Window=3000000000"},
            {"Name=chat Idempotency=keyed Group=all Window=1000000"}};
        module.listNews(ListForm.FULL, entries("ready"), List.of());
        start();
        Routing.Settings first = ActorFixtures.withClasses(keyed);
        for (int i = 0; i < reloads.length; i++) {
            module.retune(first);
            Attempt attempt = attemptFor("a" + i, first.classes().get(0));
            module.retune(ActorFixtures.withClasses(reloads[i]));
            module.over(attempt, Outcome.RESET, 0, null);
            Attempt repeat = dispatcher.sent.poll(10, TimeUnit.SECONDS);
            String what = String.join(", ", reloads[i]);
            assertTrue(repeat != null, "the class that it came with allows a repeat: " + what);
            assertEquals(attempt.sentAt + SECOND, repeat.bounds.writeBy(), what);
        }
    }

    /** The mirror: a class that becomes stricter does not take from an open request what its own allows. */
    @Test void anOpenRequestOfASafeClassIsSentAgainThoughAReloadForbidsThatToNewOnes() throws Exception {
        module.listNews(ListForm.FULL, entries("ready"), List.of());
        start();
        String safe = "Name=chat Idempotency=safe";
        for (String stricter : new String[] {"Name=chat Idempotency=unsafe", "Name=chat Idempotency=keyed Group=cell Window=1000000"}) {
            module.retune(ActorFixtures.withClasses(safe));
            Attempt attempt = attemptFor(stricter, ActorFixtures.withClasses(safe).classes().get(0));
            module.retune(ActorFixtures.withClasses(stricter));
            module.over(attempt, Outcome.RESET, 0, null);
            Attempt repeat = dispatcher.sent.poll(10, TimeUnit.SECONDS);
            assertTrue(repeat != null, stricter);
            assertEquals(Long.MAX_VALUE, repeat.bounds.writeBy(), stricter);
        }
    }

    /** Two reloads at once: each request keeps the class of its own time. */
    @Test void aRequestThatIsHandedOnAfterItsClassWasDroppedIsSent() throws Exception {
        module.listNews(ListForm.FULL, entries("ready"), List.of());
        start();
        module.retune(ActorFixtures.withClasses("Name=second Idempotency=safe"));
        module.retune(ActorFixtures.withClasses("Name=third Idempotency=safe"));
        assertTrue(attemptFor("a") != null, "its class is that of the first settings");
    }

    @Test void aTimerOfTheModuleThatFailsIsDueAgain() throws Exception {
        CountDownLatch asked = new CountDownLatch(3);
        module.listFrom(() -> {
            asked.countDown();
            throw new OutOfMemoryError("as the test wants it");
        }, () -> true);
        start();
        assertTrue(asked.await(30, TimeUnit.SECONDS), "it asks for the list again");
    }

    @Test void aProbeWithoutAnEndIsHeardOfByTheModule() throws Exception {
        SettingsText probing = new SettingsText(ActorFixtures.PROBING);
        ModuleActor other = new ModuleActor(probing, 1, clock, dispatcher);
        other.listNews(ListForm.FULL, entries("ready").subList(0, 1), List.of());
        other.start(new Watchdog(Records.NONE));
        assertTrue(dispatcher.probed.poll(30, TimeUnit.SECONDS) != null);
        assertTrue(dispatcher.probed.poll(30, TimeUnit.SECONDS) != null, "it is probed again though nobody told of the first probe's end");
        other.stop();
    }
}
