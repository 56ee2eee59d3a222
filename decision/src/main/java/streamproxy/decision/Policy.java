package streamproxy.decision;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import streamproxy.decision.Routing.Actions;
import streamproxy.decision.Routing.Arrival;
import streamproxy.decision.Routing.Choice;
import streamproxy.decision.Routing.Dropped;
import streamproxy.decision.Routing.Effect;
import streamproxy.decision.Routing.Ended;
import streamproxy.decision.Routing.Endpoint;
import streamproxy.decision.Routing.Event;
import streamproxy.decision.Routing.FirstByte;
import streamproxy.decision.Routing.Group;
import streamproxy.decision.Routing.Health;
import streamproxy.decision.Routing.ListChange;
import streamproxy.decision.Routing.ListForm;
import streamproxy.decision.Routing.LoadReport;
import streamproxy.decision.Routing.Outcome;
import streamproxy.decision.Routing.Owned;
import streamproxy.decision.Routing.Probed;
import streamproxy.decision.Routing.Reports;
import streamproxy.decision.Routing.RequestClass;
import streamproxy.decision.Routing.Settings;
import streamproxy.decision.Routing.TimerDue;
import streamproxy.streams.RetryBudget;

/**
 * Every routing decision of one gateway. The interface (settings, events, actions) is Routing.java.
 *
 * <p>Ordinary path: distributed Join-Idle-Queue, early threshold (Mitzenmacher). The gateway keeps an
 * I-queue of owned replicas whose report, taken after their last list send, shows unread prompt tokens
 * at or under z. A prompt goes to the list's front, which leaves it; with an empty list, to a ready
 * replica drawn at random. The departures and their triggers are tabled in docs/design.md.
 *
 * <p>One instance is one gateway: single-threaded, no clock but the events', no order from hash tables.
 */
public final class Policy {
    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000 * MS;
    /** Owned replicas a gateway wants; where gateways are many, each gets more owners (paper: r = n/m). */
    private static final double OWNED_WANTED = 12;
    /** z, the early threshold, as a share of a mean prompt: under it a new prompt is begun at once. */
    private static final double EARLY = 0.4;
    /** Evidence older than this is probed again before it places a prompt; reports refresh no faster. */
    private static final long FRESH = 300 * MS;
    /** Evidence older than this says nothing: queues at a replica turn over within it. */
    private static final long STALE = 3 * SECOND;
    /** Probes earned by each request, and the most saved up. */
    private static final double PROBES_PER_REQUEST = 1;
    private static final double PROBES_SAVED = 10;
    /** Share of the aim that a prompt may wait for its probes. */
    private static final double PROBE_PATIENCE = 0.15;
    /** First ejection after a failure; doubled at each failed trial up to the longest. */
    private static final long EJECT_FIRST = 1 * SECOND;
    private static final long EJECT_LONGEST = 16 * SECOND;
    /** Never eject more than this share of the ready replicas: all slow at once is no outlier. */
    private static final double EJECT_SHARE = 0.34;
    private static final double EJECT_SHARE_SLOW = 0.15;
    /** An entry of the I-queue is dropped when its report is older than this. */
    private static final long LISTED_FOR = 1 * SECOND;
    /** How fast the preference for the own zone fades as its reports exceed the other zones'. */
    private static final double LEAN = 8;
    /** Share of reports with a backlog that is borne, and how fast shedding follows what goes beyond. */
    private static final double BACKLOG_MOST = 0.65;
    private static final double BACKLOG_STEP = 0.04;
    /** Most of a class that is turned away: the rest keeps showing how things are. */
    private static final double SHED_MOST = 0.9;
    private static final long TICK = 100 * MS;
    /** Time over which a beginning's share of the traffic is counted; keepers for each share of a zone. */
    private static final double PREFIX_MEMORY = 25.0 * SECOND;
    private static final int PREFIXES_MOST = 4096;
    private static final double KEEPERS = 2.5;
    /** What twice the usual answers running, or twice the latency, is behind by, in mean prompts. */
    private static final double STRAIN = 1;
    /** What each own attempt out adds, in mean prompts: reports come late, slow replicas keep theirs. */
    private static final double RUNNING = 0.1;
    private static final int DRAWN = 4; // from the zone that goes first, with two of the other beside them
    /** What a cold replica is given of what would tip it over; the rest is left to chance. */
    private static final double COLD_SHARE = 0.5;
    private static final double COLD_IN_TIME = 0.7; // the share of its time in which a prompt must be begun
    /** At most: from the end of an answered watch to the next call, and between calls without an answer. */
    public static final long ASK_FIRST = 300 * MS;
    public static final long ASK_AGAIN = 2_500 * MS;
    public static final long ASK_SOON = 2_200 * MS; // the first time behind a watch that was answered
    /**
     * The first calls of all gateways, in the mean: together no more than a service does that answers
     * 17 a second, as a call that fails binds sooner than none. All come in half of askEvery.
     */
    private static final long ASK_APART = 60 * MS;

    private Settings set;
    private final EndpointTrust trust = new EndpointTrust();
    private final ReplicaSizes sizes = new ReplicaSizes();
    private final RetryBudget retries;
    private final Actions out;
    private final SplittableRandom random;
    private Routing.Owners owners;

