package streamproxy.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.StringJoiner;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.stream.Stream;
import org.tinylog.Logger;
import streamproxy.duties.Command;
import streamproxy.duties.Duty;
import streamproxy.duties.Lease;
import streamproxy.duties.Ledger;
import streamproxy.duties.Member;
import streamproxy.duties.Presence;
import streamproxy.duties.RendezvousOrder;
import streamproxy.duties.Result;
import streamproxy.program.Fleet;
import streamproxy.protocol.EndpointEntry;
import streamproxy.records.Event;
import streamproxy.routing.ColdShares;
import streamproxy.routing.SharedList;

/** This router as a member of its fleet: folder, consensus and duties, from start to leaving. */
final class FleetNode implements Fleet, AutoCloseable {
    private static final long GIVE_PATIENCE_MS = 500;
    private static final long OPEN_AGAIN_MS = 500;
    private static final long ASK_MS = 1_000;
    private static final String DUTY = "/admin/fleet/duty/";
    private static final String HAND_ON = "/admin/fleet/hand-on/";
    private static final String ACTED = "/admin/fleet/acted/";
    private static final String OVERRULE = "/admin/fleet/overrule";
    private static final String OWNER = "/admin/fleet/owner/";
    private static final String JOIN = "/admin/fleet/join/";
    private static final String LEAVE = "/admin/fleet/leave/";
    private static final long ANSWER_MS = 450;

    private final FleetSettings settings;
    private final MemberDirectory folder;
    private final Ensemble ensemble;
    private final Duties duties;
    private final Peers peers;
    private final KeptList kept;
    private final ListSharing list;
    private final ColdSharing coldShares;
    private final PeerListQuery elders;
    private final long session;
    private volatile List<String> names; // of the members, as the ledger has them
    private volatile boolean shares;     // the watch of the box list
    private volatile Result.Why refused; // why this process is no member; null while that is not known
    private volatile boolean member;
    private volatile boolean overruled; // an operator has it leave without a turn
    private volatile String turn;       // that this router leaves by; null: none yet, or none
    private volatile Consumer<Division> owners;
    private volatile Consumer<Event> records; // null: nobody wants any

    FleetNode(FleetSettings settings, MemberDirectory folder) throws IOException {
        this.settings = settings;
        this.folder = folder;
        long drawn = new SecureRandom().nextLong();
        session = drawn == 0 ? 1 : drawn;
        names = List.copyOf(settings.members().keySet());
        duties = new Duties(settings.name(), session, settings.terms(), System::nanoTime, this::send, this::told,
                settings.ownership() ? this::divided : null);
        kept = KeptList.open(folder.path());
        peers = new Peers(settings.name(), this::query);
        elders = new PeerListQuery(settings.name(), peers, kept::known);
        list = new ListSharing(settings.name(), new ListSharing.Watch() {
            @Override public String holder() { return ensemble.duty(settings.listWatch()).holder(); }

            @Override public boolean holds() { return duties.holds(settings.listWatch()); }

            @Override public int rank() { return RendezvousOrder.of(settings.listWatch(), settings.name(), names); }

            @Override public void acted(boolean well) {
                long fence = duties.fence(settings.listWatch());
                if (fence != Lease.NONE) {
                    duties.acted(settings.listWatch(), fence, well);
                }
            }
        }, peers, kept, settings.sharesList(), (patienceMs, tell) -> elders.ask(names, patienceMs, tell));
        coldShares = new ColdSharing(settings.name(), duties::living, settings.terms().driftPpm(), peers);
        ensemble = new Ensemble(settings, folder, new LedgerMachine.Applied() {
            @Override public void applied(Ledger ledger, Set<String> about, long at) { FleetNode.this.applied(ledger, about, at); }

            @Override public void stopped() { duties.stopped(); }

            @Override public CompletableFuture<byte[]> asked(byte[] question) { return peers.asked(question); }

            @Override public void summed(long place, int sum) {
                if (member) { // as the log is read anew at a start, it was told before
                    ensemble.send(new Command.Mark(new Command.From(settings.name(), session, duties.nextNumber()), place, sum), (c, r, at) -> { });
                }
            }
        });
    }

    /** May come while the constructor is still at the consensus, from a snapshot: then nothing is sought yet. */
    private void applied(Ledger ledger, Set<String> about, long at) {
        duties.applied(ledger, about, at);
        if (about == null) { // who is in may have changed
            names = ledger.members().stream().map(Member::name).toList();
            settings.duties().forEach(name -> duties.rank(name, RendezvousOrder.of(name, settings.name(), names)));
            duties.rank(settings.listWatch(), RendezvousOrder.of(settings.listWatch(), settings.name(), names));
        }
    }

