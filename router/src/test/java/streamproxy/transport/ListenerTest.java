package streamproxy.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What a listener does with connections that come as it closes. */
@Timeout(60)
class ListenerTest {
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final long SECOND = 1_000_000_000L;

    private final BlockingQueue<Connection> taken = new LinkedBlockingQueue<>();

    private Socket connect(Listener listener) throws Exception {
        Socket socket = new Socket(listener.address().getAddress(), listener.address().getPort());
        socket.setSoTimeout(10_000);
        return socket;
    }

    /** A whole request may lie in the backlog; closing the listening socket would reset its connection. */
    @Test void connectionsInTheBacklogAreAcceptedBeforeTheListenerIsClosed() throws Exception {
        CountDownLatch asked = new CountDownLatch(1);
        Listener listener = new Listener(ANY_PORT, new Listener.Gate() {
            @Override public long waitNs() {
                asked.countDown();
                return SECOND; // accepts nothing by itself
            }

            @Override public void comes(Connection connection) { taken.add(connection); }

            @Override public void outOfDescriptors() { }
        });
        listener.start();
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            clients.add(connect(listener));
            clients.get(i).getOutputStream().write(i);
        }
        asked.await();
        listener.close();
        assertEquals(5, taken.size(), "connections that the gate has once the listener is closed");
        for (Socket client : clients) {
            Connection connection = taken.remove();
            int sent = connection.read(SECOND);
            connection.write(new byte[] {(byte) (sent + 1)});
            connection.close();
            assertEquals(sent + 1, client.getInputStream().read(), "answered, not reset");
            client.close();
        }
    }

    /** Who closes the listener goes on to count the connections that are held: one just accepted must be among them. */
    @Test void closingWaitsForTheConnectionThatIsBeingHandedOver() throws Exception {
        CountDownLatch comes = new CountDownLatch(1);
        CountDownLatch go = new CountDownLatch(1);
        Listener listener = new Listener(ANY_PORT, new Listener.Gate() {
            @Override public long waitNs() { return 0; }

            @Override public void comes(Connection connection) {
                comes.countDown();
                try {
                    go.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                taken.add(connection);
            }

            @Override public void outOfDescriptors() { }
        });
        listener.start();
        Socket client = connect(listener);
        comes.await();
        Thread closes = new Thread(() -> {
            try {
                listener.close();
            } catch (java.io.IOException e) {
                throw new IllegalStateException(e);
            }
        });
        closes.start();
        while (closes.isAlive() && closes.getState() != Thread.State.TIMED_WAITING) {
            Thread.onSpinWait();
        }
        assertTrue(closes.isAlive(), "the listener was closed before the connection was handed over");
        go.countDown();
        closes.join();
        assertEquals(1, taken.size());
        taken.remove().close();
        client.close();
    }
}