    /** What this gateway knows of one replica. */
    private static final class Rep {
        final long id;
        int place;                   // this gateway's among its owners
        int zone;
        int cell;
        double weight = 1;           // as the list tells it
        long born;
        boolean ready;
        boolean inFleet;             // stands among the ready ones, whether or not it is one still
        boolean listed;              // stands in the I-queue
        double unread;               // prompt tokens unread by the last report
        long provenAt = EndpointTrust.NEVER_PROVEN; // it answered a probe well that was asked for then
        long reportAt = -1;
        long probeAt = -1;           // an unanswered probe went out then
        double latency;              // of its last answers, in ms by that report; 0 where it tells none
        double held;                 // requests in hand, or memory or cores in use, by that report
        double sentSince;            // own tokens sent since that report
        int running;                 // own attempts out
        double pending;              // own tokens sent that have no first token yet
        int strikes;                 // failures in a row
        long ejectedUntil;           // 0 = in service
        boolean reset;               // the last attempt was reset
        boolean trial;               // one attempt out to a replica coming back
        SlowStart slowStart;         // while it is cold; null for one that is warm

        Rep(long id, int place) {
            this.id = id;
            this.place = place;
        }
    }

    /** One attempt of a request. */
    private static final class Attempt {
        Rep to;
        long at;
        int zone;
        int cell;
        boolean out = true;
        boolean begun;
        boolean mayHaveRun = true;   // while it is out it may run
    }

    /** A request this gateway owes an answer, or that still has attempts out. */
    private static final class Req {
        Arrival in;
        RequestClass clazz;
        long aimAt;                  // the first token is wanted by then
        long endAt;                  // the gateway answers by then
        boolean done;
        boolean begun;
        int token;
        int paid = 1;                // attempts that the budget has granted, the first is free
        int attemptsMost;            // as the settings had it when it came
        long wakeAt = Long.MAX_VALUE;
        long probesUntil = -1;       // held for its probes until then
        final List<Rep> drawn = new ArrayList<>(3); // the candidates, nearest first
        final List<Attempt> attempts = new ArrayList<>(2);

        boolean out() { return attempts.stream().anyMatch(a -> a.out); }
    }

    /** What was asked for lately of one class. */
    private static final class AskedLately {
        double tokens;
        double worth;

        void fade(double by) {
            tokens *= by;
            worth *= by;
        }

        void add(double moreTokens, double moreWorth) {
            tokens += moreTokens;
            worth += moreWorth;
        }
    }

    /** A shared beginning: how often it is asked for, and the replicas that keep it. */
    private static final class Prefix {
        double seen;
        long at;
        int epoch = -1;
        int size;                    // so many keep it, the one after them is the spare
        Rep[] homes;

        List<Rep> keepers() { return Arrays.asList(homes).subList(0, Math.min(size, homes.length)); }
    }

    private final Map<Long, Rep> byId = new HashMap<>();
    private final List<Rep> fleet = new ArrayList<>();   // ready replicas, in the order they were named
    private final List<Rep> near = new ArrayList<>();    // those of this gateway's zone
    private final List<Rep> far = new ArrayList<>();     // and the others
    private final List<Rep> ownNear = new ArrayList<>(); // those it owns, one of several owners
    private final List<Rep> ownFar = new ArrayList<>();
    private final ArrayDeque<Rep> iqueue = new ArrayDeque<>();
    private final Map<Long, Req> requests = new HashMap<>();
    private final Map<Integer, Req> timers = new HashMap<>();
    private final Map<Long, Prefix> prefixes = new HashMap<>();
    private final Set<Req> held = new LinkedHashSet<>();    // nowhere to go yet
    private final Set<Req> waiting = new LinkedHashSet<>(); // for a probe's answer
    private int epoch;
    private int tokens;
    private double probeBudget = PROBES_SAVED;
    private double meanPrompt = 1000;
    private final Map<String, AskedLately> asked = new LinkedHashMap<>(); // by the class's name
    private double backlog;          // share of the work to turn away for the sake of the rest
    private double meanUnread;
    private double meanHeld;
    private double meanLatency;      // as reports tell it, in ms
    private double meanFirst;        // from a send to its first token
    private double strainNear = 1;
    private double strainFar = 1;
    private double seen;
    private final DecayingRate arrivals;    // own requests
    private final DecayingRate warmBegins;  // own prompts that began at warm replicas
    private long arrivedAt;
    private long coldUntil;          // no ready replica is cold from then on
    private boolean watching;
    private long askAt;
    private long askedAt;
    private long askAgain = ASK_AGAIN;
    private boolean heard;           // something came since then

    public Policy(Settings settings, long seed, long now, Actions actions) {
        this(settings, seed, now, actions, null);
    }

    /** @param retries what may be sent again for all requests together; null where that is not bounded */
    public Policy(Settings settings, long seed, long now, Actions actions, RetryBudget retries) {
        this.retries = retries;
        set = settings;
        owners = new Routing.Ring(set.me(), set.gateways());
        out = actions;
        random = new SplittableRandom(seed);
        arrivals = new DecayingRate(now);
        warmBegins = new DecayingRate(now);
        arrivedAt = now;
        askAt = now + random.nextLong(Math.max(1, Math.min(set.rules().askEveryNs() / 2,
                set.gateways() * ASK_APART)));
        out.timer(1 + random.nextLong(TICK), 0);
    }

