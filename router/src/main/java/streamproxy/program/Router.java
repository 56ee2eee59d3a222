package streamproxy.program;

import java.io.IOException;
import java.net.InetSocketAddress;
import org.tinylog.Logger;
import streamproxy.protocol.BoxEntry;
import streamproxy.protocol.NodeConfig;
import streamproxy.routing.BoxList;
import streamproxy.routing.ClientConnection;
import streamproxy.routing.ClientConnections;
import streamproxy.routing.Clock;
import streamproxy.routing.ModelBoxes;
import streamproxy.routing.ModuleActor;
import streamproxy.decision.Routing;
import streamproxy.decision.SettingsText;
import streamproxy.routing.TakenIds;
import streamproxy.transport.Budget;
import streamproxy.transport.Listener;
import streamproxy.transport.QuietConnections;
import streamproxy.transport.Threads;

/** One router: wires the layers, opens the listener, and leaves in good order. */
public final class Router implements AutoCloseable {
    /** Descriptors that the JVM itself holds: its files, pipes and the listener. */
    private static final int OWN_DESCRIPTORS = 64;
    /** Calls of the box list that may be open at a time; their descriptors are among the program's own. */
    private static final int LIST_CALLS = 8;
    /**
     * What the program takes with few connections and a full heap, and what each connection adds with its thread:
     * measured 49 MB at its start, 148 MB with 605 connections in use. More than fit in the memory are not held.
     */
    private static final int OWN_MB = 96;
    private static final int CONNECTION_KB = 140;
    /** After SIGTERM new connections still come for a while; what is closed then has lost nothing. */
    private static final long GRACE_MS = 700;
    private static final long LOOK_MS = 10;
    /** How often clients that do not read are looked for. */
    private static final long ROUND_MS = 1000;
    /** Share of the connections that clients may hold; the rest is for the model boxes that serve them. */
    private static final double CLIENTS_SHARE = 0.5;
    /** Share of the heap that the bodies of requests in work may hold. */
    private static final double BODIES_SHARE = 0.35;

    private final Lifecycle lifecycle = new Lifecycle();
    private final QuietConnections quiet;
    private final ClientConnections clients;
    private final ModuleActor module;
    private final BoxList list;
    private final BoxEntry.News known;
    private final Listener listener;

    public Router(NodeConfig config) throws IOException {
        Clock clock = new Clock();
        SettingsText text = new SettingsText(config.settings());
        Routing.Settings settings = text.settings();
        known = BoxEntry.news(config.known());
        int places = Math.min(config.sockets() - OWN_DESCRIPTORS, (config.memoryMb() - OWN_MB) * 1024 / CONNECTION_KB);
        if (places <= 0) {
            throw new IllegalArgumentException("NODE_CONFIG: limits leave no room for connections");
        }
        // Two budgets: neither clients nor model boxes can take the places that the others need.
        Budget clientPlaces = new Budget((int) (CLIENTS_SHARE * places));
        Budget boxPlaces = new Budget(places - clientPlaces.left());
        Budget bodyBytes = new Budget((int) Math.min(Integer.MAX_VALUE,
                BODIES_SHARE * Runtime.getRuntime().maxMemory()));
        ModelBoxes boxes = new ModelBoxes(text, boxPlaces, clock);
        module = new ModuleActor(text, config.seed(), clock, boxes);
        boxes.reportTo(module);
        list = new BoxList(config.discovery(), new Budget(LIST_CALLS), module);
        quiet = new QuietConnections();
        clients = new ClientConnections(new ClientConnection.Desk(module, clock,
                settings.classes().stream().map(c -> c.name()).toList(), text.deployment().tenants(), bodyBytes,
                new TakenIds(), quiet, () -> lifecycle.ready() && module.knowsBoxes(), lifecycle::leaving));
        listener = new Listener(config.listen(), clientPlaces, clients::take, clients::makeRoom);
    }

    public void start() {
        list.startFrom(known);
        module.start();
        quiet.start();
        listener.start();
        Threads.start("rounds", this::makeRounds);
        lifecycle.enter(Lifecycle.Phase.SERVING);
    }

    public InetSocketAddress address() throws IOException { return listener.address(); }

    public Lifecycle lifecycle() { return lifecycle; }

    private void makeRounds() {
        try {
            while (true) {
                Thread.sleep(ROUND_MS);
                clients.closeStalled();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Where the box list is told, as the configuration says now. */
    @FunctionalInterface
    public interface Discovery {
        InetSocketAddress read() throws NodeConfig.Unusable;
    }

    /**
     * Reads the configuration anew and moves to the box list's address in it. Requests, boxes and the listener stay;
     * what cannot be used is logged, and all stays as it was.
     */
    public void reload(Discovery discovery) {
        lifecycle.reload(() -> {
            try {
                list.moveTo(discovery.read());
            } catch (NodeConfig.Unusable e) {
                Logger.error("reload: {}; the old configuration stays", e.getMessage());
            }
        });
    }

    /** Goes on taking requests for the grace, then finishes all that was taken. */
    public void leave() throws IOException, InterruptedException {
        if (!lifecycle.enter(Lifecycle.Phase.LEAVING)) {
            return;
        }
        Thread.sleep(GRACE_MS);
        lifecycle.enter(Lifecycle.Phase.FINISHING);
        listener.close();
        while (!clients.closeWaiting()) {
            Thread.sleep(LOOK_MS);
        }
        lifecycle.enter(Lifecycle.Phase.STOPPED);
        Logger.info("all that was taken is answered");
    }

    /** Stops taking connections, whatever is in work. */
    @Override public void close() throws IOException { listener.close(); }
}
