package streamproxy.program;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.tinylog.Logger;
import streamproxy.dispatch.RuleMonitor;
import streamproxy.limits.Admission;
import streamproxy.limits.RetryAfterSchedule;
import streamproxy.limits.ConnectionLimits;
import streamproxy.protocol.EndpointEntry;
import streamproxy.protocol.NodeConfig;
import streamproxy.protocol.OperatorFile;
import streamproxy.protocol.NodeConfig.Unusable;
import streamproxy.routing.ActorThreads;
import streamproxy.routing.ServiceDiscovery;
import streamproxy.routing.Classes;
import streamproxy.routing.ClientConnections;
import streamproxy.routing.Clock;
import streamproxy.routing.Replicas;
import streamproxy.routing.ModuleActor;
import streamproxy.routing.SharedList;
import streamproxy.decision.ListLease;
import streamproxy.decision.Routing;
import streamproxy.decision.SettingsText;
import streamproxy.routing.RouterRequestIds;
import streamproxy.routing.Watchdog;
import streamproxy.syslog.Syslog;
import streamproxy.transport.Budget;
import streamproxy.transport.Listener;
import streamproxy.transport.QuietConnections;
import streamproxy.transport.Threads;
import streamproxy.transport.Timers;

/** One router: wires the layers, opens the listener, and leaves in good order. */
public final class Router implements AutoCloseable {
    /** Calls of the box list that may be open at a time; their descriptors are among the program's own. */
    static final int LIST_CALLS = 8;
    /** After SIGTERM new connections still come for a while; what is closed then has lost nothing. */
    private static final long GRACE_MS = 700;
    /** Share of the heap that the bodies of requests in work may hold. */
    private static final double BODIES_SHARE = 0.35;
    /** Share of the heap that may be held for clients that are slow to read, where the operator sets none. */
    private static final double HELD_SHARE = 0.1;

    /** Sections of the operator's file that a reload does not change. */
    private static final List<String> UNTIL_RESTART = List.of("streams", "retries");

    private final Fleet fleet;
    private final Lifecycle lifecycle;
    private final Recording recording;
    private final QuietConnections quiet;
    private final Timers timers = new Timers();
    private final ClientConnections clients;
    private final RuleMonitor rules;
    private final Watchdog watchdog;
    private final ActorThreads replicaThreads;
    private final ModuleActor module;
    private final ServiceDiscovery list;
    private final RouterRequestIds ids;
    private final EndpointEntry.News known;
    private final Listener listener;
    private final OperatorCalls operatorCalls; // null where nobody calls
    private final NodeConfig config;
    private final Routing.Settings settings; // as at the start
    private final AtomicReference<Classes> classes = new AtomicReference<>();
    private Routing.Settings tuned; // as in force
    private final OperatorFile started;
    private final int heldMost;
    private final Budget heldBytes;
    private volatile ConnectionLimits limits;

    /** A router that no operator has told anything. */
    public Router(NodeConfig config) throws IOException, Unusable { this(config, OperatorFile.NONE); }

    public Router(NodeConfig config, OperatorFile operator) throws IOException, Unusable { this(config, operator, Fleet.ALONE); }

