package streamproxy.stories;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertTrue;
import static streamproxy.stories.Waiting.await;

import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Stream;
import org.junit.Test;
import streamproxy.program.Fleet;
import streamproxy.program.Router;
import streamproxy.protocol.NodeConfig;
import streamproxy.protocol.OperatorFile;
import streamproxy.routing.SharedList;

/** What becomes of a fleet of boxes and of the service that lists them, and what the router makes of it. */
public class FleetIntegrationTest extends RouterTestBase {
    private static final String END = "0\r\n\r\n";

    private int asked;

    /** Each of another session: those of one would all be drawn in the same order of boxes. */
    private void assertServed() throws Exception {
        String key = String.format("%016x", 0x9e3779b97f4a7c15L * ++asked);
        String answer = caller().send(Caller.prompt("a" + asked, "{}").replace("7f3a9c21e0b4d655", key)).readTo(END);
        assertTrue(answer, answer.startsWith("HTTP/1.1 200 "));
    }

    /** In a release the service is overbooked: who waits for it, or asks without a pause, makes the outage his own. */
    @Test public void whateverTheListServiceDoesARouterServesFromWhatItKnewAndAsksAgainOneCallAtATime() throws Exception {
        BlockingQueue<Long> calls = new LinkedBlockingQueue<>();
        AtomicInteger open = new AtomicInteger();
        AtomicInteger mostOpen = new AtomicInteger();
        List<ScriptedPeer.Script> faults = List.of(e -> e.answer("503 Busy", "", ""),
                e -> e.socket().setSoLinger(true, 0),
                e -> e.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"rev\":2"),
                e -> {
                    e.streamHead();
                    e.chunk("{\"rev\":2,\"targets\":[{\"uid\":\n");
                });
        for (ScriptedPeer.Script fault : faults) {
            ScriptedPeer box = box(SERVES);
            ScriptedPeer other = box(SERVES);
            Deployment deployment = keep(Deployment.of(box, other));
            calls.clear();
            deployment.list.play(e -> {
                mostOpen.accumulateAndGet(open.incrementAndGet(), Math::max);
                calls.add(System.nanoTime());
                fault.play(e);
                open.decrementAndGet(); // before it ends: the next call may come at once
                e.socket().close();
            });
            routerIn(deployment);
            for (int i = 0; i < 40 && box.attempts.isEmpty(); i++) {
                assertServed();
            }
            assertFalse("it is used until it is told draining", box.attempts.isEmpty());
            List<Long> at = new ArrayList<>();
            await("it asks again and again", () -> calls.drainTo(at) >= 0 && at.size() >= 3);
            assertTrue("a pause before each", at.get(2) - at.get(0) > 2 * 125_000_000L);
            assertEquals("one call at a time", 1, mostOpen.get());
            deployment.list.play(e -> { // it is back, and follows the version that was known before
                assertTrue(e.head(), e.head().startsWith("GET /v1/endpoints?follow=1&since=1 "));
                e.streamHead();
                e.chunk(Deployment.told(2, false, Deployment.entry("s-0", box.address(), "draining")) + "\n");
                e.awaitClose();
            });
            deployment.list.attempts.clear();
            await("it asks once more", () -> !deployment.list.attempts.isEmpty());
            assertDrained(box);
            router.close();
        }
    }

    /** Prompts reach that box no more, from soon after now on. */
    private void assertDrained(ScriptedPeer box) throws Exception {
        await("it gets nothing more", () -> {
            int before = box.attempts.size();
            for (int i = 0; i < 60; i++) { // so many that none of four boxes in use is left out by chance
                assertServed();
            }
            return box.attempts.size() == before;
        });
    }

    /** One bad entry used to cost the whole list, and with it each drain that it told. */
    @Test public void whatCannotBeReadInAListCostsNoMoreThanItself() throws Exception {
        ScriptedPeer kept = box(SERVES);
        ScriptedPeer drains = box(SERVES);
        ScriptedPeer strange = box(SERVES);
        ScriptedPeer comes = box(SERVES);
        Deployment deployment = routerOver(kept, drains, strange);
        deployment.news.add(Deployment.told(2, true, "7,{\"state\":\"ready\"},"
                + Deployment.entry("s-0", "somewhere:80", "ready") + "," + Deployment.entry("s-9", "300.0.0.1:80", "ready") + ","
                + Deployment.entry("s-1", drains.address(), "ready") + "," + Deployment.entry("s-1", drains.address(), "draining")
                + "," + Deployment.entry("s-2", strange.address(), "napping") + "," + Deployment.entry("s-3", comes.address(), "ready")));
        assertDrained(drains);
        assertDrained(strange);
        for (int i = 0; kept.attempts.isEmpty() || comes.attempts.isEmpty(); i++) {
            assertTrue("the box whose entry cannot be read stays as it was, the others are used", i < 200);
            kept.attempts.clear();
            comes.attempts.clear();
            for (int j = 0; j < 12; j++) {
                assertServed();
            }
        }
    }

    /** A service that has lost its versions would tell of nothing but what comes after the lost ones. */
    @Test public void afterAVersionThatGoesBackTheWholeListIsAskedFor() throws Exception {
        ScriptedPeer first = box(SERVES);
        ScriptedPeer second = box(SERVES);
        Deployment deployment = keep(Deployment.of(first, second));
        BlockingQueue<String> heads = new LinkedBlockingQueue<>();
        deployment.list.play(e -> {
            heads.add(e.head().substring(0, e.head().indexOf(" HTTP")));
            if (e.head().contains("since=1 ")) {
                e.streamHead();
                e.chunk(Deployment.told(9, false, "") + "\n");
                e.chunk(Deployment.told(3, false, Deployment.entry("s-0", first.address(), "draining")) + "\n");
                e.awaitClose(); // the router's part
            } else if (e.head().contains("follow=1")) {
                e.streamHead();
                e.awaitClose();
            } else {
                e.answer("200 OK", "", Deployment.told(4, true, Deployment.entry("s-1", second.address(), "ready")));
            }
        });
        routerIn(deployment);
        List<String> expected = List.of("GET /v1/endpoints?follow=1&since=1", "GET /v1/endpoints", "GET /v1/endpoints?follow=1&since=4");
        for (String head : expected) {
            assertEquals(head, heads.poll(15, TimeUnit.SECONDS));
        }
        assertDrained(first);
        assertServed();
    }

    /** In a fleet the own watch may tell later what another router's watch has told already. */
    @Test public void whatAnotherRoutersWatchToldSoonerIsNoGoingBack() throws Exception {
        ScriptedPeer box = box(SERVES);
        Deployment deployment = keep(Deployment.of(box));
        BlockingQueue<String> calls = new LinkedBlockingQueue<>();
        CountDownLatch ahead = new CountDownLatch(1);
        deployment.list.play(e -> {
            calls.add(e.head());
            e.streamHead();
            ahead.await();
            e.chunk(Deployment.told(2, false, "") + "\n" + Deployment.told(3, false, "") + "\n" + Deployment.told(4, false, "") + "\n");
            e.awaitClose();
        });
        AtomicReference<SharedList.Follower> follower = new AtomicReference<>();
        List<Long> told = Collections.synchronizedList(new ArrayList<>());
        router = new Router(NodeConfig.read(deployment.environment), OperatorFile.NONE, new Fleet() {
            @Override public SharedList list() {
                return new SharedList() {
                    @Override public boolean begin(Follower to) {
                        follower.set(to);
                        return true;
                    }

                    @Override public void told(InetSocketAddress service, long version, boolean full, String line) { told.add(version); }
                };
            }
        });
        router.start();
        assertNotNull(calls.poll(15, TimeUnit.SECONDS));
        SharedList.Position first = follower.get().position();
        follower.get().line(first.service(), Deployment.told(2, false, ""));
        follower.get().line(first.service(), Deployment.told(3, false, ""));
        await("it is ahead of its own watch", () -> follower.get().position().version() == 3);
        ahead.countDown();
        await("the watch goes on", () -> follower.get().position().version() == 4);
        assertEquals("all that it brought is there for others", List.of(2L, 3L, 4L), told);
        assertTrue("nobody has asked anew", calls.isEmpty());
    }

    /** A platform gives the addresses of those that go to those that come, and tells in one list object or in many. */
    @Test public void aBoxAtTheAddressOfOneThatIsGoneGetsNothingThatWasTheOthers() throws Exception {
        for (boolean atOnce : new boolean[] {true, false}) {
            ScriptedPeer[] boxes = new ScriptedPeer[5];
            for (int i = 0; i < boxes.length; i++) {
                boxes[i] = box(SERVES);
            }
            Deployment deployment = routerOver(boxes);
            Set<Socket> before = new HashSet<>();
            for (int i = 0; i < 60; i++) {
                assertServed();
            }
            List<String> news = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                boxes[i].attempts.forEach(e -> before.add(e.socket()));
                boxes[i].attempts.clear();
                news.add("{\"uid\":\"s-" + i + "\",\"state\":\"gone\"}," + Deployment.entry("new-" + i, boxes[i].address(), "ready"));
            }
            assertFalse(before.isEmpty());
            if (atOnce) {
                deployment.news.add(Deployment.told(2, false, String.join(",", news)));
            } else {
                for (int i = 0; i < 3; i++) {
                    deployment.news.add(Deployment.told(2 + i, false, news.get(i)));
                }
            }
            await("the old ones' connections end", () -> before.stream().allMatch(Socket::isClosed));
            for (ScriptedPeer box : boxes) { // what went out before the news reached the router was the old ones' still
                box.attempts.clear();
            }
            for (int i = 0; boxes[0].attempts.isEmpty() || boxes[1].attempts.isEmpty() || boxes[2].attempts.isEmpty(); i++) {
                assertTrue("the new ones are used", i < 300);
                assertServed();
            }
            router.close();
        }
    }

    /** Held for a whole zone's silence, requests would go down with it. */
    @Test public void requestsToAZoneThatFallsSilentEndInTimeAndTheOthersGetEachOnce() throws Exception {
        ScriptedPeer.Script silent = ScriptedPeer.Exchange::awaitClose;
        ScriptedPeer[] gone = {box(silent), box(silent)};
        ScriptedPeer[] left = {box(SERVES), box(SERVES)};
        routerOver(gone[0], left[0], gone[1], left[1]);
        List<Caller> callers = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            callers.add(caller().send(Caller.prompt("a" + i, "{}")));
        }
        int served = 0;
        for (Caller caller : callers) {
            String answer = caller.readTo("\r\n\r\n"); // within a caller's patience, far longer than the deadline
            assertTrue(answer, answer.startsWith("HTTP/1.1 200 ") || answer.startsWith("HTTP/1.1 503 "));
            served += answer.startsWith("HTTP/1.1 200 ") ? 1 : 0;
        }
        // One that was sent on so late that its deadline came first was sent, and not served.
        List<String> sent = Stream.of(left).flatMap(box -> box.attempts.stream())
                .map(e -> e.head().lines().filter(line -> line.startsWith("Req-Id: ")).findFirst().orElseThrow()).toList();
        assertTrue("served " + served + " of 40, sent " + sent.size(), served > 0 && sent.size() >= served);
        assertEquals("each prompt once", sent.size(), sent.stream().distinct().count());
    }
}
