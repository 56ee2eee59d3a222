package streamproxy.routing;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.tinylog.Logger;
import streamproxy.decision.ReportLayout;
import streamproxy.decision.SettingsText;
import streamproxy.dispatch.RuleMonitor;
import streamproxy.protocol.EndpointEntry;
import streamproxy.decision.Routing.Outcome;
import streamproxy.limits.ConnectionLimits;
import streamproxy.limits.PoolLimits;
import streamproxy.limits.IntrusiveList;
import streamproxy.transport.Budget;
import streamproxy.transport.Connection;
import streamproxy.transport.QuietConnections;
import streamproxy.transport.SafeLog;

/**
 * The actor of one model box: owns the pool of its connections and hands attempts and probes to them. It never
 * waits for the box; the connections' own threads do.
 */
final class Replica extends SharedThreadActor<Replica.Message> {
    /** What the module's actor and the connections tell. */
    sealed interface Message { }

    /** An attempt to carry, or a probe; perhaps once more, as its connection was closed before anything was written. */
    private record Errands(ReplicaConnection.Errand errand) implements Message { }

    private record Idle(ReplicaConnection connection) implements Message { }

    private record Over(ReplicaConnection connection) implements Message { }

    /** Another box has no place left among those that all share: this one gives up an idle connection. */
    private record GiveUp(Replica wanting) implements Message { }

    /** A place among those that all share may be free now. */
    private record Place() implements Message { }

    /** Work for which there was no thread, to be tried again soon. */
    private record Later(Runnable again) implements Message { }

    /** An errand that waits for a place, or for a connection of its own box that comes to rest. */
    private record Wanting(ReplicaConnection.Errand errand, long until) { }

    private static final int MAILBOX = 4096;
    /** Errands that wait for a connection where no more may be opened. */
    private static final int QUEUE = 1024;
    /**
     * One idle for so long is watched rather than looked at when it is used: those in use all the time are spared the
     * way to the watch and back, and the others cost nothing while they rest.
     */
    private static final long REST_AFTER = 100_000_000L;
    /**
     * A connection is not used again sooner after an answer where another is idle: a replica that answers twice, the second
     * time some milliseconds late, would have that taken for the answer to the next request.
     */
    private static final long SETTLE = 20_000_000L;
    /** How long an errand waits for a place: another box gives up an idle connection, or one of this box comes to rest. */
    private static final long PLACE_WAIT = 50_000_000L;
    /** Share of the box's own time for idle connections after which ours are closed: never write to a closing one. */
    private static final double KEEP = 0.9;

    /** How soon work is tried again for which there was no thread. */
    private static final long LATER = 20_000_000L;
    /** However early a box closes idle connections, one used again within this is kept. */
    private static final long KEEP_LEAST = 50_000_000L;
    /** With each kept connection that serves well the time grows by such a part, up to the settings' own. */
    private static final int KEEP_GROWS = 16;

    final long id;
    final SettingsText.Deployment deployment;
    final ReportLayout layout;
    final Clock clock;
    final QuietConnections quiet;
    final RuleMonitor rules;
    final ModuleActor module;
    private final Budget budget;
    private volatile InetSocketAddress endpoint;
    private volatile boolean ready;
    private final ArrayDeque<Later> later = new ArrayDeque<>(0);
    private long laterAt; // when those are tried again
    private final IntrusiveList<ReplicaConnection> lately = new IntrusiveList<>(); // idle, the last used last
    private final IntrusiveList<ReplicaConnection> resting = new IntrusiveList<>(); // idle for longer, and watched
    private final ArrayDeque<ReplicaConnection.Errand> queue = new ArrayDeque<>(0);
    private final ArrayDeque<Wanting> wanting = new ArrayDeque<>(0);
    private final Set<Replica> withIdle; // of all replicas, those with a connection at rest
    volatile long idleLongest = NEVER; // since when its longest idle connection is; the actor alone writes it
    private final Supplier<ConnectionLimits> wanted;
    private final PoolLimits limits;
    private volatile long queueFull; // errands dropped for want of room; the actor alone writes it
    private final AtomicLong keepNs;
    private volatile boolean retired;