    /**
     * Settings told anew bind from now on; requests under way keep their class and no more attempts
     * than they were allowed. What was asked for lately stays with the names of the classes.
     */
    public void retune(Settings next) {
        asked.keySet().retainAll(next.classes().stream().map(RequestClass::name).toList());
        set = next;
        sizes.take(set.weights(), fleet.stream().mapToDouble(r -> r.weight).toArray());
    }

    /** Takes one event; events come in order, {@code now} never goes back. */
    public void on(long now, Event event) {
        if (event instanceof Arrival e) {
            arrive(now, e);
        } else if (event instanceof Ended e) {
            ended(now, e);
        } else if (event instanceof FirstByte e) {
            firstByte(now, e);
        } else if (event instanceof Probed e) {
            probed(now, e);
        } else if (event instanceof TimerDue e) {
            timer(now, e.token());
        } else if (event instanceof ListChange e) {
            list(now, e);
        } else if (event instanceof Routing.ListLease e) {
            trust.renew(e);
            trust.reportTransition(now, out);
            release(now);
        } else if (event instanceof Owned e) {
            owners = e.owners();
            byId.values().forEach(r -> r.place = owners.place(r.id));
            arrange(now);
        } else if (event instanceof Routing.Granted e) {
            Rep r = byId.get(e.replica());
            if (r != null && cold(now, r)) {
                slowStart(now, r).grant(now, e);
            }
        } else if (event instanceof Dropped e) {
            Req q = requests.get(e.request());
            if (q != null) {
                finish(q, null);
            }
        }
    }

    // ---- The replica list -------------------------------------------------------------------------

    private void list(long now, ListChange change) {
        if (change.form() == ListForm.FAILED) {
            // A broken subscription tells nothing more; unasked for too long, old news counts as told.
            watching = false;
            askAt = heard ? now + ASK_FIRST / 2 + random.nextLong(ASK_FIRST / 2)
                    : askedAt + askAgain * 3 / 4 + random.nextLong(askAgain / 4);
            askAgain = heard ? ASK_SOON : ASK_AGAIN;
            heard = false;
            return;
        }
        heard |= change.form() != ListForm.CACHED;
        boolean changed = change.form() != ListForm.DELTA;
        if (changed) {
            fleet.forEach(r -> r.ready = false);
        }
        for (Endpoint e : change.entries()) {
            Rep r = byId.get(e.id());
            if (r == null) {
                r = new Rep(e.id(), owners.place(e.id()));
                byId.put(e.id(), r);
            }
            boolean ready = e.health() == Health.READY;
            changed |= r.ready != ready || r.zone != e.zone() || r.born != e.bornNs();
            if (r.born != e.bornNs()) {
                r.latency = 0;
                r.reportAt = -1; // a restarted process is another one: what was known of it is void
                r.provenAt = EndpointTrust.NEVER_PROVEN;
                r.strikes = 0;
                r.ejectedUntil = 0;
                r.born = e.bornNs();
                r.slowStart = null;
                delist(r);
            }
            r.zone = e.zone();
            r.cell = e.cell();
            r.weight = ReplicaSizes.sound(e.weight());
            if (ready && !r.inFleet) {
                fleet.add(r);
                r.inFleet = true;
            }
            r.ready = ready;
            if (e.health() == Health.GONE) {
                byId.remove(r.id); // ids are always new: kept, they would pile up
            }
        }
        if (change.form() != ListForm.DELTA) {
            byId.values().removeIf(r -> !r.ready); // not named; one that drains is known by its attempts
        }
        if (changed) {
            arrange(now);
        }
        sizes.take(set.weights(), fleet.stream().mapToDouble(r -> r.weight).toArray());
        release(now);
    }

    private void arrange(long now) {
        epoch++;
        fleet.removeIf(r -> {
            r.inFleet = r.ready;
            return !r.ready;
        });
        near.clear();
        far.clear();
        ownNear.clear();
        ownFar.clear();
        for (Rep r : fleet) {
            boolean here = r.zone == set.zone();
            coldUntil = Math.max(coldUntil, r.born > 0 ? r.born + set.rules().rampNs() : 0);
            (here ? near : far).add(r);
            if (owned(now, r)) {
                (here ? ownNear : ownFar).add(r);
            }
        }
        iqueue.removeIf(r -> {
            r.listed = r.ready && owned(now, r); // told draining or gone: not one more send
            return !r.listed;
        });
    }

    private void askForList(long now) {
        if (set.listOnRequest() && !watching && now >= askAt) {
            out.watchList(); // first: a call that could not be begun is none
            watching = true;
            askedAt = now;
        }
    }

    // ---- Reports, the I-queue and the owner's probes ------------------------------------------------

    private boolean owned(long now, Rep r) {
        double wanted = Math.ceil(OWNED_WANTED * owners.gateways() / Math.max(1, fleet.size()));
        return r.place < wanted && owners.may(now);
    }

    private double z() { return EARLY * meanPrompt; }

