package streamproxy.stories;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertTrue;
import static streamproxy.stories.Waiting.await;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.Test;
import streamproxy.program.Lifecycle.Phase;

/** What the router does on sockets, told against scripted peers; one story for each way in which it could fail. */
public class RouterIntegrationTest extends RouterTestBase {
    private static String chunk(String text) { return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"; }

    @Test public void eachEventReachesTheClientUnchangedBeforeTheNextIsMade() throws Exception {
        CountDownLatch firstRead = new CountDownLatch(1);
        ScriptedPeer box = box(e -> {
            e.streamHead();
            e.chunk(ONE);
            assertTrue(firstRead.await(10, TimeUnit.SECONDS));
            e.chunk(TWO + DONE.substring(0, 5)); // a chunk may end within an event
            e.chunk(DONE.substring(5));
            e.write("0\r\n\r\n");
        });
        routerOver(box);
        Caller caller = caller().send(Caller.prompt("a1", "{\"model\":\"chat\"}"));
        String first = caller.readTo(chunk(ONE));
        assertTrue(first, first.startsWith("HTTP/1.1 200 "));
        firstRead.countDown();
        assertEquals(chunk(TWO) + chunk(DONE) + "0\r\n\r\n", caller.readTo("0\r\n\r\n"));
        ScriptedPeer.Exchange passed = box.attempts.take();
        assertTrue(passed.head(), passed.head().startsWith("POST /v1/chat/completions HTTP/1.1\r\n"));
        assertTrue(passed.head(), passed.head().contains("\r\nReq-Id: a1\r\n"));
        assertEquals("{\"model\":\"chat\"}", passed.body());
    }

    /** Replicas drop the repeats of a request by its key: without it a repeat would run a second time. */
    @Test public void anIdempotencyKeyIsPassedOnAndNoneIsMade() throws Exception {
        ScriptedPeer box = box(SERVES);
        routerOver(box);
        caller().send(Caller.prompt("a", "{}").replace("Req-Id:", "Idempotency-Key: \"k-17\"\r\nReq-Id:")).readTo("0\r\n\r\n");
        assertTrue(box.attempts.take().head().contains("\r\nIdempotency-Key: \"k-17\"\r\n"));
        caller().send(Caller.prompt("b", "{}")).readTo("0\r\n\r\n");
        assertFalse(box.attempts.take().head().contains("Idempotency-Key"));
    }

    @Test public void connectionsAreUsedAgainAndOneClosedWhileIdleIsNot() throws Exception {
        ScriptedPeer box = box(SERVES);
        routerOver(box);
        Caller caller = caller();
        for (int i = 0; i < 5; i++) {
            caller.send(Caller.prompt("a" + i, "{}")).readTo("0\r\n\r\n");
        }
        int before = box.connections.get();
        assertTrue("connections " + before, before <= 2); // a probe may have needed one of its own
        box.closeConnections();
        String answer = caller.send(Caller.prompt("b", "{}")).readTo("0\r\n\r\n");
        assertTrue(answer, answer.startsWith("HTTP/1.1 200 "));
        assertEquals("nothing was sent twice", 6, box.attempts.size());
    }

    @Test public void aDeclinedAttemptGoesToAnotherBox() throws Exception {
        ScriptedPeer full = box(e -> e.answer("503 Busy", "Srv-Declined: 1\r\n", "full"));
        ScriptedPeer other = box(SERVES);
        routerOver(full, other);
        for (int i = 0; full.attempts.isEmpty(); i++) {
            assertTrue("the full box was never tried", i < 200);
            String answer = caller().send(Caller.prompt("a" + i, "{}")).readTo("0\r\n\r\n");
            assertTrue(answer, answer.startsWith("HTTP/1.1 200 "));
        }
    }

    @Test public void withNoBoxReachableTheClientIsRefusedAtOnceAndToldWhenToComeBack() throws Exception {
        ScriptedPeer dead = box(SERVES);
        dead.close();
        routerOver(dead);
        long from = System.nanoTime();
        String answer = caller().send(Caller.prompt("a1", "{}")).readTo("refused");
        assertTrue(answer, answer.startsWith("HTTP/1.1 503 ") && answer.contains("\r\nRetry-After: "));
        assertTrue("answered within the class's aim", System.nanoTime() - from < 2_900_000_000L);
    }

    /** With the first event the deadline is off: the attempt's time-out must not cut its stream. */
    @Test public void aStreamThatRunsPastTheDeadlineStaysWhole() throws Exception {
        CountDownLatch cut = new CountDownLatch(1);
        routerOver(box(e -> {
            e.streamHead();
            e.chunk(ONE);
            assertFalse(cut.await(700, TimeUnit.MILLISECONDS)); // the time that this story is about
            e.chunk(TWO);
            e.chunk(DONE);
            e.write("0\r\n\r\n");
        }));
        String answer = caller().send(Caller.prompt("a1", "{}").replace("3.000", "0.300")).readTo("0\r\n\r\n");
        assertTrue(answer, answer.contains(chunk(ONE) + chunk(TWO) + chunk(DONE)));
    }

    @Test public void aBrokenStreamClosesTheClientsConnectionWithoutTheLastChunk() throws Exception {
        routerOver(box(e -> {
            e.streamHead();
            e.chunk(ONE);
            e.socket().close();
        }));
        String answer = caller().send(Caller.prompt("a1", "{}")).readAll();
        assertTrue(answer, answer.endsWith(chunk(ONE)));
    }

    @Test public void aSilentStreamEndsWithoutTheLastChunk() throws Exception {
        routerOver(box(e -> {
            e.streamHead();
            e.chunk(ONE);
            e.awaitClose();
        }));
        long from = System.nanoTime();
        String answer = caller().send(Caller.prompt("a1", "{}")).readAll();
        assertTrue(answer, answer.endsWith(chunk(ONE)));
        assertTrue("soon enough to ask for the rest", System.nanoTime() - from < 3_500_000_000L);
    }

    @Test public void aClientThatLeavesEndsItsAttempt() throws Exception {
        CountDownLatch ended = new CountDownLatch(1);
        ScriptedPeer box = box(e -> {
            e.awaitClose();
            ended.countDown();
        });
        routerOver(box);
        Caller caller = caller().send(Caller.prompt("a1", "{}"));
        assertNotNull(box.attempts.poll(10, TimeUnit.SECONDS));
        caller.close();
        assertTrue("the box's connection ends well before the deadline", ended.await(1500, TimeUnit.MILLISECONDS));
    }

    /** Of two ids or classes one would be passed on, and it is not known which one the client meant. */
    @Test public void aRequestWithAFieldGivenTwiceIsNotSentOn() throws Exception {
        ScriptedPeer box = box(SERVES);
        routerOver(box);
        String good = Caller.prompt("a1", "{}");
        for (String twice : new String[] {good.replace("Req-Id: a1", "Req-Id: a1\r\nReq-Id: b1"),
            good.replace("Req-Kind: chat", "Req-Kind: chat\r\nreq-kind: chat")}) {
            String answer = ask(twice);
            assertTrue(answer, answer.startsWith("HTTP/1.1 400 "));
        }
        assertEquals("nothing reaches a replica", 0, box.attempts.size());
    }

    @Test public void whatCannotBeServedGetsItsAnswerAndNoAttempt() throws Exception {
        ScriptedPeer box = box(SERVES);
        routerOver(box);
        String good = Caller.prompt("a1", "{}");
        String[][] bad = {
            {"400", "nonsense\r\n\r\n"},
            {"400", good.replace("Req-Kind: chat", "Req-Kind: poem")},
            {"400", good.replace("Req-Id: a1\r\n", "")},
            {"400", good.replace("Req-Key: 7f3a9c21e0b4d655", "Req-Key: what")},
            {"400", good.replace("3.000", "soon")},
            {"400", good.replace("3.000", "0x3p0")},
            {"400", good.replace("{}", "{\"")}, // cut by a wrong length
            {"400", good.replace("prompt_len=100,", "")},
            {"400", good.replace("Host: app.svc\r\n", "")},
            {"400", good.replace("Content-Length: 2", "Content-Length: -2")},
            {"400", good.replace("Content-Length: 2", "Content-Length: 2\r\nTransfer-Encoding: chunked")},
            {"400", good.replace("Content-Length: 2", "Content-Length: 2\r\nContent-Length: 2")},
            {"400", good.replace("app.svc", "app\rReq-Id: x")},
            {"411", good.replace("Content-Length: 2\r\n", "")},
            {"413", good.replace("Content-Length: 2", "Content-Length: 262145")},
            {"413", Caller.prompt("a1", "x".repeat(300_000))},
            {"431", good.replace("app.svc", "a".repeat(20_000))},
            {"431", good.replace("Host:", "a:\r\n".repeat(200) + "Host:")},
            {"404", good.replace("/v1/chat/completions", "/v1/poems")},
            {"405", good.replace("POST", "GET")},
            {"505", good.replace("HTTP/1.1", "HTTP/1.0")},
        };
        for (String[] one : bad) {
            String answer = caller().send(one[1]).readAll();
            assertTrue(one[0] + " expected: " + answer, answer.startsWith("HTTP/1.1 " + one[0] + " "));
            assertTrue(answer, answer.contains("\r\nConnection: close\r\n"));
        }
        assertEquals(0, box.attempts.size());
    }

    @Test public void aBoxToldDrainingGetsNothingMoreAndALostWatchIsAskedForAgain() throws Exception {
        ScriptedPeer first = box(SERVES);
        ScriptedPeer second = box(SERVES);
        Deployment deployment = routerOver(first, second);
        deployment.news.add("");
        deployment.news.add("end");
        assertNotNull("the first watch", deployment.list.attempts.poll(15, TimeUnit.SECONDS));
        ScriptedPeer.Exchange again = deployment.list.attempts.poll(15, TimeUnit.SECONDS);
        assertNotNull("the second watch", again);
        assertTrue(again.head(), again.head().startsWith("GET /v1/endpoints?follow=1&since=1 "));
        ScriptedPeer third = box(SERVES);
        deployment.news.add(Deployment.told(2, false, Deployment.entry("s-0", first.address(), "draining") + ","
                + Deployment.entry("s-1", second.address(), "gone") + "," + Deployment.entry("s-2", third.address(), "ready")));
        for (int i = 0; third.attempts.isEmpty(); i++) { // told as soon as the newcomer gets work
            caller().send(Caller.prompt("a" + i, "{}")).readTo("0\r\n\r\n");
        }
        int before = first.attempts.size() + second.attempts.size();
        for (int i = 0; i < 30; i++) {
            caller().send(Caller.prompt("b" + i, "{}")).readTo("0\r\n\r\n");
        }
        assertEquals(before, first.attempts.size() + second.attempts.size());
    }

    @Test public void aBoxListThatSaysNothingIsAskedAgain() throws Exception {
        Deployment deployment = routerOver(box(SERVES)); // its watch is answered, but no line comes, as from a cut-off machine
        assertNotNull("the first watch", deployment.list.attempts.poll(15, TimeUnit.SECONDS));
        assertNotNull("the second watch", deployment.list.attempts.poll(15, TimeUnit.SECONDS));
    }

    @Test public void aBoxThatNeverAnswersIsLeftInTimeAndTheClientToldWhenToComeBack() throws Exception {
        CountDownLatch ended = new CountDownLatch(1);
        routerOver(box(e -> {
            e.awaitClose();
            ended.countDown();
        }));
        String answer = caller().send(Caller.prompt("a1", "{}")).readTo("refused");
        assertTrue(answer, answer.startsWith("HTTP/1.1 503 ") && answer.contains("\r\nRetry-After: 2.000\r\n"));
        assertTrue("the attempt's connection is closed", ended.await(5, TimeUnit.SECONDS));
    }

    @Test public void leavingFinishesWhatWasTakenAndTakesWhatStillComes() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        ScriptedPeer box = box(e -> {
            assertTrue(go.await(10, TimeUnit.SECONDS));
            SERVES.play(e);
        });
        routerOver(box);
        Caller early = caller().send(Caller.prompt("a1", "{}"));
        Caller idle = caller().send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
        assertTrue(idle.readTo("ready").startsWith("HTTP/1.1 200 "));
        assertNotNull(box.attempts.poll(10, TimeUnit.SECONDS));
        Thread leaving = new Thread(() -> {
            try {
                router.leave();
            } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
        leaving.start();
        await("leaving", () -> router.lifecycle().phase() != Phase.SERVING);
        Caller late = caller().send(Caller.prompt("a2", "{}"));
        assertNotNull("still taken", box.attempts.poll(10, TimeUnit.SECONDS));
        assertEquals("", idle.readAll());
        assertFalse(router.lifecycle().ready());
        go.countDown();
        for (Caller c : List.of(early, late)) {
            String answer = c.readAll();
            assertTrue(answer, answer.contains("\r\nConnection: close\r\n") && answer.endsWith("0\r\n\r\n"));
        }
        leaving.join(15_000);
        assertEquals(Phase.STOPPED, router.lifecycle().phase());
        assertNull(box.attempts.poll());
    }

    /** Some clients ask once and keep their connection for good, others connect and say nothing. */
    @Test public void connectionsWithoutARequestAreClosedAndTheLongestIdleFirstWherePlacesAreShort() throws Exception {
        ScriptedPeer box = box(SERVES);
        routerIn(keep(new Deployment("127.0.0.1:0", 160, box)));
        List<Caller> crowd = new ArrayList<>();
        for (int i = 0; i < 160; i++) {
            crowd.add(caller());
            if (i % 2 == 0) {
                crowd.get(i).send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").readTo("ready");
            }
        }
        String answer = caller().send(Caller.prompt("a", "{}")).readTo("0\r\n\r\n");
        assertTrue(answer, answer.startsWith("HTTP/1.1 200 "));
        assertEquals("the first one served made room", "", crowd.get(0).readAll());
        long from = System.nanoTime();
        assertEquals("one that says nothing is closed", "", crowd.get(159).readAll());
        assertTrue(System.nanoTime() - from < 3_000_000_000L);
        assertEquals("and one that has asked once", "", crowd.get(158).readAll());
    }

    /** Hundreds of threads that only wait cost more CPU than all requests, whenever the process is stopped and goes on. */
    @Test public void aConnectionWithNothingToDoHasNoThread() throws Exception {
        routerOver(box(SERVES));
        long from = System.nanoTime();
        List<Caller> still = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            still.add(caller().send(Caller.prompt("a" + i, "{}")));
            still.get(i).readTo("0\r\n\r\n");
        }
        await("no threads", () -> Thread.getAllStackTraces().keySet().stream().map(Thread::getName)
                .noneMatch(n -> n.equals("client") || n.startsWith("to /")));
        assertEquals("a new request gets one", "HTTP/1.1 200 OK\r\n", ask(Caller.prompt("b", "{}")));
        assertTrue("and this before the idle ones are closed", System.nanoTime() - from < 2_500_000_000L);
    }

    /** Head and body have one limit together; each byte in time must not hold a place for ever. */
    @Test public void aRequestThatTricklesOrStaysShortIsAnsweredWithin3Seconds() throws Exception {
        ScriptedPeer box = box(SERVES);
        routerOver(box);
        long from = System.nanoTime();
        Caller shortBody = caller().send(Caller.prompt("a1", "{}").replace("Content-Length: 2", "Content-Length: 20"));
        Caller halfHead = caller().send("POST /v1/chat/completions HTTP/1.1\r\nHost:");
        Thread trickle = new Thread(() -> {
            try {
                while (true) {
                    halfHead.send(" ");
                    Thread.sleep(100);
                }
            } catch (IOException | InterruptedException e) {
                // the router has closed
            }
        });
        trickle.start();
        for (Caller c : List.of(shortBody, halfHead)) {
            String answer = c.readTo("\r\n");
            assertTrue(answer, answer.startsWith("HTTP/1.1 408 "));
        }
        assertTrue(System.nanoTime() - from < 3_000_000_000L);
        trickle.interrupt();
        assertEquals(0, box.attempts.size());
    }

    /** An open request's id on another connection would reach a box as a second copy. */
    @Test public void anIdThatIsTakenIsAConflict() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        ScriptedPeer box = box(e -> {
            assertTrue(go.await(10, TimeUnit.SECONDS));
            SERVES.play(e);
        });
        routerOver(box);
        Caller first = caller().send(Caller.prompt("a1", "{}"));
        assertNotNull(box.attempts.poll(10, TimeUnit.SECONDS));
        String second = caller().send(Caller.prompt("a1", "{}")).readAll();
        assertTrue(second, second.startsWith("HTTP/1.1 409 "));
        go.countDown();
        assertTrue(first.readTo("0\r\n\r\n").startsWith("HTTP/1.1 200 "));
        assertNull(box.attempts.poll());
    }

