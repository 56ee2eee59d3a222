package streamproxy.routing;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.Semaphore;
import org.tinylog.Logger;
import streamproxy.protocol.EndpointEntry;
import streamproxy.protocol.EndpointListReader;
import streamproxy.protocol.HttpHead;
import streamproxy.protocol.HttpReader;
import streamproxy.protocol.HttpWriter;
import streamproxy.protocol.Json;
import streamproxy.decision.ListLease;
import streamproxy.decision.Routing.ListForm;
import streamproxy.transport.Connection;
import streamproxy.transport.Budget;
import streamproxy.transport.Threads;

/**
 * The actor of the box list: keeps at most one watch, makes single calls, and tells the module what they bring.
 * It never calls again by itself; the module paces that.
 *
 * <p>Versions belong to the service that told them. So after a move the whole list is asked for first, and only then
 * what follows it; the old service's watch is heard until the new one has spoken, so that nothing told is missed.
 */
public final class ServiceDiscovery extends Actor<ServiceDiscovery.Message> {
    /** What the module's actor and the calls tell. */
    sealed interface Message { }

    private record Ask(boolean watch) implements Message { }

    private record Heard(Call call, EndpointEntry.News news, String line, long at) implements Message { }

    /** A watch brought an empty line: nothing has changed. */
    private record Unchanged(Call call, long at) implements Message { }

    /** Another router's watch had all that the service had at that moment. */
    private record SharedConfirmed(InetSocketAddress service, long version, long at) implements Message { }

    /** What another router's watch told. */
    private record Shared(InetSocketAddress service, EndpointEntry.News news, String line) implements Message { }

    /** Whether this router is to have a watch of its own. */
    private record Own(boolean wanted) implements Message { }

    /** A call has ended; {@code why} is null where that is no fault. */
    private record Failed(Call call, Exception why) implements Message { }

    /** @param since when the new configuration was announced */
    private record Moved(InetSocketAddress to, long since) implements Message { }

    /** This process takes over from another one, and has been ready since then. */
    private record Upgraded(long since) implements Message { }

    private static final int MAILBOX = 256;
    private static final String PATH = "/v1/endpoints";
    private static final String FAILED = "a call failed: ";
    /** What the JDK says of ECONNREFUSED; the other faults of connect do not show that nobody listens. */
    private static final String REFUSED = "Connection refused";
    /**
     * What the list's service has to tell counts as told 6 s after it could be asked, or after a watch fell silent. The parts
     * of the longest ways to an answer stay within that, with the pauses between calls: a call under way as the service comes
     * back and hangs (2.5), and 3.5 for the next one's answer; one that failed just before (2.5 to the next, Policy.ASK_AGAIN),
     * the next one hanging (2.5), and 1 for the answer; or silence noticed (3), the first pause (0.3), a call that hangs
     * (2.2, ANSWER_SOON), and 0.25 for the next one's answer. A watch carries at least an empty line every 2 s, so 3 s are one
     * line that is a second late.
     */
    static final long SILENCE = 3_000_000_000L;
    /**
     * How long a call may wait for its answer, or a watch for its answer's head: longer than a service does that has many callers and turns away
     * those who waited for 2 s. It works on what was given up all the same: a hundred routers that gave up after 1.5 s, and asked
     * again within as long, had no answer between them for as long as they asked, since all that was answered had been given up.
     */
    public static final long ANSWER = 2_500_000_000L;
    /**
     * The same for the first call behind a watch that brought something: the watch's silence has taken half of the time. With
     * this for all calls, and shorter pauses, the standing test failed (drain on herd+mass, 6 times).
     */
    static final long ANSWER_SOON = 2_200_000_000L;
    private static final int PIECE_BYTES = 4 * 1024;

    /** So many different faults are kept in mind, so as not to be logged again. */
    private static final int LOGGED_MOST = 200;

    private final Budget budget;
    private final ModuleActor module;
    private final Set<String> logged = new HashSet<>();
    private final DiscoveryCallLog callLog = new DiscoveryCallLog();
    private int calls;
    private InetSocketAddress discovery;
    /** The last version that this service told; none since the move to it. */
    private OptionalLong version = OptionalLong.empty();
    private Call watch;
    /** After a move: the watch that the old service still answers. */
    private Call former;
    private final SharedList shared;
    private boolean soon; // the last watch brought something, and no call has failed since
    private boolean own;    // else another router's watch is followed
    private boolean wanted; // the module has asked for a watch
    private boolean byAnother; // the last version came by another router's watch
    private volatile SharedList.Position position;
    private final ListLease lease;
    private OptionalLong confirmedFor = OptionalLong.empty(); // the moment for which the list was asked for once more
    private Call confirming; // the call that did