    private void report(long now, Rep r, LoadReport report) {
        if (report == null) {
            return;
        }
        double unread = report.unreadTokens();
        if (Double.isNaN(unread)) {
            unread = report.waiting() * meanPrompt;
        }
        if (Double.isNaN(unread) && !Double.isNaN(report.inHand())) {
            unread = Math.max(0, report.inHand() - meanHeld) * meanPrompt;
        }
        if (Double.isNaN(unread)) {
            return;
        }
        r.unread = unread;
        r.reportAt = now;
        r.sentSince = 0;
        double held = !Double.isNaN(report.inHand()) ? report.inHand()
                : !Double.isNaN(report.memoryShare()) ? report.memoryShare() : report.busy();
        if (!Double.isNaN(held)) {
            r.held = held;
            meanHeld += 0.05 * (held - meanHeld);
        }
        meanUnread += 0.05 * (unread - meanUnread);
        r.latency = report.latencyMs() > 0 ? report.latencyMs() : 0;
        if (r.latency > 0) { // one that stands still is no measure for the others
            double most = meanLatency == 0 ? r.latency : 3 * meanLatency;
            meanLatency += (meanLatency == 0 ? 1 : 0.05) * (Math.min(r.latency, most) - meanLatency);
        }
        if (r.listed) {
            delist(r); // listed anew at the end, or not at all
        }
        // Reading stalls every running stream: where most replicas have a backlog, no answer keeps its pace.
        press(unread > z());
        double strain = unread / Math.max(1, meanUnread) + (meanHeld > 0 ? r.held / meanHeld : 0);
        if (r.zone == set.zone()) {
            strainNear += 0.05 * (strain - strainNear);
        } else {
            strainFar += 0.05 * (strain - strainFar);
        }
        enlist(now, r);
    }

    private void press(boolean behind) {
        double excess = (behind ? 1 : 0) - BACKLOG_MOST;
        backlog = Math.max(0, Math.min(SHED_MOST, backlog + BACKLOG_STEP * excess));
    }

    private void enlist(long now, Rep r) {
        // A replica that failed last looks idle: it is not listed before an attempt there has succeeded.
        if (!r.listed && r.ready && r.strikes == 0 && !cold(now, r) && owned(now, r) && load(now, r) <= z()) {
            r.listed = true;
            iqueue.addLast(r);
        }
    }

    private void delist(Rep r) {
        if (r.listed) {
            r.listed = false;
            iqueue.remove(r);
        }
    }

    /** Unread tokens by the last report, own sends since then counted on top. */
    private double load(long now, Rep r) {
        boolean known = r.reportAt >= 0 && now - r.reportAt < STALE;
        // Without a report own sends would add up for ever: only those without a first token count then.
        return known ? r.unread + Math.max(r.sentSince, r.pending) : meanUnread + r.pending;
    }

    /** Load, and what running answers and a slow machine keep a new one waiting for, in tokens. */
    private double busy(long now, Rep r) {
        double strain = 0;
        if (r.reportAt >= 0 && now - r.reportAt < STALE) {
            strain += meanHeld > 0 ? Math.max(0, r.held / meanHeld - 1) : 0;
            strain += meanLatency > 0 ? Math.max(0, r.latency / meanLatency - 1) : 0;
        }
        return load(now, r) + meanPrompt * (STRAIN * strain + RUNNING * r.running);
    }

    private boolean probe(long now, Rep r) {
        if (r.probeAt >= 0) {
            return true;
        }
        if (!set.limits().probes() || probeBudget < 1) {
            return false;
        }
        probeBudget--;
        r.probeAt = now;
        out.probe(r.id);
        return true;
    }

    private void probed(long now, Probed e) {
        Rep r = byId.get(e.replica());
        if (r == null) {
            return;
        }
        r.probeAt = -1;
        if (e.outcome() == Outcome.OK) {
            r.provenAt = now - e.afterNs();
            report(now, r, e.report());
            if (!trust.isConfirmed(now)) {
                release(now);
            }
        } else if (e.outcome() != Outcome.RESET) { // a connection's end tells nothing of the load
            r.provenAt = e.outcome() == Outcome.ERROR ? EndpointTrust.NEVER_PROVEN : r.provenAt;
            overloaded(now, r);
        }
        for (Req q : waiting.toArray(new Req[0])) {
            if (q.drawn.contains(r)) {
                step(now, q);
            }
        }
    }

    private void tick(long now) {
        askForList(now);
        trust.reportTransition(now, out);
        if (prefixes.size() > PREFIXES_MOST) {
            prefixes.values().removeIf(p -> now - p.at > 2 * PREFIX_MEMORY); // a router runs for months
        }
        if (set.reports() != Reports.SILENT && probeBudget > PROBES_SAVED / 2) {
            Rep oldest = oldest(now, ownFar, oldest(now, ownNear, null));
            if (oldest != null && now - oldest.reportAt > FRESH) {
                probe(now, oldest);
            }
        }
        double share = turnsShare(now);
        for (Rep r : fleet) {
            if (share > 0 && cold(now, r)) {
                out.cold(r.id, sizes.ofCold(r.weight) * given(now, r) * share, warmBegins.perS(now));
            } else if (r.slowStart != null && !cold(now, r)) {
                out.warmedUp(r.slowStart.summary(now, r.id, sizes.ofCold(r.weight)));
                r.slowStart = null;
            }
        }
        release(now);
        out.timer(TICK * 3 / 4 + random.nextLong(TICK / 2), 0);
    }

    private static Rep oldest(long now, List<Rep> among, Rep oldest) {
        for (Rep r : among) {
            if (r.probeAt < 0 && r.ejectedUntil <= now && (oldest == null || r.reportAt < oldest.reportAt)) {
                oldest = r;
            }
        }
        return oldest;
    }

    // ---- A request's way ------------------------------------------------------------------------------

