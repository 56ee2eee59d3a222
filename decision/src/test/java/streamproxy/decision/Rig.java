package streamproxy.decision;

import streamproxy.streams.RetryBudget;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Feeds one gateway and records what it does, as one line an action. */
final class Rig implements Routing.Actions {
    static final long MS = 1_000_000L;
    static final long S = 1_000 * MS;

    final List<String> actions = new ArrayList<>();
    final List<long[]> timers = new ArrayList<>();
    final Map<Long, double[]> cold = new HashMap<>(); // share of what warm ones begin, own prompts that they begin a second
    final List<Long> retryAfters = new ArrayList<>();
    final List<Send> sent = new ArrayList<>();
    long beginWithin; // as the last attempt was told
    private final Routing.Settings settings;
    private final Policy policy;
    long now;

    /** An attempt that began at that time. */
    record Send(long at, long request, long replica) { }

    Rig(Routing.Settings settings) { this(settings, 7); }

    Rig(Routing.Settings settings, long seed) { this(settings, seed, null); }

    Rig(Routing.Settings settings, long seed, RetryBudget retries) {
        now = 1_000 * S;
        this.settings = settings;
        policy = new Policy(settings, seed, now, this, retries);
    }

    /** A class of the settings that it was started with. */
    Routing.RequestClass classAt(int index) { return settings.classes().get(index); }

    /** Other settings bind from now on. */
    Rig retune(Routing.Settings next) {
        policy.retune(next);
        return this;
    }

    /** Settings of one class; the rest is plain. */
    static Routing.Settings settings(int me, int gateways, Routing.Reports reports, boolean onRequest,
            Routing.RequestClass... classes) {
        return new Routing.Settings(me, gateways, 0, Arrays.asList(classes), List.of(), 1, reports, onRequest,
                new Routing.Rules(8 * MS, 250 * MS, onRequest ? 10 * S : 0, 0.2, 20 * S, 3, S),
                new Routing.Limits(5, true, true, reports != Routing.Reports.SILENT, false, 0),
                new Routing.Prices(0.02, 0.002, 0, 0, 0), Routing.Weights.NOMINAL);
    }

    /** The same settings where the list's weights mean that. */
    static Routing.Settings withWeights(Routing.Settings s, Routing.Weights weights) {
        return new Routing.Settings(s.me(), s.gateways(), s.zone(), s.classes(), s.tenants(), s.overShareWorth(),
                s.reports(), s.listOnRequest(), s.rules(), s.limits(), s.prices(), weights);
    }

    /** The same settings where clients can be told when to come back. */
    static Routing.Settings withRetryAfter(Routing.Settings s, long mostNs) {
        Routing.Limits l = s.limits();
        return new Routing.Settings(s.me(), s.gateways(), s.zone(), s.classes(), s.tenants(), s.overShareWorth(),
                s.reports(), s.listOnRequest(), s.rules(), new Routing.Limits(l.maxAttempts(), l.secondCopies(),
                l.cancel(), l.probes(), true, mostNs), s.prices(), s.weights());
    }

    static Routing.RequestClass clazz(Routing.Effect effect, Routing.Group group) {
        return new Routing.RequestClass("c", effect, group, 2 * S, 2 * S, 0, 8 * S, 1, 0, true);
    }

    static Routing.RequestClass safe() { return clazz(Routing.Effect.SAFE, Routing.Group.ALL); }

    static Routing.Endpoint ready(long id) { return at(id, 0, 0, Routing.Health.READY); }

    static Routing.Endpoint at(long id, int cell, long born, Routing.Health health) { return at(id, 1, cell, born, health); }

    static Routing.Endpoint at(long id, double weight, int cell, long born, Routing.Health health) {
        return new Routing.Endpoint(id, weight, 0, cell, born, 0, health);
    }

    Rig list(Routing.ListForm form, Routing.Endpoint... entries) {
        return on(new Routing.ListChange(form, Arrays.asList(entries)));
    }

    Rig on(Routing.Event event) {
        policy.on(now, event);
        return this;
    }

    /** Lets time pass, ringing every timer that is due. */
    Rig pass(long span) {
        long end = now + span;
        while (true) {
            long[] next = null;
            for (long[] t : timers) {
                if (t[0] <= end && (next == null || t[0] < next[0])) {
                    next = t;
                }
            }
            if (next == null) {
                now = end;
                return this;
            }
            timers.remove(next);
            now = Math.max(now, next[0]);
            on(new Routing.TimerDue((int) next[1]));
        }
    }

    Rig arrive(long request, long prefix, double prompt, double shared) {
        return on(new Routing.Arrival(request, classAt(0), 0, 0, prefix, prompt, shared, 100, 8 * S, -1, false));
    }

    Rig report(long replica, double unread) {
        return on(new Routing.Probed(replica, Routing.Outcome.OK, MS, load(unread)));
    }

    static Routing.LoadReport load(double unread) {
        double no = Double.NaN;
        return new Routing.LoadReport(unread, no, no, no, no, no, no);
    }

    Rig ended(long request, int attempt, Routing.Outcome outcome, boolean last) {
        return on(new Routing.Ended(request, attempt, sentTo(request, attempt), outcome, last, MS, 0, null));
    }

    /** The request's last attempt is answered in full. */
    Rig serve(long request) {
        int last = sends(request).size() - 1;
        return on(new Routing.FirstByte(request, last, sentTo(request, last), MS)).ended(request, last,
                Routing.Outcome.OK, true);
    }

    List<Long> sends(long request) {
        List<Long> to = new ArrayList<>();
        for (String a : actions) {
            String[] w = a.split(" ");
            if (w[0].equals("send") && Long.parseLong(w[1]) == request) {
                to.add(Long.parseLong(w[2]));
            }
        }
        return to;
    }

    long sentTo(long request, int attempt) { return sends(request).get(attempt); }

    long count(String start) { return actions.stream().filter(a -> a.startsWith(start)).count(); }

    @Override public void send(long request, long replica, long timeoutNs) {
        if (timeoutNs <= 0) {
            throw new AssertionError("time-out " + timeoutNs);
        }
        actions.add("send " + request + " " + replica);
        sent.add(new Send(now, request, replica));
    }

    @Override public void send(long request, long replica, long timeoutNs, long beginWithinNs) {
        beginWithin = beginWithinNs;
        send(request, replica, timeoutNs);
    }

    @Override public void listUnconfirmed() { actions.add("unconfirmed"); }

    @Override public void listConfirmed(long afterNs, long sentOnProof) { actions.add("confirmed " + afterNs / MS + " " + sentOnProof); }

    @Override public void cancel(long request, int attempt) { actions.add("cancel " + request + " " + attempt); }

    @Override public void refuse(long request, long retryAfterNs) {
        actions.add("refuse " + request);
        retryAfters.add(retryAfterNs);
    }

    @Override public void fail(long request) { actions.add("fail " + request); }

    @Override public void timer(long afterNs, int token) { timers.add(new long[] {now + afterNs, token}); }

    @Override public void probe(long replica) { actions.add("probe " + replica); }

    @Override public void watchList() { actions.add("watch"); }

    @Override public void fetchList() { actions.add("fetch"); }

    @Override public void cold(long replica, double share, double begunPerS) { cold.put(replica, new double[] {share, begunPerS}); }

    @Override public void log(String line) { actions.add("log " + line); }
}
