package streamproxy.lab.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import streamproxy.lab.RouterProcess;

/** What callers and replicas see of a router as a process over many replicas, and while threads or memory are short. */
@Timeout(120)
class ResourceShortageIntegrationTest {
    private static final int MANY = 3_200;
    private static final int SOME = 400;
    /** Room for the JVM's threads, the router's own, and a few requests. */
    private static final int FEW_THREADS = 48;
    /** Threads that a router may have whatever the length of its list. */
    private static final int OWN_THREADS = 40;
    /** The deploy page's limit for the memory of a router. */
    private static final long MEMORY_KB = 192 * 1024;
    private static final int REQUESTS = 20;
    private static final int MACHINE_SHORT = 4;
    /** Room for the JVM's threads and a few of a router's own. */
    private static final int START_HALF_WAY = 22;

    private RouterUnderFaults router;

    @AfterEach void end() throws Exception { router.close(); }

    private int served(int requests, String name) throws Exception {
        int served = 0;
        for (int i = 0; i < requests; i++) {
            try (Socket client = router.connect()) {
                served += RouterUnderFaults.status(client, RouterUnderFaults.prompt(name + i, "3.000", 2)) == 200 ? 1 : 0;
            }
        }
        return served;
    }

    private void assertLeavesWell() throws Exception {
        router.process.terminate();
        assertTrue(router.process.process().waitFor(10, TimeUnit.SECONDS), "it ends");
        assertEquals(0, router.process.process().exitValue(), router.process.log());
    }

    @Test void aReplicaThatIsNotUsedCostsNoThread() throws Exception {
        router = new RouterUnderFaults(MANY);
        assertEquals(REQUESTS, served(REQUESTS, "a"));
        assertTrue(router.threads() <= OWN_THREADS, router.threads() + " threads");
        assertTrue(RouterProcess.residentKb(router.process.process().pid()) < MEMORY_KB, "memory");
        assertLeavesWell();
    }

    @Test void aListOfThousandsIsReadWhereNoneWasKnown() throws Exception {
        router = new RouterUnderFaults(MANY, none -> { }, false);
        router.awaitReady();
        assertEquals(REQUESTS, served(REQUESTS, "a"));
        assertLeavesWell();
    }

    @Test void moreReplicasThanThreadsAreServedFrom() throws Exception {
        router = new RouterUnderFaults(SOME, faults -> faults.begin(SystemCall.THREAD, Fault.threadsMost(FEW_THREADS)));
        router.awaitReady();
        assertEquals(REQUESTS, served(REQUESTS, "a"));
        assertLeavesWell();
    }

    @Test void aStartThatFindsNoThreadSaysSoInOneLineWithACodeOfItsOwn() throws Exception {
        router = new RouterUnderFaults(2, faults -> faults.begin(SystemCall.THREAD, Fault.threadsMost(17)));
        assertTrue(router.process.process().waitFor(30, TimeUnit.SECONDS), "it ends");
        assertEquals(MACHINE_SHORT, router.process.process().exitValue(), router.process.log());
        assertEquals(1, router.process.log().lines().filter(line -> line.startsWith("streamproxy: ")).count(), router.process.log());
        assertFalse(router.process.log().contains("\tat "), router.process.log());
    }

    @Test void aStartThatFindsNoThreadForAMomentIsTriedAgain() throws Exception {
        router = new RouterUnderFaults(2, faults -> faults.begin(SystemCall.THREAD, Fault.threadsMost(17)));
        RouterUnderFaults.await("threads are refused", () -> router.faults.hits(SystemCall.THREAD) > 3);
        router.faults.endAll();
        router.awaitReady();
        assertLeavesWell();
    }

    @Test void aShutdownThatComesBeforeTheStartIsOverEndsIt() throws Exception {
        router = new RouterUnderFaults(2, faults -> faults.begin(SystemCall.THREAD, Fault.threadsMost(START_HALF_WAY)));
        RouterUnderFaults.await("threads are refused", () -> router.faults.hits(SystemCall.THREAD) > 3);
        assertLeavesWell();
    }

    @Test void aRouterThatFindsNoMoreThreadsLeavesWell() throws Exception {
        router = new RouterUnderFaults(2);
        assertEquals(REQUESTS, served(REQUESTS, "a"));
        router.faults.begin(SystemCall.THREAD, Fault.threadsMost(router.threads()));
        for (int i = 0; i < REQUESTS; i++) {
            try (Socket client = router.connect()) {
                int status = RouterUnderFaults.status(client, RouterUnderFaults.prompt("b" + i, "3.000", 2));
                assertTrue(status == 200 || status == 503, "status " + status);
            }
        }
        assertLeavesWell();
    }

    @Test void aShutdownIsHeardThoughNoThreadCanBeHadForItsSignal() throws Exception {
        router = new RouterUnderFaults(2);
        assertEquals(REQUESTS, served(REQUESTS, "a"));
        router.faults.begin(SystemCall.THREAD, Fault.failing(Errno.EAGAIN, 1));
        assertLeavesWell();
    }

    @Test void aRouterServesAgainOnceThereAreThreads() throws Exception {
        router = new RouterUnderFaults(2);
        router.faults.begin(SystemCall.THREAD, Fault.failing(Errno.EAGAIN, 1));
        try (Socket client = router.connect()) {
            assertEquals(503, RouterUnderFaults.status(client, RouterUnderFaults.prompt("a", "3.000", 2)));
        }
        router.faults.endAll();
        assertEquals(REQUESTS, served(REQUESTS, "b"));
        assertLeavesWell();
    }

    @Test void aConnectionThatReachesItselfIsNoAttempt() throws Exception {
        router = new RouterUnderFaults(2);
        router.faults.begin(SystemCall.SELF, Fault.failing(Errno.NONE, 1));
        router.standIns().away(true);
        int port = RouterProcess.free().getPort(); // nobody listens there
        router.standIns().advertise(0, port);
        router.standIns().advertise(1, port);
        router.standIns().away(false);
        router.standIns().tell(0, "ready");
        router.standIns().tell(1, "ready");
        RouterUnderFaults.await("it connects to itself", () -> !router.serves() && router.logs("reached itself"));
    }
}
