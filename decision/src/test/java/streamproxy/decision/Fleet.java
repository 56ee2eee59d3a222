package streamproxy.decision;

import static streamproxy.decision.Rig.MS;
import static streamproxy.decision.Rig.S;
import static streamproxy.decision.Rig.safe;
import static streamproxy.decision.Rig.settings;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import streamproxy.decision.Routing.ListForm;
import streamproxy.decision.Routing.Reports;
import streamproxy.duties.Shares;
import streamproxy.duties.Steward;

/** Many routers' modules that share nothing, over one fleet of boxes; counts what they do together. */
final class Fleet {
    static final long STEP = 10 * MS;
    private static final long SHARE = S;

    private static final long LIVE_EVERY = 2 * S;
    private static final long LIVE_LATE = 3 * S;
    private static final long STREAM = S; // an answer is in hand for so long

    private final Map<Long, Routing.Endpoint> boxes = new HashMap<>();
    private final Map<Long, Double> sizes = new HashMap<>(); // what each can do, beside others
    private Routing.Weights meaning;
    private final Map<Long, ArrayDeque<Double>> live = new HashMap<>(); // by box: its live weight at each look up to now
    private final List<Rig> rigs = new ArrayList<>();
    final Map<Long, List<Long>> sent = new HashMap<>(); // when, by box
    private final Map<Long, List<Long>> begun = new HashMap<>(); // when, by box, where they have a pace
    final List<Long> probes = new ArrayList<>();        // when
    final List<Long> calls = new ArrayList<>();
    private final Map<Rig, Long> calledAt = new HashMap<>();
    private long longestPause;
    final SplittableRandom random;
    private final List<Steward> stewards = new ArrayList<>(); // by router; empty where there are none
    private final Map<Long, Long> freeAt = new HashMap<>();      // by box, where they have a pace
    private final List<Due> due = new ArrayList<>();
    private final Map<Long, Integer> tries = new HashMap<>();    // by request
    private double[] share;      // of the requests, by router; null: alike
    private double boxPerS;      // what a warm box begins in a second; 0: all at once
    boolean listAnswers = true;
    private int places = Integer.MAX_VALUE; // prompts that may wait at a box; beyond that it turns them away
    private int retries;         // how often a client that is refused asks again, at once
    private final Map<Long, Integer> retriesLeft = new HashMap<>(); // by request
    private final ArrayDeque<Integer> asksAgain = new ArrayDeque<>(); // how often each may ask behind that
    private double listPerS;     // calls that the list's service answers in a second, in turn; 0: each at once
    private int listPlaces;      // calls that may wait there
    private long listFreeAt;
    private final List<Call> waiting = new ArrayList<>();
    final Map<Integer, Long> toldAt = new HashMap<>(); // by router, where the service answers in turn
    long now;
    long requests;
    long granted;

    /** What a box will have done by then with an attempt: begun it, not begun it in time, or turned it away. */
    private record Due(long at, int router, Rig rig, long request, int attempt, long box, Routing.Outcome outcome) { }

    /** A call that waits for the list's service: told by then, or turned away at {@link #LIST_PATIENCE} after it came. */
    private record Call(Rig rig, long cameAt, long answeredAt) { }

    private static final long LIST_PATIENCE = 2 * S;

    private Fleet(long seed) { random = new SplittableRandom(seed); }

    static Fleet of(int routers, int boxes, long seed) { return of(routers, boxes, seed, 1); }

    /** One of kinds of such weights, in turn. */
    static Fleet of(int routers, int boxes, long seed, double... weights) { return of(routers, boxes, seed, Routing.Weights.NOMINAL, weights); }

    /** One of kinds of such sizes, in turn, of which the list's weights tell so much. */
    static Fleet of(int routers, int boxes, long seed, Routing.Weights meaning, double... sizes) {
        Fleet fleet = new Fleet(seed);
        fleet.meaning = meaning;
        for (long id = 1; id <= boxes; id++) {
            fleet.sizes.put(id, sizes[(int) (id % sizes.length)]);
            fleet.boxes.put(id, Rig.at(id, fleet.told(id), 0, 0, Routing.Health.READY));
        }
        for (int me = 0; me < routers; me++) {
            fleet.rigs.add(null);
            fleet.restart(me, routers);
        }
        return fleet;
    }

    /** From now on boxes begin so many a second once they are warm, each after those before it, and tell what waits. */
    Fleet withPace(double perS) {
        boxPerS = perS;
        return this;
    }

    /** From now on a box has room for so many prompts that wait, and turns others away at once. */
    Fleet withPlaces(int most) {
        places = most;
        return this;
    }

    /** From now on a client that is refused asks any router again at once, so often. */
    Fleet withRetries(int most) {
        retries = most;
        return this;
    }

    /**
     * From now on the list's service answers so many calls a second, in turn, turns away at once those for which it has no
     * place, and those that have waited for 2 s, on which it works all the same when their turn comes.
     */
    Fleet withListService(double perS, int places) {
        listPerS = perS;
        listPlaces = places;
        return this;
    }