    /** @param lease how long the list binds; new, as the process starts */
    public ServiceDiscovery(InetSocketAddress discovery, Budget budget, ModuleActor module, SharedList shared, ListLease lease) {
        super("box list", MAILBOX);
        this.discovery = discovery;
        this.budget = budget;
        this.module = module;
        this.shared = shared;
        this.lease = lease;
        position = new SharedList.Position(discovery, -1);
        own = shared.begin(new SharedList.Follower() {
            @Override public void line(InetSocketAddress service, String line) { offer(new Shared(service, EndpointEntry.news(Json.parse(line)), line)); }

            @Override public void confirmed(InetSocketAddress service, long version, long at) { offer(new SharedConfirmed(service, version, at)); }

            @Override public void own(boolean wanted) { put(new Own(wanted)); }

            @Override public void whole() { offer(new Ask(false)); }

            @Override public SharedList.Position position() { return position; }
        });
        module.listFrom(() -> offer(new Ask(true)), () -> offer(new Ask(false)));
    }

    /**
     * The list is told at another address from now on.
     *
     * @param since when the new configuration was announced, by {@link System#nanoTime}
     */
    public void moveTo(InetSocketAddress address, long since) { put(new Moved(address, since)); }

    /** This process takes over from another one of the router, and is ready from that time of {@link System#nanoTime} on. */
    public void upgraded(long since) { put(new Upgraded(since)); }

    /** Starts from the list as this router had it last, which may be old. */
    public void startFrom(EndpointEntry.News known, Watchdog watchdog) {
        at(OptionalLong.of(known.version()));
        logFaults(known);
        module.listNews(ListForm.CACHED, known.boxes(), known.kept());
        module.listLease(lease);
        start(watchdog);
    }

    @Override void take(Message message) {
        if (message instanceof Ask m) {
            if (m.watch) {
                wanted = true;
                if (own) {
                    follow();
                }
            } else {
                call(PATH, false);
            }
        } else if (message instanceof Moved m) {
            if (!m.to.equals(discovery)) {
                Logger.info("the box list is at {} now", m.to);
                discovery = m.to;
                at(OptionalLong.empty());
                lease.moved(System.nanoTime(), m.since); // what the old service tells says nothing of the new one
                module.listLease(lease);
                if (former == null) {
                    former = watch;
                } else if (watch != null) {
                    watch.close(); // of a service that never spoke: the one before it is still heard
                }
                watch = null;
                if (own) {
                    follow();
                }
            }
        } else if (message instanceof Upgraded m) {
            lease.upgraded(m.since);
            module.listLease(lease);
        } else if (message instanceof Own m) {
            own(m.wanted);
        } else if (message instanceof Shared m) {
            shared(m);
        } else if (message instanceof SharedConfirmed m) {
            if (m.service.equals(discovery) && version.isPresent() && version.getAsLong() >= m.version) {
                confirmed(m.at);
            }
        } else if (message instanceof Unchanged m) {
            m.call.untaken.release();
            if (m.call == watch) {
                confirmed(m.at);
            }
        } else if (message instanceof Heard m) {
            m.call.untaken.release();
            heard(m);
        } else if (message instanceof Failed m) {
            if (!m.call.closed && (m.why != null || m.call.watching)) {
                callLog.ended(m.call.number, System.nanoTime() - m.call.beganAt, m.call.watching && m.call.answered, m.why);
            }
            if (m.why != null && !m.call.closed) {
                log(FAILED + m.why);
            }
            failed(m.call, m.why);
        }
    }

    private void confirmed(long at) {
        lease.confirmed(at);
        module.listLease(lease);
    }

    private void own(boolean now) {
        own = now;
        lease.watchEnded(System.nanoTime(), false);
        module.listLease(lease);
        if (now && wanted && watch == null) {
            follow();
        } else if (!now && watch != null) {
            watch.close();
            watch = null;
        }
    }

