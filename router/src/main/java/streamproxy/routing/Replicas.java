package streamproxy.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import streamproxy.decision.ReportLayout;
import streamproxy.decision.SettingsText;
import streamproxy.dispatch.RuleMonitor;
import streamproxy.limits.ConnectionLimits;
import streamproxy.protocol.EndpointEntry;
import streamproxy.transport.Budget;
import streamproxy.transport.QuietConnections;

/** The actors of the model boxes that the box list names, over HTTP. */
public final class Replicas implements ReplicaDispatcher {
    /**
     * What all model boxes of the program share.
     *
     * @param budget the connections that may be open to all of them
     * @param limits how many to one of them, and how many of these being opened; may change at any time
     * @param idle   those with a connection at rest, any of which may be asked to give one up
     * @param threads run them all
     * @param rules  counts attempts that are not sent, and rules that are broken
     */
    public record Desk(SettingsText.Deployment deployment, ReportLayout layout, Budget budget, Clock clock,
            QuietConnections quiet, Supplier<ConnectionLimits> limits, Set<Replica> idle, ActorThreads threads, RuleMonitor rules) {
        public Desk(SettingsText.Deployment deployment, ReportLayout layout, Budget budget, Clock clock, QuietConnections quiet,
                Supplier<ConnectionLimits> limits, ActorThreads threads, RuleMonitor rules) {
            this(deployment, layout, budget, clock, quiet, limits, ConcurrentHashMap.newKeySet(), threads, rules);
        }
    }

    private final Map<Long, Replica> byId = new HashMap<>(); // the module's actor alone touches it
    private final Desk desk;
    private ModuleActor module;

    public Replicas(Desk desk) { this.desk = desk; }

    /** Whom the boxes report to: once, before it starts. */
    public void reportTo(ModuleActor actor) { module = actor; }

    @Override public void told(long id, EndpointEntry entry, boolean ready) {
        Replica box = byId.get(id);
        if (box == null) {
            box = new Replica(id, entry, desk, module);
            box.told(entry, ready);
            byId.put(id, box); // last: one that could not be made whole is not there
            return;
        }
        box.told(entry, ready);
    }

    @Override public void gone(long id) {
        Replica box = byId.remove(id);
        if (box != null) {
            box.retire();
        }
    }

    @Override public boolean send(Attempt attempt) {
        Replica box = byId.get(attempt.boxId);
        return box != null && box.send(attempt);
    }

    @Override public boolean probe(long id) {
        Replica box = byId.get(id);
        return box != null && box.probe();
    }
}
