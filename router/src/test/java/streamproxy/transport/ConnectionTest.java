package streamproxy.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What a look at a connection finds, whatever its peer has sent before it ended it. */
@Timeout(60)
class ConnectionTest {
    private static final long PATIENCE = 20_000_000_000L;

    private ServerSocket server;
    private Socket peer;
    private Connection connection;

    @BeforeEach void connect() throws Exception {
        server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        connection = Connection.open(new Budget(1));
        connection.connect((InetSocketAddress) server.getLocalSocketAddress(), 1_000_000_000L);
        peer = server.accept();
    }

    @AfterEach void close() throws Exception {
        connection.close();
        peer.close();
        server.close();
    }

    private static void await(BooleanSupplier condition) {
        long until = System.nanoTime() + PATIENCE;
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < until, "not in time");
            Thread.onSpinWait();
        }
    }

    @Test void anEndIsFoundBehindWhatIsKeptAndThatCanStillBeRead() throws Exception {
        byte[] ahead = new byte[5_000];
        ahead[4_999] = 7;
        peer.getOutputStream().write(ahead);
        peer.shutdownOutput();
        await(connection::hasEnded);
        assertFalse(connection.isSpoilt());
        int read = 0;
        int last = 0;
        for (int c = connection.read(1); c >= 0; c = connection.read(1)) {
            last = c;
            read++;
        }
        assertEquals(5_000, read);
        assertEquals(7, last);
    }

    @Test void aPeerThatSendsOnAndOnIsReadForASetAmountAndItsEndFoundWithinThat() throws Exception {
        assertFalse(connection.hasEnded(), "nothing has come");
        peer.getOutputStream().write(new byte[100_000]);
        await(() -> !connection.hasEnded() && connection.isSpoilt());
        peer.close();
        await(connection::hasEnded);
    }

    /** More than a receive buffer holds comes in several looks; each throws away what is there. */
    @Test void theEndOfAPeerThatSentVeryMuchIsFound() throws Exception {
        Thread sends = new Thread(() -> {
            try {
                peer.getOutputStream().write(new byte[4 * 1024 * 1024]);
                peer.close();
            } catch (java.io.IOException e) {
                throw new IllegalStateException(e);
            }
        });
        sends.start();
        await(connection::hasEnded);
        assertTrue(connection.isSpoilt());
        sends.join();
    }

    @Test void aFloodIsNotReadForEver() throws Exception {
        Thread floods = new Thread(() -> {
            try {
                while (true) {
                    peer.getOutputStream().write(new byte[64 * 1024]);
                }
            } catch (java.io.IOException e) {
                // the test is over
            }
        });
        floods.start();
        await(() -> !connection.hasEnded() && connection.isSpoilt());
        long until = System.nanoTime() + 200_000_000L;
        while (System.nanoTime() < until) { // each look comes back, however much has come
            assertFalse(connection.hasEnded());
        }
        connection.close();
        peer.close();
        floods.join(10_000);
        assertFalse(floods.isAlive());
    }

    @Test void aResetIsAnEnd() throws Exception {
        peer.getOutputStream().write(1);
        peer.setSoLinger(true, 0);
        peer.close();
        await(connection::hasEnded);
        assertTrue(connection.hasEnded());
    }
}
