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
import streamproxy.transport.DescriptorBudget;
import streamproxy.transport.Listener;
import streamproxy.transport.Threads;

/** One router: wires the layers, opens the listener, and leaves in good order. */
public final class Router {
    /** Descriptors that the JVM itself holds: its files, pipes and the listener. */
    private static final int OWN_DESCRIPTORS = 64;
    /** After SIGTERM new connections still come for a while; what is closed then has lost nothing. */
    private static final long GRACE_MS = 700;
    private static final long LOOK_MS = 10;

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
        DescriptorBudget budget = new DescriptorBudget(config.sockets() - OWN_DESCRIPTORS);
        ModelBoxes boxes = new ModelBoxes(text, budget, clock);
        module = new ModuleActor(text, config.seed(), clock, boxes);
        boxes.reportTo(module);
        list = new BoxList(config.discovery(), budget, module);
        desk = new ClientConnection.Desk(module, clock, settings.classes().stream().map(c -> c.name()).toList(),
                text.deployment().tenants(), lifecycle::ready, lifecycle::leaving);
        listener = new Listener(config.listen(), budget, this::take);
    }

    public void start() {
        list.startFrom(known);
        module.start();
        listener.start();
        lifecycle.enter(Lifecycle.Phase.SERVING);
    }

    public InetSocketAddress address() throws IOException { return listener.address(); }

    public Lifecycle lifecycle() { return lifecycle; }

    private void take(Connection connection) {
        ClientConnection client = new ClientConnection(connection, desk);
        clients.add(client);
        Threads.start("client", () -> {
            try {
                client.run();
            } finally {
                clients.remove(client);
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
        while (!clients.isEmpty()) {
            clients.forEach(ClientConnection::closeIfIdle);
            Thread.sleep(LOOK_MS);
        }
        lifecycle.enter(Lifecycle.Phase.STOPPED);
        Logger.info("all that was taken is answered");
    }
}