    private void call(Rig rig) {
        if (listPerS == 0) {
            rig.list(listAnswers ? ListForm.DELTA : ListForm.FAILED);
            return;
        }
        long inTurn = Math.max(now, listFreeAt) + (long) (S / listPerS);
        if ((inTurn - now) * listPerS / S > listPlaces) {
            rig.list(ListForm.FAILED);
        } else {
            listFreeAt = inTurn;
            waiting.add(new Call(rig, now, inTurn));
        }
    }

    private void settleCalls() {
        for (Call one : List.copyOf(waiting)) {
            boolean told = one.answeredAt <= now && one.answeredAt - one.cameAt <= LIST_PATIENCE;
            if (told || now - one.cameAt >= LIST_PATIENCE) {
                waiting.remove(one);
                if (told) {
                    toldAt.putIfAbsent(rigs.indexOf(one.rig), now);
                }
                one.rig.list(told ? ListForm.DELTA : ListForm.FAILED);
            }
        }
    }

    /** From now on one router in ten gets five times as much as the others. */
    Fleet unevenly() {
        share = new double[rigs.size()];
        for (int i = 0; i < share.length; i++) {
            share[i] = i % 10 == 0 ? 5 : 1;
        }
        double all = Arrays.stream(share).sum();
        for (int i = 0; i < share.length; i++) {
            share[i] /= all;
        }
        return this;
    }

    private Rig anyRouter() {
        if (share == null) {
            return rigs.get(random.nextInt(rigs.size()));
        }
        double at = random.nextDouble();
        int i = 0;
        while (i < share.length - 1 && at >= share[i]) {
            at -= share[i++];
        }
        return rigs.get(i);
    }

    /** What a box can do now, as a share of what it can when it is warm. */
    double can(long box, long when) {
        Routing.Rules rules = settings(0, 1, Reports.PULL, true, safe()).rules();
        long born = boxes.get(box).bornNs();
        double warm = born == 0 ? 1 : Math.min(1, Math.max(0, when - born) / (double) rules.rampNs());
        return rules.startCapacity() + (1 - rules.startCapacity()) * warm;
    }

    long bornAt(long box) { return boxes.get(box).bornNs(); }

    double size(long box) { return sizes.get(box); }

    /** The weight that the list tells of a box that is idle. */
    private double told(long box) { return meaning == Routing.Weights.SILENT ? 1 : size(box); }

    /** It starts anew, and all routers are told. */
    void startAgain(long box) {
        live.remove(box);
        tell(Rig.at(box, told(box), 0, now, Routing.Health.READY));
    }

    /** Live weights tell the size over what was in hand a while back. */
    private void tellLive() {
        if (meaning != Routing.Weights.LIVE || now % LIVE_EVERY >= STEP) {
            return;
        }
        for (Routing.Endpoint box : List.copyOf(boxes.values())) {
            long streams = begun.getOrDefault(box.id(), List.of()).stream().filter(at -> now - at < STREAM).count();
            double held = streams + due.stream().filter(d -> d.box == box.id()).count();
            ArrayDeque<Double> looks = live.computeIfAbsent(box.id(), id -> new ArrayDeque<>(List.of(told(id))));
            looks.addLast(told(box.id()) / (1 + held));
            if (looks.size() > 1 + LIVE_LATE / LIVE_EVERY) {
                looks.removeFirst();
            }
            tell(new Routing.Endpoint(box.id(), looks.peekFirst(), box.zone(), box.cell(), box.bornNs(), box.kind(), box.health()));
        }
    }

    private void work(Rig rig, long request, long box) {
        int attempt = tries.merge(request, 1, Integer::sum) - 1;
        long from = Math.max(now, freeAt.getOrDefault(box, 0L));
        long each = (long) (S / (boxPerS * size(box) * can(box, from)));
        if ((from - now) / each >= places) {
            due.add(new Due(now, rigs.indexOf(rig), rig, request, attempt, box, Routing.Outcome.FULL));
            return;
        }
        long begun = from + each;
        freeAt.put(box, begun);
        long patience = now + 2 * S; // the class's
        due.add(new Due(Math.min(begun, patience), rigs.indexOf(rig), rig, request, attempt, box,
                begun <= patience ? Routing.Outcome.OK : Routing.Outcome.TIMEOUT));
    }

    private void settleDue() {
        for (Due one : due.stream().filter(d -> d.at <= now && rigs.get(d.router) == d.rig).sorted(Comparator.comparingLong(Due::at)).toList()) {
            boolean served = one.outcome == Routing.Outcome.OK;
            if (served) {
                one.rig.on(new Routing.FirstByte(one.request, one.attempt, one.box, MS));
                begun.computeIfAbsent(one.box, id -> new ArrayList<>()).add(now);
            }
            one.rig.on(new Routing.Ended(one.request, one.attempt, one.box, one.outcome, served, MS, 0, null));
        }
        due.removeIf(d -> d.at <= now);
    }