    /** Another router's watch of the same service says no more than one's own would; what is older than what is known says nothing. */
    private void shared(Shared m) {
        boolean follows = version.isPresent() ? m.news.version() > version.getAsLong() : m.news.full();
        if (m.service.equals(discovery) && follows) {
            at(OptionalLong.of(m.news.version()));
            byAnother = true;
            tell(m.news);
            shared.taken(discovery, m.news.version(), m.news.full(), m.line);
            endFormer();
        }
    }

    private void at(OptionalLong now) {
        version = now;
        position = new SharedList.Position(discovery, now.orElse(-1));
    }

    private void endFormer() {
        if (former != null) {
            former.close();
            former = null;
        }
    }

    /** Starts the watch, or, where the service has told nothing yet, asks it for the whole list first. */
    private void follow() {
        Call before = watch;
        version.ifPresent(since -> shared.follows(discovery, since));
        watch = version.isPresent() ? call(PATH + "?follow=1&since=" + version.getAsLong(), true) : call(PATH, false);
        if (before != null) {
            before.close();
        }
    }

    private Call call(String target, boolean watching) {
        Call call = new Call(discovery, target, watching);
        try {
            Threads.startOnReserve("box list call", call::run);
        } catch (OutOfMemoryError e) {
            offer(new Failed(call, new IOException("no thread for a call", e)));
        }
        return call;
    }

    private void heard(Heard m) {
        if (m.call == former) {
            tell(m.news); // its versions mean nothing to the new service
        } else if (m.call.at.equals(discovery) && (m.call == watch || !m.call.watching)) {
            if (version.isPresent() && m.news.version() < version.getAsLong()) {
                if (m.call.watching && byAnother && m.news.version() > m.call.since) {
                    shared.told(discovery, m.news.version(), m.news.full(), m.line); // only late: another's watch was quicker
                } else if (m.call.watching) { // else a single answer that the watch has overtaken
                    goesBack(m);
                }
                return;
            }
            at(OptionalLong.of(m.news.version()));
            byAnother = false;
            if (!m.call.answered) {
                m.call.answered = true;
                callLog.answered(m.call.number, System.nanoTime() - m.call.beganAt, m.news.version());
            }
            logged.removeIf(fault -> fault.startsWith(FAILED)); // the next failure is another one
            tell(m.news);
            confirmed(m.at);
            shared.told(discovery, m.news.version(), m.news.full(), m.line);
            shared.taken(discovery, m.news.version(), m.news.full(), m.line);
            endFormer();
            if (m.call == watch && !m.call.watching) {
                follow();
            }
        }
    }

    /**
     * A service that tells an older version has lost what it knew, or never had it: only the whole list can say what
     * holds now. Until it is there the last good state stays, but what is told draining or gone gets nothing more.
     */
    private void goesBack(Heard m) {
        log("version " + m.news.version() + " came after " + version.getAsLong());
        at(OptionalLong.empty());
        module.listNews(ListForm.DELTA, m.news.boxes().stream().filter(box -> !box.isReady()).toList(), List.of());
        m.call.close();
        failed(m.call, null);
    }

    private void tell(EndpointEntry.News news) {
        logFaults(news);
        module.listNews(news.full() ? ListForm.FULL : ListForm.DELTA, news.boxes(), news.kept());
    }

    private void logFaults(EndpointEntry.News news) { news.faults().forEach(this::log); }

    /** Once for each fault: what is wrong in the list stands in each of its versions, and what fails may do so for hours. */
    private void log(String fault) {
        if (logged.size() == LOGGED_MOST) {
            logged.clear();
        }
        if (logged.add(fault)) {
            Logger.warn("the box list: {}", fault);
        }
    }

    /** What a call's end says of how long the list binds. */
    private void noteForLease(Call call, Exception why) {
        if (call == watch) {
            lease.watchEnded(System.nanoTime(), call.alive && why instanceof SocketTimeoutException);
        }
        if (why instanceof ConnectException && REFUSED.equals(why.getMessage())) {
            lease.refused(call.beganAt);
        } else if (!call.alive) {
            lease.unanswered();
        }
        module.listLease(lease);
    }

    private void failed(Call call, Exception why) {
        if (call == confirming) {
            confirming = null; // the watch goes on, and its next line says as much
            return;
        }
        former = call == former ? null : former; // it was to end anyway
        if (call == watch || !call.watching && call.at.equals(discovery)) {
            noteForLease(call, why);
            watch = call == watch ? null : watch;
            soon = call.watching && call.alive;
            shared.failed();
            module.listNews(ListForm.FAILED, List.of(), List.of());
        }
    }