    /** Only a little of a body far too large is read, yet its client is not reset before it has seen the answer. */
    @Test public void aClientThatSendsOnAndOnSeesItsAnswer() throws Exception {
        routerOver(box(SERVES));
        Caller caller = caller().send(Caller.prompt("a1", "{}").replace("Content-Length: 2", "Content-Length: 60000000"));
        Thread sends = new Thread(() -> {
            try {
                for (int i = 0; i < 60; i++) {
                    caller.send("x".repeat(1_000_000));
                }
            } catch (IOException e) {
                // the router has closed
            }
        });
        sends.start();
        String answer = caller.readTo("too large");
        assertTrue(answer, answer.startsWith("HTTP/1.1 413 "));
        sends.join(6_000);
        assertFalse("and the connection ends", sends.isAlive());
    }

    private static final String HEAD = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";

    /** Its box holds the connection open; nobody may wait for the end of what has none. */
    @Test public void aStreamSpoiltBeforeItsFirstEventGoesToAnotherBoxAtOnce() throws Exception {
        String[] spoilt = {"\u0001\u0002noise without an end", "HTTP/1.1 200 OK\r\nX-Never: ", HEAD,
            HEAD + "\r\nwhat?\r\n", HEAD + "\r\nC0000000\r\nxxxx", HEAD + "\r\n3\r\nxxxxxxx"};
        for (int i = 0; i < spoilt.length; i++) {
            String text = spoilt[i];
            ScriptedPeer bad = box(e -> {
                e.write(text);
                e.awaitClose();
            });
            routerOver(bad, box(SERVES));
            for (int n = 0; bad.attempts.isEmpty(); n++) {
                assertTrue("the bad box was never tried", n < 200);
                long from = System.nanoTime();
                String answer = caller().send(Caller.prompt("a" + n, "{}")).readTo("\r\n");
                assertTrue(text + ": " + answer, answer.startsWith("HTTP/1.1 200 "));
                assertTrue(text + " in good time", System.nanoTime() - from < 1_500_000_000L);
            }
            router.close();
        }
    }

