package streamproxy.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import streamproxy.dispatch.RuleMonitor;
import streamproxy.lifecycle.DrainState;
import streamproxy.limits.RetryAfterSchedule;
import streamproxy.limits.ConnectionLimits;
import streamproxy.transport.Budget;
import streamproxy.transport.Connection;
import streamproxy.transport.QuietConnections;
import streamproxy.transport.Timers;

class ClientConnectionTest {
    /**
     * The first byte of a request comes at the moment at which its connection is chosen to be closed for another: the
     * watch has seen the byte, and the admission does not know of it yet.
     */
    @Test @Timeout(60) void aConnectionOnWhichARequestComesIsNotClosedForAnother() throws Exception {
        QuietConnections quiet = new QuietConnections();
        quiet.start();
        ClientConnections all = new ClientConnections(new ClientConnections.Desk(null, new Clock(), new AtomicReference<>(), List.of(),
                new Budget(1), new RecentRequestIds(), quiet, new Timers(), () -> true, () -> DrainState.SERVING, new RetryAfterSchedule(1), 0, Records.NONE,
                new Budget(1), RuleMonitor.silent()),
                ConnectionLimits.of(1024, 192, 48L << 20, new ConnectionLimits.Wishes(1, 0, 0, 0, 0, 0, 3, 2)));
        try (ServerSocket peers = new ServerSocket(0, 2, InetAddress.getLoopbackAddress())) {
            all.comes(connection(peers));
            Socket asks = peers.accept();
            synchronized (all) { // whoever makes room is here
                asks.getOutputStream().write('P');
                while (!isAsking()) {
                    Thread.onSpinWait();
                }
                all.comes(connection(peers));
                assertEquals(0, all.counts().spared());
                assertEquals(1, all.counts().held());
            }
            asks.close();
        }
    }

    private static Connection connection(ServerSocket to) throws Exception {
        Connection connection = Connection.open(new Budget(1));
        connection.connect((InetSocketAddress) to.getLocalSocketAddress(), 1_000_000_000L);
        return connection;
    }

    private static boolean isAsking() {
        return Thread.getAllStackTraces().entrySet().stream().anyMatch(e -> e.getKey().getState() == Thread.State.BLOCKED
                && Arrays.stream(e.getValue()).anyMatch(frame -> frame.getMethodName().equals("asks")));
    }
}
