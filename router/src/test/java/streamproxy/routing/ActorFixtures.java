package streamproxy.routing;

import streamproxy.decision.Routing;
import streamproxy.decision.SettingsText;
import streamproxy.dispatch.RuleMonitor;
import streamproxy.limits.ConnectionLimits;
import streamproxy.transport.Budget;
import streamproxy.transport.QuietConnections;

/** What actors of this package are tested with: a deployment's settings, limits, and what replicas share. */
final class ActorFixtures {
    private static final String TEXT = """
            Balancers=1
            Classes.count=1
            Classes.0.Name=chat
            Classes.0.GiveUp=4000000000
            Classes.0.Idempotency=safe
            Discovery=pushed
            Guarantees.Fall=1000000000
            Guarantees.RampTime=20000000000
            Guarantees.StartCapacity=0.14
            Guarantees.StopSendingWithin=250000000
            Guarantees.TipMultiple=3.0
            Limits.ConnectTimeout=1000000000
            Limits.Keepalive=5000000000
            Limits.MaxAttempts=3
            Me=0
            """;
    static final SettingsText SETTINGS = new SettingsText(TEXT);
    /** The same with replicas that are probed for their load. */
    static final String PROBING = TEXT + """
            Limits.Probes=true
            Report.Source=pull
            Report.Fields=lat_ms,rif,q
            """;

    /** The one class of these settings. */
    static final Routing.RequestClass CHAT = SETTINGS.settings().classes().get(0);

    private ActorFixtures() { }

    /** The same with classes in place of its own, each of a line "Name=..." and so on for each of its keys. */
    static Routing.Settings withClasses(String... classes) {
        StringBuilder text = new StringBuilder(TEXT).append("Classes.count=").append(classes.length).append('\n');
        for (int i = 0; i < classes.length; i++) {
            for (String key : ("GiveUp=4000000000 " + classes[i]).split(" ")) {
                text.append("Classes.").append(i).append('.').append(key).append('\n');
            }
        }
        return new SettingsText(text.toString()).settings();
    }

    /** Those of a usual machine, with so many connections to a replica and so many of them being made at a time; 0: as usual. */
    static ConnectionLimits limits(int replicaMost, int connectingMost) throws ConnectionLimits.Impossible {
        return ConnectionLimits.of(1024, 192, 48L << 20, new ConnectionLimits.Wishes(0, 0, 0, 0, replicaMost, connectingMost, 3, 2));
    }

    static QuietConnections startedWatch() throws Exception {
        QuietConnections quiet = new QuietConnections();
        quiet.start();
        return quiet;
    }

    /** What replicas share that hold so many connections together. */
    static Replicas.Desk replicas(Clock clock, QuietConnections quiet, ConnectionLimits limits, int allMost) {
        return new Replicas.Desk(SETTINGS.deployment(), SETTINGS.reportLayout(), new Budget(allMost), clock, quiet, () -> limits,
                new ActorThreads(new Watchdog(Records.NONE)), RuleMonitor.silent());
    }
}