    /** Noise that comes byte by byte in the place of the first event leaves its request to another attempt in time. */
    @Test public void aFirstEventOfNoiseWithoutEndIsGivenUpForAnother() throws Exception {
        ScriptedPeer noisy = box(e -> {
            e.streamHead();
            e.drip("x", 50);
        });
        routerOver(noisy, box(SERVES));
        for (int i = 0; i < 6; i++) {
            String answer = caller().send(Caller.prompt("a" + i, "{}").replace("7f3a9c21e0b4d655", "000000000000000" + i)).readTo("\r\n\r\n");
            assertTrue(answer, answer.startsWith("HTTP/1.1 200 "));
        }
        assertFalse("the noisy one was tried", noisy.attempts.isEmpty());
    }

    @Test public void aStreamSpoiltLaterEndsWithoutTheLastChunk() throws Exception {
        for (String noise : List.of("zz\r\n", "C0000000\r\nxxxx", "x".repeat(300), "5\r\nxxxxxxxxx")) {
            routerOver(box(e -> {
                e.streamHead();
                e.chunk(ONE);
                e.write(noise);
                e.awaitClose();
            }));
            long from = System.nanoTime();
            String answer = caller().send(Caller.prompt("a1", "{}")).readAll();
            assertTrue(answer, answer.contains(chunk(ONE)) && !answer.endsWith("0\r\n\r\n"));
            assertTrue(System.nanoTime() - from < 3_000_000_000L);
            router.close();
        }
    }