    private void arrive(long now, Arrival in) {
        if (requests.containsKey(in.request())) {
            return;
        }
        Req q = new Req();
        q.in = in;
        q.clazz = in.clazz();
        q.attemptsMost = set.limits().maxAttempts();
        q.aimAt = now + q.clazz.aimNs() + (long) (q.clazz.aimNsPerToken() * in.promptTokens());
        long deadline = now + in.budgetNs();
        long last = deadline - Math.max(set.rules().graceToAnswerNs(), in.budgetNs() / 100);
        q.endAt = Math.max(now, q.clazz.lateWorth() > 0 ? last : Math.min(last, q.aimAt));
        q.token = ++tokens;
        requests.put(in.request(), q);
        timers.put(q.token, q);
        meanPrompt += (in.promptTokens() - meanPrompt) * Math.max(0.02, 1 / ++seen);
        double passed = (now - arrivedAt) / (double) SECOND;
        arrivals.count(now);
        if (retries != null) {
            retries.request(now);
        }
        arrivedAt = now;
        probeBudget = Math.min(PROBES_SAVED, probeBudget + PROBES_PER_REQUEST);
        double fade = Math.exp(-passed / 10);
        asked.values().forEach(of -> of.fade(fade));
        AskedLately own = asked.computeIfAbsent(q.clazz.name(), name -> new AskedLately());
        own.add(in.promptTokens(), q.clazz.worth());
        earnByTime(now);
        if (shed(own) && !toCold(now, q)) { // a cold one has its turns whatever the backlog
            answer(q, Choice.SHED);
            return;
        }
        step(now, q);
    }

    /**
     * Overload: work that comes late is lost twice. While too many replicas report a backlog, a share of the
     * work is refused at once, when trying again elsewhere or later is still of use.
     */
    private boolean shed(AskedLately own) {
        if (backlog <= 0) {
            return false;
        }
        // The least worth for its work goes first: how much of the work is worth less than this class's?
        double less = 0;
        double all = 0;
        for (AskedLately of : asked.values()) {
            less += of.worth * own.tokens < own.worth * of.tokens ? of.tokens : 0;
            all += of.tokens;
        }
        return random.nextDouble() < Math.min(SHED_MOST, (backlog * all - less * SHED_MOST) / own.tokens);
    }

    /** Moves a request on: places it, or answers it for good. */
    private void step(long now, Req q) {
        if (q.done || q.begun) {
            return;
        }
        if (now >= q.endAt) {
            answer(q, Choice.SPENT);
            return;
        }
        if (!q.out()) {
            int most = Math.min(q.attemptsMost, set.limits().maxAttempts());
            if (q.attempts.size() >= most || !mayRepeat(now, q, null) || !paid(now, q)) {
                answer(q, Choice.SPENT);
                return;
            }
            place(now, q);
        }
        wake(now, q);
    }

    private void wake(long now, Req q) {
        if (q.done || q.begun) {
            return;
        }
        long at = q.endAt;
        if (q.probesUntil > now) {
            at = Math.min(at, q.probesUntil);
        }
        if (at < q.wakeAt || q.wakeAt <= now) {
            q.wakeAt = at;
            out.timer(Math.max(1, at - now), q.token);
        }
    }

    private void timer(long now, int token) {
        if (token == 0) {
            tick(now);
            return;
        }
        Req q = timers.get(token);
        if (q != null) {
            // A host's clock may be coarser than ours: a bell rung early must not be the last one.
            q.wakeAt = Long.MAX_VALUE;
            step(now, q);
        }
    }

    // ---- Placing --------------------------------------------------------------------------------------

    private boolean cold(long now, Rep r) { return r.born > 0 && now - r.born < set.rules().rampNs(); }

    private boolean usable(long now, Rep r, Req q) {
        return trust.allows(now, r.provenAt) && candidate(now, r, q);
    }

    /** One that may be used if it is known, or proves, to be ready still. */
    private boolean candidate(long now, Rep r, Req q) {
        if (!r.ready || cold(now, r) || r.ejectedUntil > now || r.ejectedUntil > 0 && r.trial) {
            return false;
        }
        return q.attempts.isEmpty() || q.attempts.stream().noneMatch(a -> a.to == r) && mayRepeat(now, q, r);
    }

    private void place(long now, Req q) {
        if (q.probesUntil < 0) {
            if (toCold(now, q) || owners.may(now) && fromList(now, q)) {
                return;
            }
            draw(now, q);
            if (q.drawn.isEmpty()) {
                held.add(q);
                return;
            }
            boolean asked = false;
            for (Rep r : q.drawn) {
                asked |= wantsProbe(now, r) && probe(now, r);
            }
            if (asked) {
                q.probesUntil = now + (long) (PROBE_PATIENCE * Math.min(q.aimAt - now, q.endAt - now));
                waiting.add(q);
            }
        }
        choose(now, q);
    }

    private boolean wantsProbe(long now, Rep r) {
        return set.reports() != Reports.SILENT && stale(now, r) || !trust.allows(now, r.provenAt);
    }

    private boolean stale(long now, Rep r) { return r.reportAt < 0 || now - r.reportAt > FRESH; }