    private CompletableFuture<byte[]> query(String member, byte[] question) { return ensemble.query(member, question); }

    /** Asks the others before the router takes its first prompt, for a second at most; who comes later is asked by the list's thread. */
    @Override public EndpointEntry.News known(EndpointEntry.News configured, InetSocketAddress service) {
        try {
            int answered = elders.ask(settings.members().keySet(), ASK_MS, kept::learn);
            Logger.info("fleet: {} of {} other members told which box list they have", answered, settings.members().size() - 1);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return kept.begin(configured, service);
    }

    /** Who owns a box first divides it while it is cold, so that without ownership there is nobody to. */
    @Override public ColdShares coldShares() { return settings.ownership() ? coldShares : ColdShares.NONE; }

    /** Asked for by a router whose deployment lets it ask for the list; one that is told it has no use for it. */
    @Override public SharedList list() {
        if (settings.sharesList() && !shares) {
            shares = true;
            seek(settings.listWatch(), RendezvousOrder.of(settings.listWatch(), settings.name(), names));
            list.start();
        }
        return list;
    }

    private void seek(String duty, int rank) {
        duties.seek(duty, rank, 0);
        duties.sees(ensemble.duty(duty)); // before the next command would tell of it
    }

    void start() throws IOException {
        ensemble.start();
        kept.start();
        duties.sees(ensemble.duty(Presence.of(settings.name())));
        for (String duty : settings.duties()) {
            seek(duty, RendezvousOrder.of(duty, settings.name(), settings.members().keySet()));
        }
        Thread opening = new Thread(null, this::open, "fleet opening", 256 * 1024);
        opening.setDaemon(true);
        opening.start();
    }

    /** Asks to be a member with this process's session until that is answered. */
    private void open() {
        Command.From from = new Command.From(settings.name(), session, 1);
        Command command = new Command.Open(from, folder.id(), folder.start(), settings.terms(), false);
        try {
            while (!member && refused == null) {
                ensemble.send(command, (sent, result, at) -> opened(result));
                TimeUnit.MILLISECONDS.sleep(OPEN_AGAIN_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void opened(Result result) {
        if (member || refused != null) {
            return;
        }
        if (result instanceof Result.Refused r) {
            refused = r.why();
            Logger.error("fleet: {} is refused as a member: {}; it serves alone and holds nothing", settings.name(), r.why());
            return;
        }
        member = true;
        duties.start(); // before, its commands would be a stranger's
        Logger.info("fleet: {} is a member of {}, start {}", settings.name(), settings.id(), folder.start());
    }

    private void send(List<Command> commands, Duties from) { ensemble.send(commands, from::answered); }

    private void told(String duty, Lease.State before, Lease.State now, long fence) {
        Logger.info("fleet: {}: {} after {}, fence {}", duty, now, before, fence);
        Consumer<Event> to = records;
        if (to != null) {
            to.accept(new Event.DutyChanged(System.currentTimeMillis(), duty, word(now), word(before), fence));
        }
    }

    private void divided(MemberDivision living) {
        Logger.info("fleet: {} live at epoch {}: {}; this router {}", living.view().live().size(), living.view().epoch(),
                String.join(", ", living.view().live()), living.settled() ? "has its part" : "has no part yet");
        Consumer<Division> to = owners;
        if (to != null) {
            to.accept(living);
        }
    }

    private static String word(Lease.State state) { return state.name().toLowerCase(Locale.ROOT); }

    @Override public void tell(Consumer<Event> to) { records = to; }

    /** Until the fleet says how boxes are divided this router has no part: others may have them. */
    @Override public void divide(Consumer<Division> to, LongSupplier routerClock) {
        if (settings.ownership()) {
            to.accept(Duties.NOBODY);
            owners = to;
            duties.ahead(routerClock.getAsLong() - System.nanoTime());
        }
    }

    // ---- What the router asks -----------------------------------------------------------------------

    @Override public void awaitTurnToLeave() throws InterruptedException {
        if (refused != null) {
            return; // no member, and never will be: nobody counts it among those who leave
        }
        duties.leaves(); // and has given its part of the boxes back by the time that its turn has come
        duties.give(settings.listWatch());
        settings.duties().forEach(duties::give); // whoever takes them need not wait for a lease
        List<String> turns = settings.turnsToLeave();
        turns.forEach(one -> seek(one, 0));
        long by = System.nanoTime() + (long) (settings.turnWaitS() * 1e9);
        while (turn == null && !overruled) {
            if (System.nanoTime() > by) {
                Logger.warn("fleet: no turn to leave within {} s; leaving all the same", settings.turnWaitS());
                break;
            }
            TimeUnit.MILLISECONDS.sleep(10);
            turn = turns.stream().filter(one -> duties.states().get(one) == Lease.State.HOLDING).findFirst().orElse(null);
        }
        turns.stream().filter(one -> !one.equals(turn)).forEach(duties::give); // of several, the others' to have
    }

    /** Gives the turn back, which the next may then have at once; where that is not answered it lapses. */
    @Override public void left() throws IOException, InterruptedException {
        duties.give(Presence.of(settings.name()));
        if (turn != null) {
            duties.give(turn);
            long by = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(GIVE_PATIENCE_MS);
            while (duties.states().get(turn) != Lease.State.WATCHING && System.nanoTime() < by) {
                TimeUnit.MILLISECONDS.sleep(5);
            }
        }
        close();
    }

    @Override public Reply call(String method, String path) {
        String asks = Stream.of(HAND_ON, JOIN, LEAVE, ACTED).filter(path::startsWith).findFirst().orElse(null);
        boolean overrules = path.equals(OVERRULE);
        String wanted = asks == null && !overrules ? "GET" : "POST";
        if (!method.equals(wanted)) {
            return new Reply(405, "{\"error\":\"only " + wanted + "\"}");
        }
        if (path.equals("/admin/fleet")) {
            return new Reply(200, status());
        }
        if (overrules) {
            overruled = true;
            Logger.warn("fleet: overruled: {} leaves without a turn once it is told to leave", settings.name());
            return new Reply(200, "{\"done\":true}");
        }
        if (asks != null) {
            String[] words = path.substring(asks.length()).split("/", -1);
            return asks.equals(HAND_ON) ? handOn(words[0].replace("%20", " "), words.length > 1 ? words[1] : "")
                    : asks.equals(JOIN) ? join(words) : asks.equals(ACTED) ? acted(words) : leave(words[0]);
        }
        if (path.startsWith(OWNER)) {
            return owner(path.substring(OWNER.length()));
        }
        String duty = path.startsWith(DUTY) ? path.substring(DUTY.length()) : "";
        if (!settings.duties().contains(duty)) {
            return null;
        }
        long fence = duties.fence(duty);
        if (fence == Lease.NONE) {
            return new Reply(409, "{\"duty\":" + text(duty) + ",\"held\":false}");
        }
        return new Reply(200, "{\"duty\":" + text(duty) + ",\"held\":true,\"fence\":" + fence + "}");
    }

    /** A program of the installation says how its act by a fence ended. */
    private Reply acted(String[] words) {
        boolean known = words.length == 3 && settings.duties().contains(words[0]) && words[1].matches("[0-9]{1,18}")
                && (words[2].equals("well") || words[2].equals("failed"));
        if (!known) {
            return new Reply(400, "{\"error\":\"not DUTY/FENCE/well or DUTY/FENCE/failed\"}");
        }
        boolean inTime = duties.acted(words[0], Long.parseLong(words[1]), words[2].equals("well"));
        return inTime ? new Reply(200, "{\"done\":true}") : new Reply(409, "{\"error\":\"the lease that it began in was over\"}");
    }

    /** Whether this router stands first for that box now, and by which epoch of those that live. */
    private Reply owner(String box) {
        MemberDivision living = duties.living();
        boolean owns = living.place(EndpointEntry.id(box)) == 0 && living.may(duties.ahead() + System.nanoTime());
        return new Reply(owns ? 200 : 409, "{\"box\":" + text(box) + ",\"held\":" + owns + ",\"fence\":" + living.view().epoch() + "}");
    }

    private Reply join(String[] words) {
        boolean votes = words.length == 3 && words[2].equals("votes");
        if (words.length < 2 || words.length > 3 || words.length == 3 && !votes || words[0].isEmpty() || !words[1].matches("[^:]+:[0-9]{1,5}")) {
            return new Reply(400, "{\"error\":\"not NAME/HOST:PORT or NAME/HOST:PORT/votes\"}");
        }
        return begun(ensemble.join(words[0], words[1], votes));
    }

    /** Out of the ledger first, which ends its say, and then out of the consensus. */
    private Reply leave(String who) {
        Reply gone = ask(new Command.Depart(new Command.From(settings.name(), session, duties.nextNumber()), who));
        boolean out = gone.status() == 200 || gone.json().contains(Result.Why.NO_MEMBER.name());
        return out ? begun(ensemble.leave(who)) : gone;
    }

    private static Reply begun(boolean begun) {
        return begun ? new Reply(202, "{\"begun\":true}") : new Reply(409, "{\"error\":\"another change of members is under way here\"}");
    }

    /** Asks the holder, whoever it is, to hand the duty on. */
    private Reply handOn(String duty, String to) {
        return ask(new Command.HandOn(new Command.From(settings.name(), session, duties.nextNumber()), duty, to));
    }

    private Reply ask(Command command) {
        CompletableFuture<Result> answer = new CompletableFuture<>();
        ensemble.send(command, (sent, result, at) -> answer.complete(result));
        try {
            Result result = answer.get(ANSWER_MS, TimeUnit.MILLISECONDS);
            return result instanceof Result.Refused r ? new Reply(409, "{\"error\":\"" + r.why() + "\"}") : new Reply(200, "{\"done\":true}");
        } catch (TimeoutException e) {
            return new Reply(504, "{\"error\":\"no answer: perhaps no majority\"}");
        } catch (ExecutionException | InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Reply(503, "{\"error\":\"stopping\"}");
        }
    }

    private String status() {
        Ledger.Image image = ensemble.image();
        StringJoiner members = new StringJoiner(",", "[", "]");
        for (Member m : image.members()) {
            members.add("{\"name\":" + text(m.name()) + ",\"start\":" + m.start() + ",\"since\":" + m.since() + "}");
        }
        StringJoiner held = new StringJoiner(",", "[", "]");
        for (Duty d : image.duties()) {
            held.add("{\"duty\":" + text(d.name()) + ",\"holder\":" + text(d.holder()) + ",\"fence\":" + d.fence() + ",\"leaving\":"
                    + d.leaving() + "}");
        }
        StringJoiner here = new StringJoiner(",", "[", "]");
        duties.states().forEach((name, state) -> here.add("{\"duty\":" + text(name) + ",\"state\":\"" + word(state)
                + "\",\"granted\":" + duties.counts(name).granted() + ",\"lapsed\":" + duties.counts(name).lapsed() + ",\"late_acts\":"
                + duties.counts(name).lateActs() + "}"));
        StringJoiner peers = new StringJoiner(",", "[", "]");
        String leader;
        String role;
        boolean changing;
        long term;
        long applied;
        try {
            leader = ensemble.leader();
            ensemble.peers().forEach((name, votes) -> peers.add("{\"name\":" + text(name) + ",\"votes\":" + votes + "}"));
            changing = ensemble.isChanging();
            role = ensemble.info().getCurrentRole().name().toLowerCase(Locale.ROOT);
            term = ensemble.info().getCurrentTerm();
            applied = ensemble.info().getLastAppliedIndex();
        } catch (IOException e) {
            leader = "";
            role = "none";
            changing = false;
            term = -1;
            applied = -1;
        }
        LedgerMachine.Digest digest = ensemble.digest();
        String why = refused != null ? refused.name() : duties.sessionLost() ? "NO_SESSION" : ensemble.stuck() == null ? "" : ensemble.stuck();
        MemberDivision living = duties.living();
        String live = String.join(",", living.view().live().stream().map(FleetNode::text).toList());
        return "{\"fleet\":" + text(settings.id()) + ",\"name\":" + text(settings.name()) + ",\"member\":" + (member && why.isEmpty())
                + ",\"refused\":" + text(why) + ",\"leader\":" + text(leader) + ",\"role\":\"" + role + "\",\"term\":" + term
                + ",\"applied\":" + applied + ",\"behind_ms\":" + TimeUnit.NANOSECONDS.toMillis(duties.behindNs())
                + ",\"ledger\":\"" + digest.at() + " " + Integer.toHexString(digest.sum()) + "\",\"epoch\":" + image.epoch()
                + ",\"unsent\":" + ensemble.unsent() + ",\"unanswered\":" + ensemble.unanswered() + ",\"live_epoch\":" + living.view().epoch()
                + ",\"list\":{\"from\":" + text(shares ? list.from() : settings.name()) + ",\"version\":" + list.version() + ",\"kept\":" + kept.version()
                + ",\"kept_no_more\":" + text(kept.wrong() == null ? "" : kept.wrong()) + "},\"shares\":{\"boxes\":" + coldShares.given()
                + ",\"out_per_s\":" + String.format(Locale.ROOT, "%.3f", coldShares.out()) + "},\"unread\":" + this.peers.unread()
                + ",\"live\":[" + live + "],\"divides\":" + living.settled() + ",\"peers\":" + peers + ",\"changing\":" + changing
                + ",\"members\":" + members + ",\"duties\":" + held + ",\"here\":" + here + "}";
    }

    static String text(String s) {
        StringBuilder out = new StringBuilder("\"");
        for (char c : s.toCharArray()) {
            out.append(c == '"' || c == '\\' ? "\\" + c : c < ' ' ? String.format("\\u%04x", (int) c) : String.valueOf(c));
        }
        return out.append('"').toString();
    }

    @Override public void close() throws IOException {
        kept.close();
        list.close();
        coldShares.close();
        duties.close();
        ensemble.close();
        folder.close();
    }
}