    Replica(long id, EndpointEntry entry, Replicas.Desk desk, ModuleActor module) {
        super(desk.threads().of(id), MAILBOX);
        this.id = id;
        this.deployment = desk.deployment();
        this.layout = desk.layout();
        this.budget = desk.budget();
        this.clock = desk.clock();
        this.quiet = desk.quiet();
        this.rules = desk.rules();
        this.module = module;
        withIdle = desk.idle();
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
    void told(EndpointEntry entry, boolean nowReady) {
        endpoint = entry.endpoint();
        ready = nowReady;
        if (!nowReady) {
            schedule();
        }
    }

    @Override public String toString() { return "replica at " + endpoint; }

    void retire() {
        ready = false;
        retired = true;
        schedule();
    }

    boolean ready() { return ready; }

    InetSocketAddress endpoint() { return endpoint; }

    /** Errands that were dropped since too many waited for a connection. */
    long queueFull() { return queueFull; }

    boolean send(Attempt attempt) { return offer(new Errands(new ReplicaConnection.Errand(attempt, 0))); }

    /** Has work tried again soon; false where there is no room for it, or nobody would. */
    boolean later(Runnable again) { return !isStopped() && offer(new Later(again)); }

    boolean probe() { return offer(new Errands(new ReplicaConnection.Errand(null, clock.now()))); }

    // ---- What its connections tell ------------------------------------------------------------------

    void idle(ReplicaConnection connection) {
        if (!retired) {
            put(new Idle(connection));
        }
        if (retired) { // looked at after the message: nobody may read it any more, and the connection would stay for ever
            connection.dismiss();
        }
    }

    /** One that rested was closed by the box, has rested for as long as it may, or said what nobody asked for. */
    void over(ReplicaConnection connection) {
        if (retired || !offer(new Over(connection))) {
            connection.dismiss(); // the actor finds it closed when it would use it
        }
    }

    void opened() {
        synchronized (limits) {
            limits.opened();
        }
        schedule();
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
        schedule();
    }

    // ---- The actor ----------------------------------------------------------------------------------

    @Override void take(Message message) {
        if (message instanceof Errands m) {
            giveOrTurnDown(m.errand());
        } else if (message instanceof GiveUp m) {
            giveUpOne(m.wanting);
        } else if (message instanceof Place && !wanting.isEmpty()) {
            give(wanting.poll().errand, true);
        } else if (message instanceof Idle m) {
            rest(m.connection);
        } else if (message instanceof Later m) {
            later.add(m);
            laterAt = clock.now() + LATER;
        } else if (message instanceof Over m) {
            IntrusiveList.leave(m.connection);
            m.connection.dismiss();
        }
    }

    private void giveOrTurnDown(ReplicaConnection.Errand errand) {
        try {
            give(errand);
        } catch (RuntimeException | Error e) { // unsaid, the module would wait for its end
            SafeLog.error(e, "an attempt or a probe could not be begun");
            turnDown(errand);
        }
    }

    private void give(ReplicaConnection.Errand errand) { give(errand, false); }

    /** Finds a connection for an errand, or has it wait for one, or says that there is none. */
    private void give(ReplicaConnection.Errand errand, boolean lastTry) {
        if (errand.attempt() != null && errand.attempt().isOver()) {
            return;
        }
        if (retired) {
            turnDown(errand);
            return;
        }
        if (runOnIdle(errand, clock.now() - SETTLE)) {
            return;
        }
        for (ReplicaConnection at = resting.last(); at != null; at = resting.last()) {
            IntrusiveList.leave(at);
            if (usable(at)) {
                wake(at, errand);
                return;
            }
            dismissWatched(at);
        }
        if (!runOnIdle(errand, clock.now())) {
            open(errand, lastTry);
        }
    }

    /** Runs an errand on the connection used last of those idle since then or longer; false where none of them is usable. */
    private boolean runOnIdle(ReplicaConnection.Errand errand, long idleSince) {
        for (ReplicaConnection at = lately.last(); at != null;) {
            ReplicaConnection earlier = lately.before(at);
            if (!usable(at) || !at.quiet()) {
                IntrusiveList.leave(at);
                at.dismiss();
            } else if (at.idleSince() <= idleSince) {
                IntrusiveList.leave(at);
                run(at, errand);
                return true;
            }
            at = earlier;
        }
        return false;
    }

    private void wake(ReplicaConnection connection, ReplicaConnection.Errand errand) {
        connection.wake(still -> {
            if (!still) { // the box has closed it at this moment: nothing was written, another one does it
                again(errand);
            } else {
                run(connection, errand);
            }
        });
    }

    private static void dismissWatched(ReplicaConnection connection) { connection.wake(still -> connection.dismiss()); }

    private void open(ReplicaConnection.Errand errand, boolean lastTry) {
        boolean probe = errand.attempt() == null;
        if (!mayOpen(true, probe)) {
            if (probe && !hasPlaceForProbe()) {
                turnDown(errand); // a box that holds all it accepts need not be asked how it fares
            } else if (queue.size() < QUEUE) {
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
        if (connection != null) {
            run(new ReplicaConnection(this, connection, endpoint), errand);
            return;
        }
        closed(false, false);
        if (lastTry || probe || wanting.size() == QUEUE) {
            turnDown(errand);
        } else {
            wanting.add(new Wanting(errand, clock.now() + PLACE_WAIT));
            askForPlace();
        }
    }

    /** Has the box whose connection has been idle for longest give it up, if another has an idle one. */
    private void askForPlace() {
        Replica longest = null;
        for (Replica box : withIdle) {
            longest = box != this && (longest == null || box.idleLongest < longest.idleLongest) ? box : longest;
        }
        if (longest != null && longest.idleLongest != NEVER) {
            longest.offer(new GiveUp(this));
        }
    }

    private void giveUpOne(Replica wanting) {
        if (!resting.isEmpty()) {
            ReplicaConnection at = resting.first();
            IntrusiveList.leave(at);
            at.wake(still -> {
                at.dismiss();
                wanting.offer(new Place());
            });
        } else if (!lately.isEmpty()) {
            ReplicaConnection at = lately.first();
            IntrusiveList.leave(at);
            at.dismiss();
            wanting.offer(new Place());
        }
    }

    /** Whether one more may be opened; with {@code counting} it counts as being opened then. */
    private boolean mayOpen(boolean counting, boolean probe) {
        ConnectionLimits now = wanted.get();
        synchronized (limits) {
            limits.change(now.boxMost(), now.connectingMost());
            return counting ? limits.tryOpen(clock.now(), probe) : limits.mayOpen(clock.now(), probe);
        }
    }

    private boolean hasPlaceForProbe() {
        synchronized (limits) {
            return limits.hasPlace(clock.now(), true);
        }
    }

    private void run(ReplicaConnection at, ReplicaConnection.Errand errand) {
        if (!at.run(errand)) {
            turnDown(errand);
        }
    }

    private void again(ReplicaConnection.Errand errand) {
        boolean left = offer(new Errands(errand));
        if (!left || retired) { // looked at after the message: nobody may read it any more
            turnDown(errand);
        }
    }

    /** Our own want of connections, descriptors or threads is no fault of the box. */
    void turnDown(ReplicaConnection.Errand errand) {
        if (errand.attempt() != null) {
            module.over(errand.attempt(), Outcome.MOOT, 0, null);
        } else {
            module.probed(id, Outcome.CONNECT_FAILED, clock.now() - errand.probeAt(), null);
        }
    }

    private void giveQueued() {
        while (!queue.isEmpty() && (!lately.isEmpty() || !resting.isEmpty() || mayOpen(false, false))) {
            give(queue.poll());
        }
    }

    private void rest(ReplicaConnection connection) {
        if (!ready || retired) {
            connection.dismiss(); // nothing new will be sent there
            return;
        }
        lately.addLast(connection);
    }

    private boolean usable(ReplicaConnection connection) {
        return connection.to().equals(endpoint) && clock.now() - connection.idleSince() < keepNs();
    }

    @Override void onTime() {
        if (!ready || retired) {
            letGo();
        }
        tryLater();
        giveQueued();
        while (!wanting.isEmpty() && (!lately.isEmpty() || wanting.peek().until <= clock.now())) {
            give(wanting.poll().errand, true);
        }
        if (retired && isEmpty() && later.isEmpty()) {
            queue.forEach(this::turnDown);
            queue.clear();
            wanting.forEach(one -> turnDown(one.errand));
            wanting.clear();
            noteIdle(false);
            stop();
            return;
        }
        for (ReplicaConnection at = lately.first(); at != null && restsAt(at) <= clock.now(); at = lately.first()) {
            IntrusiveList.leave(at);
            if (usable(at)) {
                resting.addLast(at);
                at.watchUntil(at.idleSince() + keepNs());
            } else {
                at.dismiss();
            }
        }
        long longest = idleLongest();
        if ((longest == NEVER) != (idleLongest == NEVER)) {
            noteIdle(longest != NEVER);
        }
        idleLongest = longest;
    }

    private void noteIdle(boolean some) {
        if (some) {
            withIdle.add(this);
        } else {
            withIdle.remove(this);
        }
    }

    private void tryLater() {
        if (!later.isEmpty() && laterAt <= clock.now()) {
            for (int i = later.size(); i > 0; i--) {
                later.poll().again.run();
            }
        }
    }

    private long idleLongest() {
        ReplicaConnection first = !resting.isEmpty() ? resting.first() : lately.first();
        return first == null ? NEVER : first.idleSince();
    }

    private void letGo() {
        for (ReplicaConnection at = lately.last(); at != null; at = lately.last()) {
            IntrusiveList.leave(at);
            at.dismiss();
        }
        for (ReplicaConnection at = resting.last(); at != null; at = resting.last()) {
            IntrusiveList.leave(at);
            dismissWatched(at);
        }
    }

    private long restsAt(ReplicaConnection connection) { return connection.idleSince() + Math.min(REST_AFTER, keepNs()); }

    @Override long restNs() {
        long at = lately.isEmpty() ? NEVER : restsAt(lately.first());
        if (!queue.isEmpty()) { // nothing need end before the limit that was learned is tried for more
            synchronized (limits) {
                at = Math.min(at, limits.nextTrialAt());
            }
        }
        at = wanting.isEmpty() ? at : Math.min(at, wanting.peek().until);
        at = later.isEmpty() ? at : Math.min(at, laterAt);
        return at == NEVER ? NEVER : at - clock.now();
    }
}
