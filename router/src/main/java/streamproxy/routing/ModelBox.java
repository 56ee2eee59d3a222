package streamproxy.routing;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.tinylog.Logger;
import streamproxy.decision.ReportLayout;
import streamproxy.decision.SettingsText;
import streamproxy.protocol.BoxEntry;
import streamproxy.decision.Routing.Outcome;
import streamproxy.limits.ConnectionLimits;
import streamproxy.limits.PoolLimits;
import streamproxy.limits.Ring;
import streamproxy.transport.Budget;
import streamproxy.transport.Connection;
import streamproxy.transport.QuietConnections;

/**
 * The actor of one model box: owns the pool of its connections and hands attempts and probes to them. It never
 * waits for the box; the connections' own threads do.
 */
final class ModelBox extends Actor<ModelBox.Message> {
    /** What the module's actor and the connections tell. */
    sealed interface Message { }

    private record Send(Attempt attempt) implements Message { }

    private record Probe(long at) implements Message { }

    private record Idle(BoxConnection connection) implements Message { }

    private record Over(BoxConnection connection) implements Message { }

    private record Again(BoxConnection.Errand errand) implements Message { }

    /** There is something to look at: a connection has ended, or the box drains or is gone. */
    private record Look() implements Message { }

    private static final int MAILBOX = 4096;
    /** Errands that wait for a connection where no more may be opened. */
    private static final int QUEUE = 1024;
    /**
     * One idle for so long is watched rather than looked at when it is used: those in use all the time are spared the
     * way to the watch and back, and the others cost nothing while they rest.
     */
    private static final long REST_AFTER = 100_000_000L;
    /** Share of the box's own time for idle connections after which ours are closed: never write to a closing one. */
    private static final double KEEP = 0.9;

    /** However early a box closes idle connections, one used again within this is kept. */
    private static final long KEEP_LEAST = 50_000_000L;
    /** With each kept connection that serves well the time grows by such a part, up to the settings' own. */
    private static final int KEEP_GROWS = 16;

    final long id;
    final SettingsText.Deployment deployment;
    final ReportLayout layout;
    final Clock clock;
    final QuietConnections quiet;
    final ModuleActor module;
    private final Budget budget;
    private volatile InetSocketAddress endpoint;
    private volatile boolean ready;
    private final Ring<BoxConnection> lately = new Ring<>(); // idle, the last used last
    private final Ring<BoxConnection> resting = new Ring<>(); // idle for longer, and watched
    private final ArrayDeque<BoxConnection.Errand> queue = new ArrayDeque<>();
    private final Supplier<ConnectionLimits> wanted;
    private final PoolLimits limits;
    private volatile long queueFull; // errands dropped for want of room; the actor alone writes it
    private final AtomicLong keepNs;
    private volatile boolean retired;

    ModelBox(long id, BoxEntry entry, ModelBoxes.Desk desk, ModuleActor module) {
        super("box " + entry.uid(), MAILBOX);
        this.id = id;
        this.deployment = desk.deployment();
        this.layout = desk.layout();
        this.budget = desk.budget();
        this.clock = desk.clock();
        this.quiet = desk.quiet();
        this.module = module;
        wanted = desk.limits();
        limits = new PoolLimits(wanted.get().boxMost(), wanted.get().connectingMost());
        this.endpoint = entry.endpoint();
        keepNs = new AtomicLong(mostKeepNs());
    }

    private long mostKeepNs() { return (long) (KEEP * deployment.keepaliveNs()); }

    /** How long an idle connection may be used again. */
    long keepNs() { return keepNs.get(); }

    /** A connection idle for so long was reset at its next request: some boxes close theirs early and say nothing. */
    void keptTooLong(long idleNs) { keepNs.accumulateAndGet(Math.max(KEEP_LEAST, idleNs / 2), Math::min); }

    /** A kept connection has served. */
    void keptWell() { keepNs.updateAndGet(now -> Math.min(mostKeepNs(), now + now / KEEP_GROWS)); }

    /** What the box list says of it now; seen at once by attempts that are still to be written. */
    void told(BoxEntry entry, boolean nowReady) {
        endpoint = entry.endpoint();
        ready = nowReady;
        if (!nowReady) {
            offer(new Look()); // where the mailbox is full it looks all the same
        }
    }

    void retire() {
        ready = false;
        retired = true;
        offer(new Look()); // only wakes it: where the mailbox is full it is awake
    }

    boolean ready() { return ready; }

    InetSocketAddress endpoint() { return endpoint; }

    /** Errands that were dropped since too many waited for a connection. */
    long queueFull() { return queueFull; }

    boolean send(Attempt attempt) { return offer(new Send(attempt)); }

    boolean probe() { return offer(new Probe(clock.now())); }

    // ---- What its connections tell ------------------------------------------------------------------

    void idle(BoxConnection connection) {
        if (retired) {
            connection.dismiss(); // nobody would read that message any more, and the connection would stay for ever
        } else {
            put(new Idle(connection));
        }
    }

    /** One that rested was closed by the box, has rested for as long as it may, or said what nobody asked for. */
    void over(BoxConnection connection) {
        if (retired || !offer(new Over(connection))) {
            connection.dismiss(); // the actor finds it closed when it would use it
        }
    }

    void opened() {
        synchronized (limits) {
            limits.opened();
        }
        offer(new Look());
    }