    /** 1xx answers ahead and bytes behind do a good stream no harm; the connection that has them is not used again. */
    @Test public void aGoodStreamWithMoreThanBelongsToItIsServed() throws Exception {
        ScriptedPeer box = box(e -> {
            e.write("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n");
            e.streamHead();
            e.chunk(ONE + TWO + DONE);
            e.chunk(": Srv-Load: {\"q\":1e999,\n\n");
            e.write("0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad");
        });
        routerOver(box);
        for (int i = 0; i < 5; i++) {
            String answer = caller().send(Caller.prompt("a" + i, "{}")).readTo("0\r\n\r\n");
            assertTrue(answer, answer.contains(chunk(ONE)));
        }
        assertEquals(5, box.attempts.size());
    }

    /** A body that a box cannot use says nothing about the box: without it a few bad clients shut the boxes out. */
    @Test public void aBoxThatTurnsARequestDownAsWrongStaysInUse() throws Exception {
        ScriptedPeer.Script picky = e -> {
            if (e.body().contains("bad")) {
                e.answer("400 Bad Request", "", "");
            } else {
                SERVES.play(e);
            }
        };
        routerOver(box(picky), box(picky), box(picky));
        for (int i = 0; i < 3; i++) {
            assertTrue(ask(Caller.prompt("bad" + i, "{\"x\":\"bad\"}")).startsWith("HTTP/1.1 503 "));
        }
        long from = System.nanoTime();
        assertTrue(ask(Caller.prompt("good", "{}")).startsWith("HTTP/1.1 200 "));
        assertTrue("served at once", System.nanoTime() - from < 400_000_000L);
    }
}