    /** The I-queue: an entry that keeps the prompt's beginning, else the front. */
    private boolean fromList(long now, Req q) {
        Rep front = null;
        Prefix p = prefix(now, q);
        // Other owners send there too: an entry is worth no more than its report. The oldest stand in front.
        while (!iqueue.isEmpty() && now - iqueue.peekFirst().reportAt > LISTED_FOR) {
            delist(iqueue.peekFirst());
        }
        for (Rep r : iqueue) {
            if (usable(now, r, q) && busy(now, r) <= z()) {
                if (keeps(p, r)) {
                    send(now, q, r, Choice.KEEPER);
                    return true;
                }
                if (front == null) {
                    front = r;
                }
            }
        }
        // A shared beginning longer than z would by itself make the front busy: its keepers are drawn from.
        if (front != null && (p == null || q.in.prefixTokens() <= z())) {
            send(now, q, front, Choice.LIST);
            return true;
        }
        return false;
    }

    private Prefix prefix(long now, Req q) {
        if (q.in.prefix() == 0 || fleet.isEmpty()) {
            return null;
        }
        Prefix p = prefixes.computeIfAbsent(q.in.prefix(), key -> new Prefix());
        if (q.attempts.isEmpty() && q.probesUntil < 0) {
            p.seen = p.seen * Math.exp((p.at - now) / PREFIX_MEMORY) + 1;
            p.at = now;
        }
        // One sighting is no share: else each rare beginning would be spread over many replicas and reread.
        double share = Math.max(0, p.seen - 1) / Math.max(8, PREFIX_MEMORY / SECOND * arrivals.perS(now));
        int size = 2 + (int) (KEEPERS * share * fleet.size());
        if (p.epoch != epoch || p.size < size) {
            p.homes = best(fleet, q.in.prefix(), size);
        }
        p.epoch = epoch;
        p.size = Math.max(1, size);
        return p;
    }

    private static Rep[] best(List<Rep> among, long key, int size) {
        long[] rank = new long[among.size()];
        for (int i = 0; i < rank.length; i++) {
            rank[i] = Routing.mix(among.get(i).id ^ key) & ~0xffffL | i; // hash above, place below
        }
        Arrays.sort(rank);
        Rep[] homes = new Rep[Math.min(rank.length, size + 1)];
        for (int i = 0; i < homes.length; i++) {
            homes[i] = among.get((int) (rank[i] & 0xffff));
        }
        return homes;
    }

    private static boolean keeps(Prefix p, Rep r) { return p != null && p.keepers().contains(r); }

    /** With no entry to take, ready replicas at random: keepers in the session's order, else owned ones. */
    private void draw(long now, Req q) {
        Prefix p = prefix(now, q);
        q.drawn.clear();
        // Crossing zones is priced, but a zone left to itself drowns in its own peak: lean by the reports.
        double share = near.size() / (double) Math.max(1, fleet.size());
        double lean = Math.max(0, Math.min(1, 1 - LEAN * (strainNear / Math.max(0.01, strainFar) - 1)));
        boolean nearFirst = far.isEmpty()
                || !near.isEmpty() && random.nextDouble() < share + (1 - share) * lean;
        long key = q.in.session() != 0 ? Routing.mix(q.in.session()) : random.nextLong();
        if (!trust.isConfirmed(now)) {
            drawProven(now, q, key);
        }
        if (p != null && q.in.prefixTokens() > z()) {
            pick(now, q, p.keepers(), key);
            pick(now, q, p.keepers(), key);
            if (q.drawn.size() < 2) {
                pick(now, q, Arrays.asList(p.homes), key);
            }
        } else {
            for (int i = 0; i < DRAWN; i++) {
                pick(now, q, nearFirst ? ownNear : ownFar, key);
            }
            pick(now, q, nearFirst ? ownFar : ownNear, key);
            pick(now, q, nearFirst ? ownFar : ownNear, key);
        }
        if (q.drawn.size() < 2) {
            pick(now, q, fleet, key);
        }
    }

    /** Where the list's word is not enough, some that may be used without waiting for a probe. */
    private void drawProven(long now, Req q, long key) {
        List<Rep> proven = fleet.stream().filter(r -> trust.allows(now, r.provenAt)).toList();
        pick(now, q, proven, key);
        pick(now, q, proven, key);
    }

    private void pick(long now, Req q, List<Rep> among, long key) {
        Rep one = null;
        long best = 0;
        for (Rep r : among) {
            long rank = Routing.mix(r.id ^ key);
            if ((one == null || rank < best) && candidate(now, r, q) && !q.drawn.contains(r)) {
                one = r;
                best = rank;
            }
        }
        if (one != null) {
            q.drawn.add(one);
        }
    }

    private void choose(long now, Req q) {
        Prefix p = prefix(now, q);
        Rep to = null;
        boolean asked = false;           // a probe is out that may yet show an idle one
        for (Rep r : q.drawn) {
            boolean open = r.probeAt >= 0 && now < q.probesUntil;
            if (!usable(now, r, q)) {
                asked |= open && candidate(now, r, q); // what it answers may prove it ready
            } else {
                if (busy(now, r) <= z() && !(open && stale(now, r))) {
                    to = r; // the first that is known to be idle: probes of the others need not be waited for
                    asked = false;
                    break;
                }
                asked |= open;
                to = to == null || cost(now, q, p, r) < cost(now, q, p, to) ? r : to;
            }
        }
        if (asked) {
            return;
        }
        waiting.remove(q);
        q.probesUntil = -1;
        if (to == null) {
            held.add(q);
            return;
        }
        send(now, q, to, Choice.DRAWN);
    }

