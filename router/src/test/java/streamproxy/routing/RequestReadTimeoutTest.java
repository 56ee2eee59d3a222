package streamproxy.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import streamproxy.transport.Budget;
import streamproxy.transport.Connection;
import streamproxy.transport.Timers;

/** On a day of restarts requests were ended whose bytes the router, short of CPU, had not read yet. */
class RequestReadTimeoutTest {
    private static final long CONNECT_NS = TimeUnit.SECONDS.toNanos(1);

    private final Timers timers = new Timers(); // not started: the tests have its timers go off

    /** A connection to a peer that has sent one byte, and the limit on reading the request that begins with it. */
    private interface Story {
        void play(Connection connection, RequestReadTimeout whole) throws Exception;
    }

    private void withOneByteFromThePeer(Story story) throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
                Connection connection = Connection.open(new Budget(1))) {
            connection.connect((InetSocketAddress) server.getLocalSocketAddress(), CONNECT_NS);
            try (Socket peer = server.accept()) {
                peer.getOutputStream().write('a');
                for (long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(10); !connection.hasArrived();) {
                    assertTrue(System.nanoTime() < until, "not in time");
                    Thread.onSpinWait();
                }
                story.play(connection, new RequestReadTimeout(connection, timers));
            }
        }
    }

    private void assertLooksAgain(RequestReadTimeout whole) {
        whole.due(System.nanoTime());
        assertFalse(whole.isOver());
        assertTrue(timers.end(whole), "it is looked at again");
    }

    @Test void bytesThatWaitAreReadFirstAndThenTheTimeHolds() throws Exception {
        withOneByteFromThePeer((connection, whole) -> {
            assertLooksAgain(whole);
            assertEquals('a', connection.read(0));
            whole.due(System.nanoTime());
            assertTrue(whole.isOver());
            assertThrows(IOException.class, () -> connection.read(0), "nothing is read any more");
            assertEquals(Connection.Look.QUIET, connection.look(), "which does not look as if the peer had gone");
        });
    }

    /** The watch of quiet connections reads the first bytes of a request; its exchange's thread may get to them late. */
    @Test void bytesThatTheWatchHasReadAreTakenFirstToo() throws Exception {
        withOneByteFromThePeer((connection, whole) -> {
            assertEquals(Connection.Look.DATA, connection.look());
            assertLooksAgain(whole);
            assertEquals('a', connection.read(0));
            whole.due(System.nanoTime());
            assertTrue(whole.isOver());
        });
    }
}
