package streamproxy.fleet;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

import org.tinylog.Logger;
import streamproxy.duties.WatchFollower;
import streamproxy.duties.ListLog;
import streamproxy.fleet.wire.AnswerToMember;
import streamproxy.fleet.wire.ListAnswer;
import streamproxy.fleet.wire.ListQuestion;
import streamproxy.fleet.wire.QuestionRecord;
import streamproxy.routing.SharedList;

/**
 * One member of each zone holds the watch of the box list for the others, which ask it for what comes. Nothing rests on the
 * duty's being held by one alone: versions order what is told, and who gets nothing has a watch of its own
 * ({@link WatchFollower}).
 */
final class ListSharing implements SharedList, AutoCloseable {
    /** How the duty stands. */
    interface Watch {
        /** Who holds it as far as is known here; empty for nobody. */
        String holder();

        /** Whether this member does, by its own clock. */
        boolean holds();

        /** How many stand before this member in the line for it. */
        int rank();

        /** The watch failed, or brought something: who holds the duty and cannot do it gives it up. */
        void acted(boolean well);
    }

    /** Asks all other members which list they have. */
    interface Others {
        int ask(long patienceMs, Consumer<KeptList.Known> tell) throws InterruptedException;
    }

    private static final long ASK_OTHERS_NS = 1_000_000_000L;
    private static final String THREAD = "fleet list";
    private static final long ANSWERS_AFTER_MS = 400;
    private static final long PATIENCE_MS = 900;
    private static final long PAUSE_MS = 100;
    private static final int WAITING_MOST = 256;
    private static final long MS = 1_000_000L;

    private final String me;
    private final Watch watch;
    private final Peers peers;
    private final KeptList kept;
    private final boolean shares;
    private final Others others;
    private volatile boolean heard; // the service, or a watch of it, since the start
    private long askedOthersAt = System.nanoTime();
    private final WatchFollower following = new WatchFollower(System.nanoTime());
    private final ListLog log = new ListLog();
    private final Set<CompletableFuture<Void>> waiting = ConcurrentHashMap.newKeySet();
    private final AtomicLong aliveAt = new AtomicLong(System.nanoTime() - WatchFollower.WATCH_QUIET_NS);
    private InetSocketAddress service; // whose the log is
    private volatile Follower follower;
    private volatile long begunAt = System.nanoTime(); // the own watch
    private volatile boolean own;
    private volatile String from = "";
    private volatile boolean closed;

    /**
     * @param shares whether there is one watch for several; else this router always has its own
     * @param others who is asked while neither the service nor a watch of it was heard
     */
    ListSharing(String me, Watch watch, Peers peers, KeptList kept, boolean shares, Others others) {
        this.others = others;
        this.kept = kept;
        this.shares = shares;
        own = !shares;
        this.me = me;
        this.watch = watch;
        this.peers = peers;
        peers.answer(QuestionRecord.WhatCase.LIST, question -> asked(question.getList()));
    }