    /** Tokens before this prompt's answer at r: unread there, and its beginning where it is not kept. */
    private double cost(long now, Req q, Prefix p, Rep r) {
        return busy(now, r) + (p == null || keeps(p, r) ? 0 : q.in.prefixTokens());
    }

    private void release(long now) {
        for (Req q : held.toArray(new Req[0])) {
            held.remove(q);
            step(now, q);
        }
    }

    // ---- Cold replicas --------------------------------------------------------------------------------

    /** An own prompt has come: what cold replicas earn by time alone is reckoned. */
    private void earnByTime(long now) {
        if (now < coldUntil) {
            fleet.stream().filter(r -> cold(now, r))
                    .forEach(r -> slowStart(now, r).arrived(now, set.rules(), owners.gateways()));
        }
    }

    /**
     * An own prompt has begun there. What warm replicas begin is at most what they can do, whatever comes
     * in; a cold one takes its share of that, by its size and by what it can do of it so far.
     */
    private void noteBegun(long now, Attempt attempt) {
        Rep at = attempt.to;
        boolean warm = isWarm(now, at);
        if (warm) {
            warmBegins.count(now);
        }
        if (now >= coldUntil) {
            return;
        }
        if (cold(now, at) && attempt.at >= at.born) {
            slowStart(now, at).begunHere(now, warmSize(now) == 0, set.rules());
        } else if (warm) {
            double share = turnsShare(now);
            for (Rep r : fleet) {
                if (cold(now, r)) {
                    double credit = share * sizes.ofCold(r.weight) * given(now, r);
                    slowStart(now, r).begunAtWarm(now, credit, set.rules());
                }
            }
        }
    }

    private static void noteNotWaiting(Attempt attempt) {
        if (attempt.to.slowStart != null) {
            attempt.to.slowStart.waitsNoMore(attempt.at);
        }
    }

    /** Where the gateways begin is spread evenly, so that their turns do not come together. */
    private SlowStart slowStart(long now, Rep r) {
        if (r.slowStart == null) {
            r.slowStart = new SlowStart(r.born, now, r.place / (double) owners.gateways());
        }
        return r.slowStart;
    }

    private boolean isWarm(long now, Rep r) { return r.ready && !cold(now, r) && r.ejectedUntil <= now; }

    private double warmSize(long now) {
        return fleet.stream().filter(r -> isWarm(now, r)).mapToDouble(r -> sizes.ofWarm(r.weight)).sum();
    }

    /** The share of what warm ones begin, by size, of one that is given as much; 0 where none is warm. */
    private double turnsShare(long now) {
        double warm = warmSize(now);
        return warm == 0 ? 0 : 1 / warm;
    }

    /** What a cold replica is given, as a share of what a warm one of its size begins. */
    private double given(long now, Rep r) {
        return Math.min(1, COLD_SHARE * set.rules().tipMultiple() * can(now, r));
    }

    private boolean toCold(long now, Req q) {
        if (now >= coldUntil || q.in.promptTokens() > 1.5 * meanPrompt) {
            return false;
        }
        Rep to = null;
        for (Rep r : fleet) {
            if (cold(now, r) && r.ejectedUntil <= now && slowStart(now, r).maySend(now, set.rules())
                    && (to == null || r.slowStart.turnSince() < to.slowStart.turnSince())
                    && mayRepeat(now, q, r) && inTime(now, q, r) && trust.allows(now, r.provenAt)) {
                to = r;
            }
        }
        if (to != null) {
            to.slowStart.sent(now);
            send(now, q, to, Choice.COLD_TURN);
        }
        return to != null;
    }

    /** What a cold replica can do, as a share of what it can when it is warm. */
    private double can(long now, Rep r) {
        double floor = set.rules().startCapacity();
        return floor + (1 - floor) * Math.max(0, now - r.born) / set.rules().rampNs();
    }

    /** Whether a replica that can do so much less than a warm one has time enough for this prompt. */
    private boolean inTime(long now, Req q, Rep r) {
        // What it told was measured when it was colder; the mean of first tokens holds the others' queues.
        double usual = meanLatency > 0 ? meanLatency * MS : meanFirst;
        double reckoned = r.latency > 0 ? r.latency * MS : usual / can(now, r);
        double first = Math.max(reckoned, slowStart(now, r).waited(now)); // it begins them in their order
        return first <= COLD_IN_TIME * (q.aimAt - now);
    }

    // ---- Attempts -------------------------------------------------------------------------------------

    private void send(long now, Req q, Rep r, Choice why) {
        waiting.remove(q);
        q.probesUntil = -1;
        delist(r);
        Attempt a = new Attempt();
        a.to = r;
        a.at = now;
        a.zone = r.zone;
        a.cell = r.cell;
        q.attempts.add(a);
        r.running++;
        r.sentSince += q.in.promptTokens();
        r.pending += q.in.promptTokens();
        r.trial = r.ejectedUntil > 0;
        out.chosen(q.in.request(), why, r.reportAt < 0 ? -1 : now - r.reportAt);
        trust.sent(now);
        out.send(q.in.request(), r.id, Math.max(1, q.endAt - now), trust.until(r.provenAt) - now);
        wake(now, q);
    }