    /** A connection has ended; {@code refused} where it never was open, and the box or its silence said so. */
    void closed(boolean wasOpen, boolean refused) {
        synchronized (limits) {
            if (wasOpen) {
                limits.closed();
            } else {
                limits.notOpened(refused, clock.now());
            }
        }
        offer(new Look());
    }

    // ---- The actor ----------------------------------------------------------------------------------

    @Override void take(Message message) {
        if (message instanceof Send m) {
            give(new BoxConnection.Errand(m.attempt, 0));
        } else if (message instanceof Probe m) {
            give(new BoxConnection.Errand(null, m.at));
        } else if (message instanceof Again m) {
            give(m.errand);
        } else if (message instanceof Idle m) {
            rest(m.connection);
        } else if (message instanceof Over m) {
            Ring.leave(m.connection);
            m.connection.dismiss();
        }
    }

    /** Finds a connection for an errand, or has it wait for one, or says that there is none. */
    private void give(BoxConnection.Errand errand) {
        if (errand.attempt() != null && errand.attempt().isOver()) {
            return;
        }
        if (retired) {
            turnDown(errand);
            return;
        }
        for (BoxConnection at = lately.last(); at != null; at = lately.last()) {
            Ring.leave(at);
            if (usable(at) && at.quiet()) {
                run(at, errand);
                return;
            }
            at.dismiss();
        }
        for (BoxConnection at = resting.last(); at != null; at = resting.last()) {
            Ring.leave(at);
            if (usable(at)) {
                wake(at, errand);
                return;
            }
            dismissWatched(at);
        }
        open(errand);
    }

    private void wake(BoxConnection connection, BoxConnection.Errand errand) {
        connection.wake(still -> {
            if (!still) { // the box has closed it at this moment: nothing was written, another one does it
                again(errand);
            } else {
                run(connection, errand);
            }
        });
    }

    private static void dismissWatched(BoxConnection connection) { connection.wake(still -> connection.dismiss()); }

    private void open(BoxConnection.Errand errand) {
        if (!mayOpen(true)) {
            if (queue.size() < QUEUE) {
                queue.add(errand);
            } else {
                queueFull++;
                turnDown(errand);
            }
            return;
        }
        Connection connection = null;
        try {
            connection = budget.tryTake(1, 0) ? Connection.open(budget) : null;
        } catch (IOException e) { // no descriptor to be had
            Logger.warn(e, "no connection to a box can be opened");
        }
        if (connection == null) {
            closed(false, false);
            turnDown(errand);
        } else {
            run(new BoxConnection(this, connection, endpoint), errand);
        }
    }

    /** Whether one more may be opened; with {@code counting} it counts as being opened then. */
    private boolean mayOpen(boolean counting) {
        ConnectionLimits now = wanted.get();
        synchronized (limits) {
            limits.change(now.boxMost(), now.connectingMost());
            return counting ? limits.tryOpen(clock.now()) : limits.mayOpen(clock.now());
        }
    }

    private void run(BoxConnection at, BoxConnection.Errand errand) {
        if (!at.run(errand)) {
            turnDown(errand);
        }
    }

    private void again(BoxConnection.Errand errand) {
        if (!offer(new Again(errand))) {
            turnDown(errand);
        }
    }

    /** Our own want of connections, descriptors or threads is no fault of the box. */
    private void turnDown(BoxConnection.Errand errand) {
        if (errand.attempt() != null) {
            module.over(errand.attempt(), Outcome.MOOT, 0, null);
        } else {
            module.probed(id, Outcome.CONNECT_FAILED, clock.now() - errand.probeAt(), null);
        }
    }

    private void giveQueued() {
        while (!queue.isEmpty() && (!lately.isEmpty() || !resting.isEmpty() || mayOpen(false))) {
            give(queue.poll());
        }
    }

    private void rest(BoxConnection connection) {
        if (!ready || retired) {
            connection.dismiss(); // nothing new will be sent there
            return;
        }
        lately.addLast(connection);
    }

    private boolean usable(BoxConnection connection) {
        return connection.to().equals(endpoint) && clock.now() - connection.idleSince() < keepNs();
    }

    @Override void onTime() {
        if (!ready || retired) {
            letGo();
        }
        giveQueued();
        if (retired && isEmpty()) {
            queue.forEach(this::turnDown);
            queue.clear();
            stop();
        }
        for (BoxConnection at = lately.first(); at != null && restsAt(at) <= clock.now(); at = lately.first()) {
            Ring.leave(at);
            if (usable(at)) {
                resting.addLast(at);
                at.watchUntil(at.idleSince() + keepNs());
            } else {
                at.dismiss();
            }
        }
    }

    private void letGo() {
        for (BoxConnection at = lately.last(); at != null; at = lately.last()) {
            Ring.leave(at);
            at.dismiss();
        }
        for (BoxConnection at = resting.last(); at != null; at = resting.last()) {
            Ring.leave(at);
            dismissWatched(at);
        }
    }

    private long restsAt(BoxConnection connection) { return connection.idleSince() + Math.min(REST_AFTER, keepNs()); }

    @Override long restNs() {
        long at = lately.isEmpty() ? NEVER : restsAt(lately.first());
        if (!queue.isEmpty()) { // nothing need end before the limit that was learned is tried for more
            synchronized (limits) {
                at = Math.min(at, limits.nextTrialAt());
            }
        }
        return at == NEVER ? NEVER : at - clock.now();
    }
}
