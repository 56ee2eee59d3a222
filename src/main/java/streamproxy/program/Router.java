package streamproxy.program;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.tinylog.Logger;
import streamproxy.protocol.BoxEntry;
import streamproxy.protocol.NodeConfig;
import streamproxy.routing.BoxList;
import streamproxy.routing.ClientConnection;
import streamproxy.routing.Clock;
import streamproxy.routing.ModelBoxes;
import streamproxy.routing.ModuleActor;
import streamproxy.routing.Routing;
import streamproxy.routing.SettingsText;
import streamproxy.transport.Connection;
import streamproxy.transport.Budget;
import streamproxy.transport.Listener;
import streamproxy.transport.Threads;

/** One router: wires the layers, opens the listener, and leaves in good order. */
public final class Router implements AutoCloseable {
    /** Descriptors that the JVM itself holds: its files, pipes and the listener. */
    private static final int OWN_DESCRIPTORS = 64;
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
    /** Share of the descriptors that clients may hold; the rest is for the model boxes that serve them. */
    private static final double CLIENTS_SHARE = 0.55;
    /** Share of the heap that the bodies of requests in work may hold. */
    private static final double BODIES_SHARE = 0.35;

    private final Lifecycle lifecycle = new Lifecycle();
    private final Set<ClientConnection> clients = ConcurrentHashMap.newKeySet();
    private final ModuleActor module;
    private final BoxList list;
    private final BoxEntry.News known;
    private final Listener listener;
    private final ClientConnection.Desk desk;

    public Router(NodeConfig config) throws IOException {
        Clock clock = new Clock();
        SettingsText text = new SettingsText(config.settings());
        Routing.Settings settings = text.settings();
        known = BoxEntry.news(config.known());
        int places = Math.min(config.sockets() - OWN_DESCRIPTORS, (config.memoryMb() - OWN_MB) * 1024 / CONNECTION_KB);
        if (places <= 0) {
            throw new IllegalArgumentException("NODE_CONFIG: limits leave no room for connections");
        }
        Budget budget = new Budget(places);
        Budget bodyBytes = new Budget((int) Math.min(Integer.MAX_VALUE,
                BODIES_SHARE * Runtime.getRuntime().maxMemory()));
        ModelBoxes boxes = new ModelBoxes(text, budget, clock);
        module = new ModuleActor(text, config.seed(), clock, boxes);
        boxes.reportTo(module);
        list = new BoxList(config.discovery(), budget, module);
        desk = new ClientConnection.Desk(module, clock, settings.classes().stream().map(c -> c.name()).toList(),
                text.deployment().tenants(), bodyBytes, () -> lifecycle.ready() && module.knowsBoxes(),
                lifecycle::leaving, () -> clients.size() > CLIENTS_SHARE * places);
        listener = new Listener(config.listen(), budget, this::take);
    }

    public void start() {
        list.startFrom(known);
        module.start();
        listener.start();
        Threads.start("rounds", this::makeRounds);
        lifecycle.enter(Lifecycle.Phase.SERVING);
    }

    public InetSocketAddress address() throws IOException { return listener.address(); }

    public Lifecycle lifecycle() { return lifecycle; }

    private void take(Connection connection) {
        ClientConnection client = new ClientConnection(connection, desk);
        clients.add(client);
        try {
            Threads.start("client", () -> {
                try {
                    client.run();
                } finally {
                    clients.remove(client);
                }
            });
        } catch (OutOfMemoryError e) { // no thread to be had
            clients.remove(client);
            throw e;
        }
    }

    private void makeRounds() {
        try {
            while (true) {
                Thread.sleep(ROUND_MS);
                clients.forEach(ClientConnection::closeIfStalled);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Goes on taking requests for the grace, then finishes all that was taken. */
    public void leave() throws IOException, InterruptedException {
        if (!lifecycle.enter(Lifecycle.Phase.LEAVING)) {
            return;
        }
        Thread.sleep(GRACE_MS);
        lifecycle.enter(Lifecycle.Phase.FINISHING);
        listener.close();
        while (!clients.isEmpty()) {
            clients.forEach(ClientConnection::closeIfIdle);
            Thread.sleep(LOOK_MS);
        }
        lifecycle.enter(Lifecycle.Phase.STOPPED);
        Logger.info("all that was taken is answered");
    }

    /** Stops taking connections, whatever is in work. */
    @Override public void close() throws IOException { listener.close(); }
}