    public Router(NodeConfig config, OperatorFile operator, Fleet fleet) throws IOException, Unusable {
        this.fleet = fleet;
        this.config = config;
        recording = Recording.of(operator, config.seed());
        fleet.tell(recording.to());
        watchdog = new Watchdog(recording.records());
        replicaThreads = new ActorThreads(watchdog);
        lifecycle = new Lifecycle(recording::phase);
        Clock clock = new Clock();
        rules = new RuleMonitor((rule, id) -> {
            Logger.warn("rule broken: {}, request {}", rule.word(), id);
            recording.records().ruleBroken(rule.word(), id);
        });
        SettingsText text = new SettingsText(config.settings());
        settings = text.settings();
        tuned = settings;
        known = fleet.known(config.known(), config.discovery());
        ConnectionLimits limits = limits(config.sockets(), config.memoryMb(), operator);
        Budget boxPlaces = new Budget(limits.boxesMost());
        Budget bodyBytes = new Budget((int) Math.min(Integer.MAX_VALUE, BODIES_SHARE * heap()));
        quiet = new QuietConnections();
        this.limits = limits;
        started = operator;
        heldMost = held(operator);
        heldBytes = new Budget(heldMost);
        Replicas boxes = new Replicas(new Replicas.Desk(text.deployment(), text.reportLayout(), boxPlaces, clock, quiet,
                () -> this.limits, replicaThreads, rules));
        module = new ModuleActor(text, config.seed(), clock, boxes, recording.records(), operator.retries(clock.now()),
                operator.stalls());
        boxes.reportTo(module);
        module.shareCold(fleet.coldShares());
        fleet.divide(division -> module.owners(owners(division)), clock::now);
        Routing.Limits may = settings.limits();
        list = new ServiceDiscovery(config.discovery(), new Budget(LIST_CALLS), module, settings.listOnRequest() ? fleet.list() : SharedList.NONE,
                lease(settings));
        classes.set(classes(text, settings, operator));
        ids = RouterRequestIds.open(config.shared(), config.listen());
        clients = new ClientConnections(new ClientConnections.Desk(module, clock, classes, text.deployment().tenants(), bodyBytes,
                ids, quiet, timers, () -> lifecycle.ready() && module.knowsBoxes(), lifecycle::drain,
                new RetryAfterSchedule(config.seed()), may.retryAfter() ? may.maxRetryAfterNs() : 0, recording.records(), heldBytes, rules),
                limits);
        listener = new Listener(config.listen(), clients);
        operatorCalls = config.operator() == null ? null : new OperatorCalls(config.operator(), new OperatorCalls.Desk() {
            @Override public boolean health() { return lifecycle.serving() && module.knowsBoxes(); }

            @Override public String rules() {
                return rules + "; threads refused: " + Threads.refused() + "; changes taken again: " + module.failures();
            }

            @Override public Fleet.Reply fleet(String method, String path) { return fleet.call(method, path); }

            @Override public boolean quiesce(boolean away) {
                boolean done = lifecycle.quiesce(away);
                if (done) {
                    clients.quiesce(away);
                }
                return done;
            }
        });
    }

    private static ListLease lease(Routing.Settings settings) {
        boolean probes = settings.limits().probes();
        return settings.listOnRequest() ? ListLease.asked(System.nanoTime(), settings.rules().askEveryNs(), ServiceDiscovery.ANSWER,
                settings.rules().stopSendingWithinNs(), probes)
                : ListLease.pushed(System.nanoTime(), settings.rules().stopSendingWithinNs(), probes);
    }

    private static Routing.Owners owners(Fleet.Division division) {
        return new Routing.Owners() {
            @Override public int gateways() { return division.members(); }

            @Override public int place(long box) { return division.place(box); }

            @Override public boolean may(long now) { return division.may(now); }
        };
    }

    private static Classes classes(SettingsText text, Routing.Settings settings, OperatorFile operator) {
        return new Classes(settings.classes(), text.deployment().silenceNs().stream().map(operator::stream).toList());
    }

    /**
     * The settings that a reload tells, whole, or an exception where they cannot be used. The number of routers, which
     * this one is, its zone, an index of the zones that it was told at its start, and the tenants stay as they were.
     *
     * @throws SettingsText.Missing     where one is missing or cannot be read
     * @throws IllegalArgumentException where one is out of its range: a deadline or attempts not over 0
     */
    private Routing.Settings retuned(SettingsText text) {
        Routing.Settings told = text.settings();
        return new Routing.Settings(settings.me(), settings.gateways(), settings.zone(), told.classes(), settings.tenants(),
                told.overShareWorth(), told.reports(), told.listOnRequest(), told.rules(), told.limits(), told.prices(),
                told.weights());
    }

    /** What so many descriptors, so much memory and the operator's wishes come to. */
    static ConnectionLimits limits(int descriptors, int memoryMb, OperatorFile operator) throws Unusable {
        try {
            return ConnectionLimits.of(descriptors, memoryMb, heap(), operator.connections());
        } catch (ConnectionLimits.Impossible e) {
            throw operator.says(e.key()) ? operator.unusable(e.section(), e.key(), e.getMessage())
                    : new Unusable("NODE_CONFIG: " + e.getMessage());
        }
    }

    private static int held(OperatorFile operator) {
        double bytes = operator.get(OperatorFile.Key.HOLD_ALL_MB) * (1 << 20);
        return (int) Math.min(Integer.MAX_VALUE, bytes > 0 ? bytes : HELD_SHARE * heap());
    }

