package streamproxy.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;
import java.util.function.Predicate;
import streamproxy.timing.TimerWheel;

/**
 * The connections on which nothing is under way, watched by one thread for all. They are many, and a thread for each
 * would cost its stack, and a switch whenever the process is stopped and goes on. Once a byte has come a connection
 * leaves, blocking as it was, and is read and written by a thread of its own.
 *
 * <p>How long each may stay quiet is kept on a timing wheel, so that the watch costs what happens and not what it
 * watches. With nothing due and nothing coming its thread looks up some times a second, so that it is known how old at most
 * what comes is.
 */
public final class QuietConnections {
    /** Whose connection it is; called on the watching thread, which must not be kept. */
    public interface Owner {
        /** The peer has sent something: the connection is the owner's again. */
        void arrived();

        /** The peer has closed, or has been quiet for as long as it may: the connection is the owner's, to close. */
        void over();
    }

    /** One connection under watch. */
    public class Watch extends TimerWheel.Timer {
        private final Connection connection;
        private final Owner owner;
        private long until;
        private SelectionKey key;
        private long registeredAt;
        private boolean left; // the watching thread alone touches this, the next two, the key and the time
        private Consumer<Watch> handsOver; // what is done once the selector has let go of it
        private Watch nextLeaving;

        Watch(Connection connection, long until, Owner owner) {
            this.connection = connection;
            this.until = until;
            this.owner = owner;
        }

        @Override protected void due(long now) { leave(this, Watch::handOver); }

        void readable() { leave(this, Watch::handOver); }

        /** Begins the watch; false where it need not begin, as something is there already. */
        boolean begin() throws IOException { return connection.watch(selector, this); }

        /** What came at the last moment counts, even if the time was up. */
        void handOver() {
            if (connection.look() == Connection.Look.DATA) {
                owner.arrived();
            } else {
                owner.over();
            }
        }
    }

    /**
     * A connection whose last word is being said. Closing at once over bytes that nobody read would reset it, and the
     * last word might be lost; so what still comes is read and thrown away until the peer closes, its time is up, or it
     * has sent too much: then the rest stays with it.
     */
    private final class LingeringClose extends Watch {
        private final byte[] lastWord;
        private int unwanted;

        LingeringClose(Connection connection, long until, byte[] lastWord, Runnable closed) {
            super(connection, until, new Owner() {
                @Override public void arrived() { closed.run(); }

                @Override public void over() { closed.run(); }
            });
            this.lastWord = lastWord;
        }

        @Override boolean begin() throws IOException { return super.connection.linger(lastWord, selector, this); }

        @Override void readable() {
            int n = super.connection.discard(scratch);
            unwanted += n;
            if (n < 0) {
                leave(this, Watch::handOver);
            } else if (unwanted > UNWANTED) {
                super.key.interestOps(0); // its time ends it
            }
        }

        @Override void handOver() {
            super.connection.close();
            super.owner.over();
        }
    }

    private record Ask(Watch watch, Consumer<Boolean> then) { }

    /** The wheel's ticks are about a millisecond long, the finest that a selector waits. */
    private static final int TICK_SHIFT = 20;
    private static final long MS = 1_000_000L;
    /** How often it is noted that nothing has come. */
    private static final long LOOK_MS = 50;
    /** Where one look finds so many connections ready it may have left others out: a selector tells of 512 at a time. */
    private static final int READY_MOST = 500;
    /** So much of what a peer that is being left still sends is read. */
    private static final int UNWANTED = 64 * 1024;

    private final Queue<Watch> comers = new ConcurrentLinkedQueue<>();
    private final Queue<Ask> asks = new ConcurrentLinkedQueue<>();
    private final Queue<Predicate<Owner>> sweeps = new ConcurrentLinkedQueue<>();
    /** Those that the selector is about to let go of, linked by themselves: none is lost for want of memory. */
    private Watch firstLeaving;
    private Watch lastLeaving;
    private final ByteBuffer scratch = ByteBuffer.allocateDirect(8 * 1024);
    private final Selector selector;
    /** At that moment nothing was there to read of any connection that is watched, but for those found ready since. */
    private long quietAt = System.nanoTime();
    private final TimerWheel wheel = new TimerWheel(TICK_SHIFT, System.nanoTime());

    public QuietConnections() throws IOException { selector = Opening.retrying("selector", Selector::open); }

    public void start() { Threads.startAtStart("quiet connections", this::run); }

    /** Watches a connection until that time of {@link System#nanoTime}; nobody else may read it meanwhile. */
    public Watch add(Connection connection, long until, Owner owner) {
        Watch watch = new Watch(connection, until, owner);
        comers.add(watch);
        selector.wakeup();
        return watch;
    }

    /**
     * Ends a watch from elsewhere. {@code then} is told, on the watching thread, whether the connection was quiet up to
     * now and is the caller's, blocking as it was; else its owner has it already.
     */
    public void release(Watch watch, Consumer<Boolean> then) {
        asks.add(new Ask(watch, then));
        selector.wakeup();
    }

    /** A watched connection was closed from elsewhere: its descriptor is given back once the watch has let go of it. */
    public void letGo(Watch watch) { release(watch, quiet -> { }); }

    /**
     * Says a last word, if the peer takes it at once, and closes the connection once the peer has, or when that time of
     * {@link System#nanoTime} has come; then {@code closed} is run. The connection is not watched before.
     */
    public void linger(Connection connection, byte[] lastWord, long until, Runnable closed) {
        comers.add(new LingeringClose(connection, until, lastWord, closed));
        selector.wakeup();
    }