    /** Rule 2: may this request be sent (to r, if given) after the attempts it had? */
    private boolean mayRepeat(long now, Req q, Rep r) {
        for (Attempt a : q.attempts) {
            if (a.mayHaveRun && q.clazz.effect() != Effect.SAFE) {
                if (q.clazz.effect() == Effect.UNSAFE || now - a.at >= q.clazz.windowNs()) {
                    return false;
                }
                Group g = q.clazz.group();
                boolean moved = r != null && (g == Group.ZONE ? a.zone != r.zone : a.cell != r.cell);
                if (moved && g != Group.ALL) {
                    return false;
                }
            }
        }
        return true;
    }

    private boolean paid(long now, Req q) {
        boolean may = retries == null || q.paid > q.attempts.size() || retries.trySpend(now);
        q.paid = may ? q.attempts.size() + 1 : q.paid;
        return may;
    }

    private boolean mayRefuse(Req q) {
        Effect effect = q.clazz.effect();
        return effect == Effect.SAFE || effect == Effect.KEYED && q.clazz.group() == Group.ALL
                || q.attempts.stream().noneMatch(a -> a.mayHaveRun);
    }

    private void firstByte(long now, FirstByte e) {
        Req q = requests.get(e.request());
        if (q == null || e.attempt() >= q.attempts.size()) {
            return;
        }
        Attempt a = q.attempts.get(e.attempt());
        if (!a.begun) {
            a.begun = true;
            noteNotWaiting(a);
            noteBegun(now, a);
            meanFirst += 0.05 * (now - a.at - meanFirst);
            a.to.pending = Math.max(0, a.to.pending - q.in.promptTokens());
            a.to.strikes = 0;
            if (a.to.ejectedUntil > 0) {
                out.leftOut(a.to.id, false);
            }
            a.to.ejectedUntil = 0;
            a.to.trial = a.to.reset = false;
        }
        q.begun = true;
        settle(q);
        cancelOthers(q, a);
    }

    private void ended(long now, Ended e) {
        Req q = requests.get(e.request());
        if (q == null || e.attempt() >= q.attempts.size() || !q.attempts.get(e.attempt()).out) {
            Rep stranger = byId.get(e.replica());
            if (stranger != null) {
                report(now, stranger, e.report());
            }
            return;
        }
        Attempt a = q.attempts.get(e.attempt());
        a.out = false;
        a.to.running--;
        a.mayHaveRun = !e.outcome().neverRan();
        if (!a.begun) {
            noteNotWaiting(a);
            a.to.pending = Math.max(0, a.to.pending - q.in.promptTokens());
            if (e.outcome() == Outcome.OK) {
                noteBegun(now, a); // an answer in one piece
            }
        }
        judge(now, a.to, e.outcome());
        report(now, a.to, e.report());
        if (e.last()) {
            finish(q, a);
        } else {
            step(now, q);
        }
        forget(q);
    }

    private void cancelOthers(Req q, Attempt keep) {
        for (int i = 0; i < q.attempts.size(); i++) {
            Attempt a = q.attempts.get(i);
            if (a.out && a != keep && !a.begun && set.limits().cancel()) {
                out.cancel(q.in.request(), i);
            }
        }
    }

    /** The one final answer; refused where that is true, failed else. */
    private void answer(Req q, Choice why) {
        out.chosen(q.in.request(), why, -1);
        if (mayRefuse(q)) {
            // Refused work feeds the overload if it comes back at once: the client is told when to come back.
            out.refuse(q.in.request(), set.limits().retryAfter() ? set.limits().maxRetryAfterNs() : 0);
        } else {
            out.fail(q.in.request());
        }
        finish(q, null);
    }

    private void finish(Req q, Attempt keep) {
        if (!q.done) {
            q.done = true;
            settle(q);
            cancelOthers(q, keep);
        }
        forget(q);
    }

    /** Takes the request out of all that waits. */
    private void settle(Req q) {
        timers.remove(q.token);
        waiting.remove(q);
        held.remove(q);
    }

    private void forget(Req q) {
        if (q.done && !q.out()) {
            requests.remove(q.in.request());
        }
    }

    // ---- Health ---------------------------------------------------------------------------------------

    private void judge(long now, Rep r, Outcome outcome) {
        switch (outcome) {
            case ERROR, CONNECT_FAILED -> failure(now, r, EJECT_SHARE);
            case RESET -> {
                if (r.reset) {
                    failure(now, r, EJECT_SHARE);
                }
                r.reset = true; // one may be the connection's fault: a process that died refuses the next
            }
            case FULL -> overloaded(now, r);
            case TIMEOUT -> {
                press(true);
                failure(now, r, EJECT_SHARE_SLOW);
            }
            default -> { } // served, called off or never sent: no verdict
        }
    }

    /** A full replica or a probe without an answer is news too: where all are, no report would tell. */
    private void overloaded(long now, Rep r) {
        r.unread = Math.max(r.unread, 4 * meanPrompt + meanUnread);
        r.reportAt = now;
        press(true);
        delist(r);
    }

    private void failure(long now, Rep r, double share) {
        r.strikes++;
        r.trial = false;
        delist(r);
        long gone = fleet.stream().filter(o -> o.ejectedUntil > now).count();
        if (gone + 1 <= share * fleet.size()) {
            long away = Math.min(EJECT_LONGEST, EJECT_FIRST << Math.min(10, r.strikes - 1));
            r.ejectedUntil = now + away / 2 + random.nextLong(away);
            out.leftOut(r.id, true);
        }
    }
}
