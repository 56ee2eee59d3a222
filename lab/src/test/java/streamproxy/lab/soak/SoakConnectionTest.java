package streamproxy.lab.soak;

import static org.junit.jupiter.api.Assertions.assertFalse;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A client that writes without a look is told apart from one whose connection the router still holds. */
@Timeout(30)
class SoakConnectionTest {
    @Test void theRoutersEndShowsWithoutReadingAndNoSooner() throws Exception {
        try (ServerSocket router = new ServerSocket(0, 2, InetAddress.getByName("127.0.0.1"));
                SoakConnection ended = new SoakConnection((InetSocketAddress) router.getLocalSocketAddress());
                Socket endedAtRouter = router.accept();
                SoakConnection held = new SoakConnection((InetSocketAddress) router.getLocalSocketAddress());
                Socket heldAtRouter = router.accept()) {
            assertFalse(ended.isEndedByRouter());
            endedAtRouter.shutdownOutput();
            while (!ended.isEndedByRouter()) {
                Thread.onSpinWait();
            }
            assertFalse(held.isEndedByRouter());
            heldAtRouter.getOutputStream().write('x');
            assertFalse(held.isEndedByRouter(), "bytes are no end");
        }
    }
}