    private Routing.LoadReport load(long box) {
        double no = Double.NaN;
        double waits = Math.max(0, freeAt.getOrDefault(box, 0L) - now) * boxPerS * size(box) * can(box, now) / S;
        return new Routing.LoadReport(1000 * Math.floor(waits), no, no, no, no, 100 / can(box, now), no);
    }

    /** From now on the first owner of a cold box divides it; one that restarts has forgotten what it gave. */
    Fleet withStewards() {
        rigs.forEach(rig -> stewards.add(new Steward(SHARE, 1_000)));
        return this;
    }

    private void share() {
        for (int i = 0; i < stewards.size(); i++) {
            Rig rig = rigs.get(i);
            for (Map.Entry<Long, double[]> one : rig.cold.entrySet()) {
                int first = (int) Long.remainderUnsigned(Routing.mix(one.getKey()), rigs.size());
                Steward steward = stewards.get(first);
                steward.is(now, one.getKey());
                if (rigs.get(first).cold.containsKey(one.getKey())) {
                    steward.cold(now, one.getKey(), rigs.get(first).cold.get(one.getKey())[0]);
                }
                Shares.Grant grant = steward.ask(now, one.getKey(), "r" + i, one.getValue()[1]);
                if (grant != null) {
                    granted++;
                    rig.on(new Routing.Granted(one.getKey(), grant.perS(), now + grant.forNs()));
                }
            }
            rig.cold.clear();
        }
    }

    /** A router that starts knows the list that it had last, and nothing else. */
    void restart(int me, int routers) {
        Rig rig = new Rig(Rig.withWeights(settings(me, routers, Reports.PULL, true, safe()), meaning), random.nextLong());
        now = Math.max(now, rig.now);
        rig.pass(now - rig.now).list(ListForm.CACHED, boxes.values().toArray(new Routing.Endpoint[0]));
        rigs.set(me, rig);
        if (!stewards.isEmpty()) {
            stewards.set(me, new Steward(SHARE, 1_000));
        }
    }

    void tell(Routing.Endpoint... entries) {
        Arrays.stream(entries).forEach(e -> boxes.put(e.id(), e));
        rigs.forEach(rig -> rig.list(ListForm.DELTA, entries));
    }

    /** Lets time pass at so many requests a second over all routers; each box serves at once, and is idle. */
    void run(long span, double perS) {
        for (long end = now + span; now < end; now += STEP) {
            for (Rig rig : rigs) {
                rig.pass(STEP);
            }
            for (double left = perS * STEP / S; left > 0; left--) {
                if (random.nextDouble() < left) {
                    ask(retries);
                }
            }
            for (int again = asksAgain.size(); again > 0; again--) {
                ask(asksAgain.removeFirst());
            }
            settleDue();
            tellLive();
            settleCalls();
            rigs.forEach(this::answer);
            if (now / STEP % 20 == 0) {
                share();
            }
        }
    }

    private void ask(int mayAskAgain) {
        requests++;
        if (mayAskAgain > 0) {
            retriesLeft.put(requests, mayAskAgain);
        }
        anyRouter().arrive(requests, 0, 1000, 0);
    }

    private void refused(long request) {
        Integer left = retriesLeft.remove(request);
        if (left != null) {
            asksAgain.addLast(left - 1);
        }
    }

    private void answer(Rig rig) {
        while (!rig.actions.isEmpty()) {
            List<String> asked = List.copyOf(rig.actions);
            for (String action : asked) {
                String[] words = action.split(" ");
                if (words[0].equals("probe")) {
                    probes.add(now);
                    long box = Long.parseLong(words[1]);
                    if (boxPerS > 0) {
                        rig.on(new Routing.Probed(box, Routing.Outcome.OK, MS, load(box)));
                    } else {
                        rig.report(box, 0);
                    }
                } else if (words[0].equals("watch")) {
                    calls.add(now);
                    longestPause = Math.max(longestPause, now - calledAt.getOrDefault(rig, now));
                    calledAt.put(rig, now);
                    call(rig);
                } else if (words[0].equals("refuse")) {
                    refused(Long.parseLong(words[1]));
                } else if (words[0].equals("send")) {
                    sent.computeIfAbsent(Long.parseLong(words[2]), id -> new ArrayList<>()).add(now);
                    if (boxPerS > 0) {
                        work(rig, Long.parseLong(words[1]), Long.parseLong(words[2]));
                    } else {
                        rig.serve(Long.parseLong(words[1]));
                    }
                }
            }
            rig.actions.subList(0, asked.size()).clear();
        }
    }

    /** The longest time between two calls of one router. */
    long longestPause() { return longestPause; }

    static long most(List<Long> times, long window) {
        long most = 0;
        for (long at : times) {
            most = Math.max(most, times.stream().filter(t -> t >= at && t < at + window).count());
        }
        return most;
    }
}
