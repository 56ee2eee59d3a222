package streamproxy.routing;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.concurrent.atomic.AtomicLong;
import org.tinylog.Logger;
import streamproxy.decision.ReportLayout;
import streamproxy.decision.SettingsText;
import streamproxy.protocol.BoxEntry;
import streamproxy.decision.Routing.Outcome;
import streamproxy.transport.Connection;
import streamproxy.transport.Budget;

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

    private record Retire() implements Message { }

    private static final int MAILBOX = 4096;
    /** How often the idle connections are looked at. */
    private static final long SWEEP = 200_000_000L;
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
    final ModuleActor module;
    private final Budget budget;
    private volatile InetSocketAddress endpoint;
    private volatile boolean ready;
    private final ArrayDeque<BoxConnection> idle = new ArrayDeque<>(); // the last used first
    private long sweepAt;
    private final AtomicLong keepNs;
    private volatile boolean retired;

    ModelBox(long id, BoxEntry entry, SettingsText.Deployment deployment, ReportLayout layout,
            Budget budget, Clock clock, ModuleActor module) {
        super("box " + entry.uid(), MAILBOX);
        this.id = id;
        this.deployment = deployment;
        this.layout = layout;
        this.budget = budget;
        this.clock = clock;
        this.module = module;
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
    }

    void retire() {
        ready = false;
        retired = true;
        offer(new Retire()); // only wakes it: where the mailbox is full it is awake
    }

    boolean ready() { return ready; }

    InetSocketAddress endpoint() { return endpoint; }

    boolean send(Attempt attempt) { return offer(new Send(attempt)); }

    boolean probe() { return offer(new Probe(clock.now())); }

    void idle(BoxConnection connection) {
        if (retired) {
            connection.dismiss(); // nobody would read that message any more, and the connection would stay for ever
        } else {
            put(new Idle(connection));
        }
    }

    @Override void take(Message message) {
        if (message instanceof Send m) {
            if (!m.attempt.isOver() && (retired || !give(new BoxConnection.Errand(m.attempt, 0)))) {
                module.over(m.attempt, Outcome.MOOT, 0, null); // our own want of descriptors is no fault of the box
            }
        } else if (message instanceof Probe m) {
            if (retired || !give(new BoxConnection.Errand(null, m.at))) {
                module.probed(id, Outcome.CONNECT_FAILED, clock.now() - m.at, null);
            }
        } else if (message instanceof Idle m) {
            idle.push(m.connection);
        }
    }

    private boolean give(BoxConnection.Errand errand) {
        while (!idle.isEmpty()) {
            BoxConnection connection = idle.pop();
            if (usable(connection)) {
                return connection.run(errand);
            }
            connection.dismiss();
        }
        if (!budget.tryTake(1, 0)) {
            return false;
        }
        try {
            return new BoxConnection(this, Connection.open(budget), endpoint).run(errand);
        } catch (IOException e) { // no descriptor to be had
            Logger.warn(e, "no connection to a box can be opened");
            return false;
        }
    }

    private boolean usable(BoxConnection connection) {
        return connection.to().equals(endpoint) && clock.now() - connection.idleSince() < keepNs()
                && connection.quiet();
    }

    @Override void onTime() {
        if (retired && isEmpty()) {
            idle.forEach(BoxConnection::dismiss);
            idle.clear();
            stop();
        }
        if (clock.now() >= sweepAt) {
            sweepAt = clock.now() + SWEEP;
            for (Iterator<BoxConnection> i = idle.iterator(); i.hasNext();) {
                BoxConnection connection = i.next();
                if (!usable(connection)) {
                    i.remove();
                    connection.dismiss();
                }
            }
        }
    }

    @Override long restNs() { return idle.isEmpty() ? NEVER : sweepAt - clock.now(); }
}
