package streamproxy.duties;

import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Some members, one duty, and everything between them: commands on their way to the agreed order, answers on their way
 * back, replicas that lag, clocks that run apart, processes that end and begin anew, and a box that is acted on. Each
 * method is one thing that may happen; whoever drives it, an explorer or a random walk, picks which.
 */
final class World {
    /** What is broken on purpose: each must be found. */
    enum Flaw { NONE, LEASE_FROM_THE_ANSWER, NO_DRIFT_WAITED, NO_CHECK_AFTER_A_PAUSE, FENCE_NOT_COMPARED, RENEWALS_NOT_COMPARED }

    static final String DUTY = "box 7";
    static final int DRIFT_PPM = 50_000;
    /** All that a lease remembers, but for its source of numbers, which is the node's. */
    private static final List<Field> LEASE = Arrays.stream(Lease.class.getDeclaredFields())
            .filter(f -> !Modifier.isStatic(f.getModifiers()) && !f.getName().equals("numbers")).toList();

    static {
        LEASE.forEach(field -> field.setAccessible(true));
    }

    private static final double DRIFT = DRIFT_PPM / 1e6;

    private static final class LeaseFromAnswer extends Lease {
        LeaseFromAnswer(Node n, LeaseTimes t) { super(DUTY, n.name, n.session, t, 0, () -> ++n.numbers); }

        @Override long leaseFrom(long asked, long answeredAt) { return answeredAt; }
    }

    private static final class NoDrift extends Lease {
        private final LeaseTimes terms;

        NoDrift(Node n, LeaseTimes t) {
            super(DUTY, n.name, n.session, t, 0, () -> ++n.numbers);
            terms = t;
        }

        @Override long waitNs() { return terms.heldNs(); }
    }

    private static final class NoCheck extends Lease {
        NoCheck(Node n, LeaseTimes t) { super(DUTY, n.name, n.session, t, 0, () -> ++n.numbers); }

        @Override public boolean mayAct(long now) { return state() == State.HOLDING; }
    }

    /** One member's process. */
    static final class Node {
        final String name;
        final double rate;
        long session;
        long starts;
        long numbers;
        int applied;
        Ledger replica;
        Lease lease;
        long act = Lease.NONE; // checked, and not done yet

        Node(String name, double rate) {
            this.name = name;
            this.rate = rate;
        }
    }

    record Sent(Command command) { }

    record Answer(int node, long session, long number, Result result) { }

    final List<Node> nodes = new ArrayList<>();
    final List<Command> log = new ArrayList<>();
    private final List<Result> results = new ArrayList<>(); // of each, where it was agreed on
    final List<Command> commands = new ArrayList<>();
    final List<Answer> answers = new ArrayList<>();
    final LeaseTimes terms;
    final Flaw flaw;
    Ledger ledger = new Ledger();
    long trueNow;
    long boxFence;
    long acts;
    long stale;
    private long lastFence;
    private long sessions;

    World(int members, LeaseTimes terms, Flaw flaw) {
        this.terms = terms;
        this.flaw = flaw;
        for (int i = 0; i < members; i++) {
            Node node = new Node("r" + i, i % 3 == 0 ? 1 - DRIFT : i % 3 == 1 ? 1 + DRIFT : 1);
            nodes.add(node);
            start(node);
        }
    }

    private void start(Node node) {
        node.session = ++sessions;
        node.starts++;
        node.numbers = 0;
        node.applied = 0;
        node.replica = new Ledger();
        node.act = Lease.NONE;
        node.lease = switch (flaw) {
            case LEASE_FROM_THE_ANSWER -> new LeaseFromAnswer(node, terms);
            case NO_DRIFT_WAITED -> new NoDrift(node, terms);
            case NO_CHECK_AFTER_A_PAUSE -> new NoCheck(node, terms);
            default -> new Lease(DUTY, node.name, node.session, terms, 0, () -> ++node.numbers);
        };
        agree(new Command.Open(new Command.From(node.name, node.session, 1), 1, node.starts, terms, false));
        node.numbers = 1;
    }