    private static long heap() { return Runtime.getRuntime().maxMemory(); }

    public void start() throws IOException {
        Threads.startReserve();
        recording.start();
        replicaThreads.start();
        list.startFrom(known, watchdog);
        module.start(watchdog);
        watchdog.start();
        quiet.start();
        timers.start();
        listener.start();
        if (operatorCalls != null) {
            operatorCalls.start();
        }
        if (ids.startedBesideAnother()) {
            list.upgraded(System.nanoTime());
        }
        lifecycle.enter(Lifecycle.Phase.SERVING);
    }

    public InetSocketAddress address() throws IOException { return listener.address(); }

    public Lifecycle lifecycle() { return lifecycle; }

    /** Where operators call; null where the router was told of no such address. */
    public InetSocketAddress operatorAddress() throws IOException { return operatorCalls == null ? null : operatorCalls.address(); }

    /** What is read anew on SIGHUP: what the router was told at its start, and what the operator says. */
    public interface Reload {
        NodeConfig.Again node() throws Unusable;

        OperatorFile operator() throws Unusable;
    }

    /**
     * Reads the configuration anew, moves to the box list's address in it and keeps to the limits in the operator's
     * file. Requests, boxes and the listener stay; what cannot be used is logged, and all stays as it was.
     */
    public void reload(Reload reload) { reload(reload, System.nanoTime()); }

    /** @param since when it was asked for, by {@link System#nanoTime} */
    void reload(Reload reload, long since) {
        lifecycle.reload(() -> {
            try {
                NodeConfig.Again node = reload.node();
                SettingsText text = node.settings() == null ? null : new SettingsText(node.settings());
                Routing.Settings next = text == null ? tuned : retuned(text);
                Classes nextClasses = text == null ? classes.get() : classes(text, next, started);
                boolean otherNumbers = text != null && !hasItsNumbers(text);
                OperatorFile operator = reload.operator();
                ConnectionLimits wanted = limits(config.sockets(), config.memoryMb(), operator);
                Recording.check(operator); // all that can be refused, before anything takes effect
                limits = wanted;
                clients.change(wanted);
                if (!next.equals(tuned)) {
                    tuned = next;
                    module.retune(next);
                }
                classes.set(nextClasses);
                list.moveTo(node.discovery(), since);
                if (otherNumbers) {
                    Logger.warn("reload: the number of routers, and which this one is, are as before until a restart");
                }
                for (String section : UNTIL_RESTART) {
                    if (!operator.isAlike(started, section)) {
                        Logger.warn("reload: [{}] is as before until a restart", section);
                    }
                }
                recording.reloaded(operator);
            } catch (Unusable | SettingsText.Missing | IllegalArgumentException e) {
                String why = e instanceof SettingsText.Missing ? "NODE_CONFIG: " + e.getMessage() : e.getMessage();
                recording.refused(why);
                Logger.error("reload: {}; the old configuration stays", why);
            }
        });
    }

    private boolean hasItsNumbers(SettingsText told) {
        return told.gateways() == settings.gateways() && told.me() == settings.me();
    }

    /** Bytes that wait for clients that are slow to read. */
    public int held() { return heldMost - heldBytes.left(); }

    /** What became of the records so far; null where none are sent. */
    public Syslog.Counts records() { return recording.counts(); }

    /** How many connections clients hold, and how often room was short. */
    public Admission.Counts clients() { return clients.counts(); }

    /** Goes on taking requests for the grace, then finishes all that was taken. */
    public void leave() throws IOException, InterruptedException {
        fleet.awaitTurnToLeave();
        if (!lifecycle.enter(Lifecycle.Phase.LEAVING)) {
            return;
        }
        Thread.sleep(GRACE_MS);
        lifecycle.enter(Lifecycle.Phase.FINISHING);
        listener.close();
        clients.finish();
        lifecycle.enter(Lifecycle.Phase.STOPPED);
        Logger.info("all that was taken is answered");
        recording.close();
        fleet.left();
    }

    /** Stops taking connections, whatever is in work. */
    @Override public void close() throws IOException {
        listener.close();
        if (operatorCalls != null) {
            operatorCalls.close();
        }
    }
}