    /** Asks for the whole list once more where what is known has to be newer than the watch's last line. */
    @Override void onTime() {
        if (confirmDueIn(System.nanoTime()) <= 0) {
            confirmedFor = lease.askAgainAt();
            confirming = call(PATH, false);
        }
    }

    @Override long restNs() {
        long due = confirmDueIn(System.nanoTime());
        return due == NEVER ? NEVER : Math.max(1, due);
    }

    private long confirmDueIn(long now) {
        OptionalLong at = lease.askAgainAt();
        return at.isEmpty() || at.equals(confirmedFor) ? NEVER : at.getAsLong() - now;
    }

    /** One call of discovery on a connection and thread of its own. */
    private final class Call {
        private final int number = ++calls;
        private final long beganAt = System.nanoTime();
        private final InetSocketAddress at;
        private final String target;
        private final boolean watching;
        private final long since; // the version that it was begun with; -1 for none
        private final long answerNs;
        private final Failed outOfMemory = new Failed(this, new IOException("no memory for what the call told"));
        private boolean answered; // it has brought a list; the actor alone touches it
        private volatile boolean alive; // it has brought something, if only an empty line
        private volatile Connection connection;
        private volatile boolean closed;
        private final Semaphore untaken = new Semaphore(1); // taken while the actor has not taken what was told last
        private long lineBy; // when the next line must be whole; the call's thread alone touches it

        Call(InetSocketAddress at, String target, boolean watching) {
            this.at = at;
            this.target = target;
            this.watching = watching;
            since = version.orElse(-1);
            answerNs = soon ? ANSWER_SOON : ANSWER;
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
                    put(new Failed(this, null)); // a watch that has ended tells nothing more
                }
            } catch (IOException | RuntimeException e) {
                put(new Failed(this, e));
            } catch (Error e) { // no memory for what it told: unsaid, the module would wait for this call for ever
                put(outOfMemory);
            }
        }

        private void exchange(Connection open) throws IOException {
            long by = System.nanoTime() + answerNs;
            open.connect(at, answerNs);
            new HttpWriter(open).get(target, at.getHostString() + ":" + at.getPort());
            HttpReader reader = new HttpReader(open);
            HttpHead head = reader.answer(Math.max(1, by - System.nanoTime()));
            if (head.status() != 200) {
                throw new IOException("status " + head.status());
            }
            reader.allow(EndpointListReader.MOST_BYTES);
            EndpointListReader lists = new EndpointListReader(shared.wantsText());
            if (watching && head.chunked()) {
                follow(reader, lists);
            } else {
                readOne(reader, head, lists, by);
            }
        }

        private void readOne(HttpReader reader, HttpHead head, EndpointListReader lists, long by) throws IOException {
            reader.body(head, by, (bytes, length) -> take(bytes, length, lists, beganAt));
            if (lists.isWithinList() || !alive) {
                throw new IOException(lists.isWithinList() ? "an answer with half a list" : "an answer without a list");
            }
        }

        /** The first line may be an empty one, too, 2 s from here: where nothing has changed there is nothing to tell. */
        private void follow(HttpReader reader, EndpointListReader lists) throws IOException {
            byte[] some = new byte[PIECE_BYTES];
            reader.startChunks();
            lineBy = System.nanoTime() + SILENCE;
            for (int n = reader.chunk(some, 0, PIECE_BYTES, lineBy); n >= 0; n = reader.chunk(some, 0, PIECE_BYTES, lineBy)) {
                take(some, n, lists, System.nanoTime());
            }
        }

        private void take(byte[] bytes, int length, EndpointListReader lists, long at) {
            for (int i = 0; i < length; i++) {
                EndpointListReader.Progress progress = lists.next(bytes[i]);
                if (progress == EndpointListReader.Progress.LIST) {
                    EndpointEntry.News news = lists.take();
                    heard(new Heard(this, news, lists.text(), at));
                } else if (progress == EndpointListReader.Progress.EMPTY_LINE && watching) {
                    heard(new Unchanged(this, at));
                }
            }
        }

        /** Leaves it once what this call has told before is taken: lists are large, and the mailbox counts messages. */
        private void heard(Message message) {
            alive = true;
            if (watching) {
                shared.alive();
            }
            untaken.acquireUninterruptibly();
            put(message);
            lineBy = System.nanoTime() + SILENCE; // what was waited for here is no silence of the service
        }
    }
}
