package streamproxy.routing;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.tinylog.Logger;
import streamproxy.protocol.BoxEntry;
import streamproxy.protocol.HttpHead;
import streamproxy.protocol.HttpReader;
import streamproxy.protocol.HttpWriter;
import streamproxy.protocol.Json;
import streamproxy.routing.Routing.ListForm;
import streamproxy.transport.Connection;
import streamproxy.transport.Budget;
import streamproxy.transport.Threads;

/**
 * The actor of the box list: keeps at most one watch, makes single calls, and tells the module what they bring.
 * It never calls again by itself; the module paces that.
 */
public final class BoxList extends Actor<BoxList.Message> {
    /** What the module's actor and the calls tell. */
    sealed interface Message { }

    private record Ask(boolean watch) implements Message { }

    private record Heard(Call call, BoxEntry.News news) implements Message { }

    private record Failed(Call call) implements Message { }

    private static final int MAILBOX = 256;
    private static final String PATH = "/v1/endpoints";
    /** A watch carries at least an empty line every 2 s: without one for so long it has failed. */
    private static final long SILENCE = 5_000_000_000L;

    private final InetSocketAddress discovery;
    private final Budget budget;
    private final ModuleActor module;
    private long version;
    private Call watch;

    public BoxList(InetSocketAddress discovery, Budget budget, ModuleActor module) {
        super("box list", MAILBOX);
        this.discovery = discovery;
        this.budget = budget;
        this.module = module;
        module.listFrom(() -> offer(new Ask(true)), () -> offer(new Ask(false)));
    }

    /** Starts from the list as this router had it last, which may be old. */
    public void startFrom(BoxEntry.News known) {
        version = known.version();
        module.listNews(ListForm.CACHED, known.boxes());
        start();
    }

    @Override void take(Message message) {
        if (message instanceof Ask m) {
            Call call = new Call(m.watch ? PATH + "?follow=1&since=" + version : PATH, m.watch);
            if (m.watch) {
                Call before = watch;
                watch = call;
                if (before != null) {
                    before.close();
                }
            }
            Threads.start("box list call", call::run);
        } else if (message instanceof Heard m) {
            if (m.call == watch || !m.call.watching) {
                version = m.news.version();
                module.listNews(m.news.full() ? ListForm.FULL : ListForm.DELTA, m.news.boxes());
            }
        } else if (message instanceof Failed m) {
            if (m.call == watch || !m.call.watching) {
                watch = m.call == watch ? null : watch;
                module.listNews(ListForm.FAILED, List.of());
            }
        }
    }

    @Override void onTime() { }

    @Override long restNs() { return NEVER; }

    /** One call of discovery on a connection and thread of its own. */
    private final class Call {
        private final String target;
        private final boolean watching;
        private volatile Connection connection;
        private volatile boolean closed;

        Call(String target, boolean watching) {
            this.target = target;
            this.watching = watching;
        }

        void close() {
            closed = true;
            Connection open = connection;
            if (open != null) {
                open.close();
            }
        }

        private void run() {
            try {
                if (!budget.tryTake(1, 0)) {
                    throw new IOException("no descriptor for the box list");
                }
                try (Connection open = Connection.open(budget)) {
                    connection = open;
                    if (!closed) {
                        exchange(open);
                    }
                }
                if (watching) {
                    put(new Failed(this)); // a watch that has ended tells nothing more
                }
            } catch (IOException | IllegalArgumentException e) {
                Logger.info("the box list's call failed: {}", e.toString());
                put(new Failed(this));
            }
        }

        private void exchange(Connection open) throws IOException {
            open.connect(discovery, SILENCE);
            new HttpWriter(open).get(target, discovery.getHostString() + ":" + discovery.getPort());
            HttpReader reader = new HttpReader(open);
            HttpHead head = reader.answer(SILENCE);
            if (head.status() != 200) {
                throw new IOException("status " + head.status());
            }
            if (!watching || !head.chunked()) {
                heard(new String(reader.body(head, System.nanoTime() + SILENCE), StandardCharsets.UTF_8));
                return;
            }
            reader.startChunks();
            for (String line = reader.chunkedLine(SILENCE); line != null; line = reader.chunkedLine(SILENCE)) {
                heard(line);
            }
        }

        private void heard(String line) {
            if (!line.isBlank()) {
                put(new Heard(this, BoxEntry.news(Json.parse(line))));
            }
        }
    }
}
