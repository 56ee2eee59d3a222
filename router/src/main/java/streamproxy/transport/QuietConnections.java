package streamproxy.transport;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.tinylog.Logger;

/**
 * The connections on which nothing is under way, watched by one thread for all. They are many, and a thread for each
 * would cost its stack, and a switch whenever the process is stopped and goes on. Once a byte has come a connection
 * leaves, blocking as it was, and is read and written by a thread of its own.
 */
public final class QuietConnections {
    /** Whose connection it is; called on the watching thread, which must not be kept. */
    public interface Owner {
        /** The peer has sent something: the connection is the owner's again. */
        void arrived();

        /** The peer has closed, or has been quiet for as long as it may. */
        void over();
    }

    private record Guest(Connection connection, long until, Owner owner) { }

    /** How often those that have been quiet for too long are looked for. */
    private static final long ROUND_MS = 50;

    private final Queue<Guest> comers = new ConcurrentLinkedQueue<>();
    private final Selector selector;

    public QuietConnections() throws IOException { selector = Selector.open(); }

    public void start() { Threads.start("quiet connections", this::run); }

    /** Watches a connection until that time of {@link System#nanoTime}; nobody else may read it meanwhile. */
    public void add(Connection connection, long until, Owner owner) {
        comers.add(new Guest(connection, until, owner));
        selector.wakeup();
    }

    /** A connection was closed from elsewhere: its descriptor is given back once the watch has let go of it. */
    public void letGo() { selector.wakeup(); }

    private void run() {
        long roundAt = 0;
        while (true) {
            try {
                selector.select(ROUND_MS);
                List<Guest> leaving = new ArrayList<>();
                for (SelectionKey key : selector.selectedKeys()) {
                    leave(key, leaving);
                }
                selector.selectedKeys().clear();
                long now = System.nanoTime();
                if (now >= roundAt) {
                    roundAt = now + ROUND_MS * 1_000_000;
                    for (SelectionKey key : selector.keys()) {
                        if (key.isValid() && ((Guest) key.attachment()).until <= now) {
                            leave(key, leaving);
                        }
                    }
                }
                if (!leaving.isEmpty()) {
                    selector.selectNow(); // takes the keys off, without which no connection can block again
                    selector.selectedKeys().clear();
                    leaving.forEach(QuietConnections::handOver);
                }
                for (Guest comer = comers.poll(); comer != null; comer = comers.poll()) {
                    enter(comer);
                }
            } catch (IOException | RuntimeException | OutOfMemoryError e) {
                Logger.error(e, "the watch of quiet connections goes on after");
            }
        }
    }

    private static void leave(SelectionKey key, List<Guest> leaving) {
        leaving.add((Guest) key.attachment());
        key.cancel();
    }

    private void enter(Guest comer) {
        try {
            if (!comer.connection.watch(selector, comer)) {
                comer.owner.arrived(); // it had more than its last request needed
            }
        } catch (IOException e) {
            comer.owner.over();
        }
    }

    /** What came at the last moment counts, even if the time was up. */
    private static void handOver(Guest guest) {
        try {
            if (guest.connection.look() == Connection.Look.DATA) {
                guest.owner.arrived();
            } else {
                guest.owner.over();
            }
        } catch (RuntimeException | OutOfMemoryError e) { // no thread to be had
            Logger.warn(e, "a connection could not be read");
            guest.owner.over();
        }
    }
}