    void start() {
        Thread thread = new Thread(null, this::run, THREAD, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    // ---- This router's own watch ----------------------------------------------------------------------

    @Override public boolean begin(Follower to) {
        follower = to;
        return !shares;
    }

    /** Says nothing of whether the service answers: those who follow go by what has come. */
    @Override public synchronized void follows(InetSocketAddress at, long version) {
        begunAt = System.nanoTime();
        if (!at.equals(service) || !log.begun() || log.newest() != version) {
            service = at;
            log.begin(version);
        }
    }

    @Override public void told(InetSocketAddress at, long version, boolean full, String line) {
        synchronized (this) {
            if (!at.equals(service)) {
                log.forget();
            }
            service = at;
            log.told(new ListLog.Line(version, full, line));
        }
        heard = true;
        alive();
        waiting.forEach(one -> one.complete(null));
        if (watch.holds()) {
            watch.acted(true);
        }
    }

    @Override public boolean wantsText() { return true; }

    @Override public void taken(InetSocketAddress at, long version, boolean full, String line) { kept.taken(at, version, full, line); }

    @Override public void alive() { aliveAt.set(System.nanoTime()); }

    @Override public void failed() {
        if (watch.holds()) {
            watch.acted(false);
        }
    }

    // ---- Those who follow this one --------------------------------------------------------------------

    private CompletableFuture<AnswerToMember.Builder> asked(ListQuestion question) {
        ListAnswer now = answer(question);
        boolean news = now.getLinesCount() > 0 || now.getLacksWhole() || !now.getService().equals(question.getService());
        if (news || waiting.size() >= WAITING_MOST) {
            if (now.getLacksWhole()) {
                follower.whole();
            }
            return CompletableFuture.completedFuture(AnswerToMember.newBuilder().setList(now));
        }
        CompletableFuture<Void> until = new CompletableFuture<>();
        waiting.add(until);
        return until.completeOnTimeout(null, ANSWERS_AFTER_MS, TimeUnit.MILLISECONDS).thenApply(nothing -> {
            waiting.remove(until);
            return AnswerToMember.newBuilder().setList(answer(question));
        });
    }

    private synchronized ListAnswer answer(ListQuestion question) {
        ListAnswer.Builder answer = ListAnswer.newBuilder().setQuietNs(System.nanoTime() - aliveAt.get());
        if (!own || service == null || !log.begun()) {
            return answer.build(); // there is no watch here, and so no service
        }
        answer.setService(text(service)).setNewest(log.newest());
        if (answer.getService().equals(question.getService())) {
            List<ListLog.Line> lines = log.since(question.getSince());
            answer.setLacksWhole(lines == null);
            if (lines != null) {
                lines.forEach(line -> answer.addLines(line.text()));
            }
        }
        return answer.build();
    }

    private static String text(InetSocketAddress address) { return address.getHostString() + ":" + address.getPort(); }

    // ---- Following another ----------------------------------------------------------------------------

    private void run() {
        while (!closed) {
            try {
                turn();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            } catch (RuntimeException e) {
                Logger.error(e, "{} goes on after", THREAD);
                LockSupport.parkNanos(PAUSE_MS * MS);
            }
        }
    }

    private void turn() throws InterruptedException {
        Follower to = follower;
        if (to != null && !heard && System.nanoTime() - askedOthersAt >= ASK_OTHERS_NS) {
            askedOthersAt = System.nanoTime();
            others.ask(PATIENCE_MS, known -> learn(to, known));
        }
        String holder = watch.holder();
        boolean holds = watch.holds();
        if (holds && own && System.nanoTime() - Math.max(begunAt, aliveAt.get()) >= WatchFollower.WATCH_QUIET_NS) {
            watch.acted(false); // its connection may stand: it is the others who would wait
        }
        following.holds(holds);
        following.rank(watch.rank());
        if (to != null && !holds && !holder.isEmpty() && !holder.equals(me)) {
            ask(to, holder);
        } else {
            TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
        }
        boolean now = following.own(System.nanoTime());
        if (to != null && now != own) {
            Logger.info("fleet: the box list comes from {}", now ? "a watch of our own" : holder);
            own = now;
            to.own(now);
        }
        from = own ? me : holder;
    }

    /** While the service is away the newest whole list that any member has is as good as one's own kept one. */
    private static void learn(Follower to, KeptList.Known known) {
        SharedList.Position position = to.position();
        if (known.whole() && known.version() > position.version() && known.service().equals(text(position.service()))) {
            to.line(position.service(), known.line().getText());
        }
    }

    private void ask(Follower to, String holder) throws InterruptedException {
        SharedList.Position known = to.position();
        long askedAt = System.nanoTime();
        try {
            ListAnswer answer = peers.ask(holder, QuestionRecord.newBuilder().setList(ListQuestion.newBuilder().setService(text(known.service()))
                    .setSince(known.version()))).get(PATIENCE_MS, TimeUnit.MILLISECONDS).getList();
            if (!answer.getService().equals(text(known.service()))) {
                TimeUnit.MILLISECONDS.sleep(PAUSE_MS); // it goes by another service, or has no watch yet
                return;
            }
            heard |= answer.getLinesCount() > 0 || answer.getQuietNs() < WatchFollower.WATCH_QUIET_NS;
            answer.getLinesList().forEach(line -> to.line(known.service(), line));
            boolean knowsAll = !answer.getLacksWhole() && answer.getNewest() >= known.version();
            following.answered(System.nanoTime(), askedAt, answer.getQuietNs(), knowsAll);
            if (knowsAll && answer.getQuietNs() < WatchFollower.WATCH_QUIET_NS) { // else its watch may have brought nothing yet
                to.confirmed(known.service(), answer.getNewest(), askedAt - answer.getQuietNs());
            }
            if (!knowsAll || answer.getLinesCount() > 0) {
                awaitTaken(to, known); // else the same would be asked for again before it has been read
            }
        } catch (ExecutionException | TimeoutException | IllegalArgumentException e) { // or what it tells cannot be read
            Logger.debug("fleet: {} does not tell the list: {}", holder, e.toString());
            TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
        }
    }

    private static void awaitTaken(Follower to, SharedList.Position before) throws InterruptedException {
        long by = System.nanoTime() + PAUSE_MS * MS;
        while (to.position().equals(before) && System.nanoTime() < by) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
    }

    /** From which member's watch this router has the list now; its own name where from its own. */
    String from() { return from; }

    /** Which version of the list this router has; negative where none. */
    long version() {
        Follower to = follower;
        return to == null ? -1 : to.position().version();
    }

    @Override public void close() { closed = true; }
}
