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
    @Test void bytesThatWaitAreReadFirstAndThenTheTimeHolds() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
                Connection connection = Connection.open(new Budget(1))) {
            connection.connect((InetSocketAddress) server.getLocalSocketAddress(), 1_000_000_000L);
            try (Socket peer = server.accept()) {
                Timers timers = new Timers(); // not started: the test has its timers go off
                RequestReadTimeout whole = new RequestReadTimeout(connection, timers);
                peer.getOutputStream().write('a');
                for (long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(10); !connection.hasArrived();) {
                    assertTrue(System.nanoTime() < until, "not in time");
                    Thread.onSpinWait();
                }
                whole.due(System.nanoTime());
                assertFalse(whole.isOver());
                assertTrue(timers.end(whole), "it is looked at again");
                assertEquals('a', connection.read(0));
                whole.due(System.nanoTime());
                assertTrue(whole.isOver());
                assertThrows(IOException.class, () -> connection.read(0), "nothing is read any more");
                assertEquals(Connection.Look.QUIET, connection.look(), "which does not look as if the peer had gone");
            }
        }
    }
}
