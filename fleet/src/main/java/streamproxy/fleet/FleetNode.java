package streamproxy.fleet;

import java.io.IOException;
import java.security.SecureRandom;
import java.util.Locale;
import java.util.StringJoiner;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;
import streamproxy.duties.Command;
import streamproxy.duties.Duty;
import streamproxy.duties.Lease;
import streamproxy.duties.Ledger;
import streamproxy.duties.Member;
import streamproxy.duties.Ranks;
import streamproxy.duties.Result;
import streamproxy.program.Fleet;
import streamproxy.protocol.NodeConfig.Unusable;

/** This router as a member of its fleet: folder, consensus and duties, from start to leaving. */
final class FleetNode implements Fleet, AutoCloseable {
    private static final long GIVE_PATIENCE_MS = 500;
    private static final long OPEN_AGAIN_MS = 500;
    /** One router of the fleet leaves at a time. */
    static final String TURN = "turn to leave";
    private static final String DUTY = "/admin/fleet/duty/";

    private final FleetSettings settings;
    private final Folder folder;
    private final Ensemble ensemble;
    private final Duties duties;
    private final long session;
    private volatile Result.Why refused; // why this process is no member; null while that is not known
    private volatile boolean member;

    FleetNode(FleetSettings settings) throws Unusable, IOException {
        this.settings = settings;
        folder = Folder.open(settings.folder(), settings.id(), settings.name());
        long drawn = new SecureRandom().nextLong();
        session = drawn == 0 ? 1 : drawn;
        duties = new Duties(settings.name(), session, settings.terms(), System::nanoTime, this::send, FleetNode::told);
        ensemble = new Ensemble(settings, folder, ledger -> duties().applied(ledger.image()));
    }

    private Duties duties() { return duties; }

    void start() throws IOException {
        ensemble.start();
        for (String duty : settings.duties()) {
            duties.seek(duty, Ranks.of(duty, settings.name(), settings.members().keySet()), 0);
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
                ensemble.send(command, (sent, result) -> opened(result));
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

    private void send(Command command, Duties from) { ensemble.send(command, from::answered); }

    private static void told(String duty, Lease.State before, Lease.State now, long fence) {
        Logger.info("fleet: {}: {} after {}, fence {}", duty, now, before, fence);
    }

    Duties leases() { return duties; }

    boolean isMember() { return member; }

    // ---- What the router asks -----------------------------------------------------------------------

    @Override public void awaitTurnToLeave() throws InterruptedException {
        if (refused != null) {
            return; // no member, and never will be: nobody counts it among those who leave
        }
        settings.duties().forEach(duties::give); // whoever takes them need not wait for a lease
        duties.seek(TURN, 0, 0);
        long by = System.nanoTime() + (long) (settings.turnWaitS() * 1e9);
        while (duties.states().get(TURN) != Lease.State.HOLDING) {
            if (System.nanoTime() > by) {
                Logger.warn("fleet: no turn to leave within {} s; leaving all the same", settings.turnWaitS());
                return;
            }
            TimeUnit.MILLISECONDS.sleep(10);
        }
    }

    /** Gives the turn back, which the next may then have at once; where that is not answered it lapses. */
    @Override public void left() throws IOException, InterruptedException {
        duties.give(TURN);
        long by = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(GIVE_PATIENCE_MS);
        while (duties.states().getOrDefault(TURN, Lease.State.WATCHING) != Lease.State.WATCHING && System.nanoTime() < by) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
        close();
    }

    @Override public Reply call(String path) {
        if (path.equals("/admin/fleet")) {
            return new Reply(200, status());
        }
        String duty = path.startsWith(DUTY) ? path.substring(DUTY.length()) : "";
        if (!settings.duties().contains(duty)) {
            return null;
        }
        long fence = duties.begins(duty);
        if (fence == Lease.NONE) {
            return new Reply(409, "{\"duty\":" + text(duty) + ",\"held\":false}");
        }
        duties.ends(duty, fence, true); // the act is the caller's: the fence bounds it
        return new Reply(200, "{\"duty\":" + text(duty) + ",\"held\":true,\"fence\":" + fence + "}");
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
        duties.states().forEach((name, state) -> here.add("{\"duty\":" + text(name) + ",\"state\":\"" + state.name().toLowerCase(Locale.ROOT)
                + "\",\"granted\":" + duties.counts(name).granted() + ",\"lapsed\":" + duties.counts(name).lapsed() + ",\"late_acts\":"
                + duties.counts(name).lateActs() + "}"));
        String leader;
        String role;
        long term;
        long applied;
        try {
            leader = ensemble.leader();
            role = ensemble.info().getCurrentRole().name().toLowerCase(Locale.ROOT);
            term = ensemble.info().getCurrentTerm();
            applied = ensemble.info().getLastAppliedIndex();
        } catch (IOException e) {
            leader = "";
            role = "none";
            term = -1;
            applied = -1;
        }
        String why = refused != null ? refused.name() : duties.sessionLost() ? "NO_SESSION" : ensemble.stuck() == null ? "" : ensemble.stuck();
        return "{\"fleet\":" + text(settings.id()) + ",\"name\":" + text(settings.name()) + ",\"member\":" + (member && why.isEmpty())
                + ",\"refused\":" + text(why) + ",\"leader\":" + text(leader) + ",\"role\":\"" + role + "\",\"term\":" + term
                + ",\"applied\":" + applied + ",\"epoch\":" + image.epoch() + ",\"unsent\":" + ensemble.unsent() + ",\"members\":" + members
                + ",\"duties\":" + held + ",\"here\":" + here + "}";
    }

    private static String text(String s) {
        StringBuilder out = new StringBuilder("\"");
        for (char c : s.toCharArray()) {
            out.append(c == '"' || c == '\\' ? "\\" + c : c < ' ' ? String.format("\\u%04x", (int) c) : String.valueOf(c));
        }
        return out.append('"').toString();
    }

    @Override public void close() throws IOException {
        duties.close();
        ensemble.close();
        folder.close();
    }
}