    /** Ends the watch of all whose owner it is told of and wants ended, as though their time were up. Looks at each, once. */
    public void endAll(Predicate<Owner> wanted) {
        sweeps.add(wanted);
        selector.wakeup();
    }

    private void run() {
        while (true) {
            try {
                long lookedAt = System.nanoTime();
                int ready = selector.selectNow();
                if (ready == 0 && comers.isEmpty() && asks.isEmpty() && sweeps.isEmpty() && firstLeaving == null) {
                    quietAt = lookedAt;
                    lookedAt = System.nanoTime();
                    ready = selector.select(waitMs(lookedAt));
                }
                round();
                if (ready < READY_MOST) {
                    quietAt = lookedAt;
                }
            } catch (IOException | RuntimeException | Error e) {
                SafeLog.error(e, "the watch of quiet connections goes on after");
            }
        }
    }

    /** How long to wait for the next event; never for long, so that it is known how old what comes can be. */
    private long waitMs(long now) {
        long next = wheel.nextAt();
        return next == Long.MAX_VALUE ? LOOK_MS : Math.min(LOOK_MS, Math.max(1, (next - now + MS - 1) / MS));
    }

    private void round() throws IOException {
        for (SelectionKey key : selector.selectedKeys()) {
            if (key.isValid()) {
                ((Watch) key.attachment()).readable();
            } else {
                end((Watch) key.attachment()); // closed from elsewhere
            }
        }
        selector.selectedKeys().clear();
        wheel.advance(System.nanoTime());
        for (Ask ask = asks.poll(); ask != null; ask = asks.poll()) {
            release(ask);
        }
        for (Predicate<Owner> sweep = sweeps.poll(); sweep != null; sweep = sweeps.poll()) {
            enterAll(); // those that are about to be watched, too
            for (SelectionKey key : selector.keys()) {
                Watch watch = (Watch) key.attachment();
                if (!watch.left && sweep.test(watch.owner)) {
                    leave(watch, Watch::handOver);
                }
            }
        }
        if (firstLeaving != null) {
            selector.selectNow(); // takes the keys off, without which no connection can block again
            selector.selectedKeys().clear(); // what else it found is found again
            handOverLeaving();
        }
        enterAll();
    }

    private void handOverLeaving() {
        Watch next = firstLeaving;
        firstLeaving = null;
        lastLeaving = null;
        while (next != null) {
            Watch watch = next;
            next = watch.nextLeaving;
            watch.nextLeaving = null;
            handOver(watch);
        }
    }

    private static void handOver(Watch watch) {
        try {
            watch.handsOver.accept(watch);
        } catch (RuntimeException | Error e) { // no thread or memory to be had
            SafeLog.error(e, "a connection could not be read");
            endSafely(watch);
        }
    }

    private static void endSafely(Watch watch) {
        try {
            watch.owner.over();
        } catch (RuntimeException | Error e) { // the connections behind this one are handed over all the same
            SafeLog.error(e, "the watch of quiet connections goes on after");
        }
    }

    private void release(Ask ask) {
        if (ask.watch.left) {
            runSafely(() -> ask.then.accept(false));
        } else {
            leave(ask.watch, watch -> {
                boolean still = watch.connection.look() == Connection.Look.QUIET; // as the last moment has it
                if (!still) {
                    watch.owner.over();
                }
                ask.then.accept(still);
            });
        }
    }

    /** Takes it off the wheel and the selector; the rest is done once the selector has let go of it. */
    private void leave(Watch watch, Consumer<Watch> then) {
        if (end(watch)) {
            if (watch.key != null && quietAt - watch.registeredAt > 0) {
                watch.connection.wasEmptyAt(quietAt);
            }
            watch.handsOver = then;
            if (firstLeaving == null) {
                firstLeaving = watch;
            } else {
                lastLeaving.nextLeaving = watch;
            }
            lastLeaving = watch;
        }
    }

    private boolean end(Watch watch) {
        if (watch.left) {
            return false;
        }
        watch.left = true;
        wheel.end(watch);
        if (watch.key != null) {
            watch.key.cancel();
        }
        return true;
    }

    private static void runSafely(Runnable work) {
        try {
            work.run();
        } catch (RuntimeException | Error e) { // the connections behind this one are handed over all the same
            SafeLog.error(e, "the watch of quiet connections goes on after");
        }
    }

    private void enterAll() throws IOException {
        for (Watch comer = comers.poll(); comer != null; comer = comers.poll()) {
            enter(comer);
        }
    }

    private void enter(Watch comer) throws IOException {
        if (comer.left) {
            return;
        }
        try {
            if (begin(comer)) {
                comer.key = comer.connection.keyFor(selector);
                comer.registeredAt = System.nanoTime();
                wheel.set(comer, comer.until);
            } else {
                comer.left = true;
                comer.owner.arrived(); // it had more than its last request needed
            }
        } catch (IOException e) {
            comer.left = true;
            comer.handOver();
        } catch (RuntimeException | Error e) { // no thread or memory to be had
            SafeLog.error(e, "a connection could not be read");
            endSafely(comer);
        }
    }

    private boolean begin(Watch comer) throws IOException {
        try {
            return comer.begin();
        } catch (CancelledKeyException e) { // an earlier watch of it has ended since the last round
            selector.selectNow();
            selector.selectedKeys().clear();
            return comer.begin();
        }
    }
}