    long clock(Node node) { return (long) (trueNow * node.rate) + 1_000_000L * node.session; }

    private Result agree(Command command) {
        log.add(command);
        results.add(ledger.apply(command));
        return results.get(results.size() - 1);
    }

    // ---- What may happen ----------------------------------------------------------------------------

    void pass(long ns) { trueNow += ns; }

    boolean hasNext(Node node) { return node.lease.wakeAt() <= clock(node); }

    void next(Node node) { send(node.lease.next(clock(node))); }

    /** Another duty of the member's is renewed, and this one goes along. */
    void renewsAlong(Node node) { send(node.lease.renewsAlong(clock(node))); }

    private void send(Command command) {
        if (command != null) {
            commands.add(command);
        }
    }

    void commit(int which, boolean comesAgain) {
        Command command = comesAgain ? commands.get(which) : commands.remove(which);
        if (flaw == Flaw.RENEWALS_NOT_COMPARED && command instanceof Command.Take take) {
            Duty duty = ledger.duty(DUTY);
            command = new Command.Take(take.from(), DUTY, duty.fence(), duty.renewals());
        }
        Result result = agree(command);
        int of = Integer.parseInt(command.from().member().substring(1));
        answers.add(new Answer(of, command.from().session(), command.from().number(), result));
    }

    void answer(int which) {
        Answer answer = answers.remove(which);
        Node node = nodes.get(answer.node);
        if (node.session == answer.session) {
            node.lease.answered(clock(node), answer.number, answer.result);
        }
    }

    boolean lags(Node node) { return node.applied < log.size(); }

    void apply(Node node) {
        Result here = node.replica.apply(log.get(node.applied));
        if (!here.equals(results.get(node.applied))) {
            throw new AssertionError(node.name + " answers " + here + " where all agreed on " + results.get(node.applied));
        }
        node.applied++;
        node.lease.sees(clock(node), node.replica.duty(DUTY));
    }

    /** Ends a process and begins it anew, from the log's beginning or from an image of what it had applied. */
    void crash(Node node, boolean fromImage) {
        int applied = node.applied;
        Ledger.Image image = node.replica.image();
        start(node);
        if (fromImage) {
            node.applied = applied;
            node.replica = new Ledger(image);
            node.lease.sees(clock(node), node.replica.duty(DUTY));
        }
    }

    void begin(Node node) { node.act = node.lease.begins(clock(node)); }

    void act(Node node) {
        boolean done = flaw == Flaw.FENCE_NOT_COMPARED || node.act >= boxFence;
        boxFence = Math.max(boxFence, node.act);
        if (done) {
            acts++;
            if (node.act < lastFence) {
                throw new AssertionError("an act of fence " + node.act + " was done after one of fence " + lastFence);
            }
            lastFence = node.act;
        } else {
            stale++;
        }
        node.lease.ends(clock(node), node.act);
        node.act = Lease.NONE;
    }

    /** Guarantee 1, at this instant. */
    void check() {
        int holders = 0;
        for (Node node : nodes) {
            holders += node.lease.mayAct(clock(node)) ? 1 : 0;
        }
        if (holders > 1) {
            throw new AssertionError(holders + " may act at " + trueNow);
        }
    }

    Node holder() {
        return nodes.stream().filter(n -> n.lease.mayAct(clock(n))).findFirst().orElse(null);
    }

    /** All that may make a difference later on. */
    String fingerprint() {
        StringBuilder text = new StringBuilder(512).append(trueNow).append(commands).append(answers).append(boxFence).append(lastFence)
                .append(ledger.image());
        for (Node node : nodes) {
            text.append('|').append(node.applied).append(' ').append(node.numbers).append(' ').append(node.act);
            for (Field field : LEASE) {
                try {
                    text.append(' ').append(field.get(node.lease));
                } catch (IllegalAccessException e) {
                    throw new AssertionError(e);
                }
            }
        }
        return text.toString();
    }
}
