import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;

/**
 * Three routers of a fleet, each with a program beside it that does the steps of one duty, each step within the time that an act may
 * take. The duty is handed on while a step is under way; no two programs may be within a step at one time.
 */
public final class HandOver {
    private static final int MEMBERS = 3;
    private static final long ACT_MS = 2_500;
    private static final long STEP_MS = 2_000;
    private static final long ASK_MS = 50;
    private static final int HAND_OVERS = 3;

    private HandOver() { }

    public static void main(String[] args) { Rig.run(args, HandOver::holds); }

    /** The installation's program beside one router: asks before each step, does it, and tells how it ended. */
    private static final class Job {
        private final Rig.Router router;
        private final Record record;
        private final List<String> working;
        private final AtomicInteger overlaps;
        private final AtomicInteger steps = new AtomicInteger();
        private volatile boolean within;
        private volatile boolean over;

        Job(Rig.Router router, Record record, List<String> working, AtomicInteger overlaps) {
            this.router = router;
            this.record = record;
            this.working = working;
            this.overlaps = overlaps;
            Http.daemon(this::run);
        }

        private void run() {
            try {
                while (!over) {
                    long askedAt = System.nanoTime();
                    String answer = call(router.operator(), "GET", "/admin/fleet/duty/report");
                    if (answer.contains("\"held\":true")) {
                        step(answer.replaceAll(".*\"fence\":(\\d+).*", "$1"), askedAt);
                    } else {
                        Thread.sleep(ASK_MS);
                    }
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        private void step(String fence, long askedAt) throws InterruptedException {
            synchronized (working) {
                record.line("the program at %s begins a step by fence %s%s", router.name, fence, working.isEmpty() ? "" : ", BROKEN: within one are " + working);
                overlaps.addAndGet(working.isEmpty() ? 0 : 1);
                working.add(router.name);
            }
            within = true;
            Thread.sleep(STEP_MS - (System.nanoTime() - askedAt) / 1_000_000);
            within = false;
            synchronized (working) {
                working.remove(router.name);
                record.line("the program at %s has ended its step by fence %s, %d ms after it asked", router.name, fence,
                        (System.nanoTime() - askedAt) / 1_000_000);
            }
            steps.incrementAndGet();
            record.line("%s is told: %s", router.name, call(router.operator(), "POST", "/admin/fleet/acted/report/" + fence + "/well"));
        }
    }

    private static boolean holds(Rig rig, boolean trouble) throws Exception {
        Path jar = rig.root.resolve("fleet/target/streamproxy-fleet.jar");
        if (!Files.exists(jar)) {
            throw new Rig.CannotRun("fleet/target/streamproxy-fleet.jar is not built");
        }
        List<Engine> engines = rig.engines(2);
        Discovery discovery = rig.ends(new Discovery("A", rig.record, 1, engines));
        List<Rig.Router> routers = new ArrayList<>();
        List<String> members = new ArrayList<>();
        for (int i = 0; i < MEMBERS; i++) {
            routers.add(rig.new Router("r" + i));
            members.add("r" + i + " " + Rig.freeAddress());
        }
        for (int i = 0; i < MEMBERS; i++) {
            Rig.Router router = routers.get(i);
            router.configure(Rig.config(router.name, router.listen(), discovery.address(), engines,
                    Rig.settings(MEMBERS).replace("\"Me\":0", "\"Me\":" + i)));
            Path file = rig.folder.resolve(router.name + ".ini");
            Files.writeString(file, "[fleet]\nid = review\nmembers = " + members.stream().collect(Collectors.joining(", ")) + "\nname = " + router.name
                    + "\nfolder = " + rig.folder.resolve("fleet-" + router.name) + "\nlease_s = 10\nact_ms = " + ACT_MS + "\nduties = report\n");
            router.start("exec java -jar " + jar + " daemon --operator " + file, discovery.address());
        }
        for (Rig.Router router : routers) {
            router.awaitReady();
        }
        awaitMembers(routers);
        List<String> working = new ArrayList<>();
        AtomicInteger overlaps = new AtomicInteger();
        List<Job> jobs = routers.stream().map(router -> new Job(router, rig.record, working, overlaps)).toList();
        for (int i = 0; i < HAND_OVERS; i++) {
            Job holder = awaitStep(jobs);
            Thread.sleep(500);
            if (trouble) {
                Rig.Router next = routers.get((routers.indexOf(holder.router) + 1) % MEMBERS);
                String answer = call(holder.router.operator(), "POST", "/admin/fleet/hand-on/report/" + next.name);
                rig.record.line("an operator has the duty handed on from %s to %s: %s", holder.router.name, next.name, answer);
                if (!answer.startsWith("200")) {
                    throw new Rig.CannotRun("the duty could not be handed on");
                }
            }
            Thread.sleep(STEP_MS + 1_500);
        }
        jobs.forEach(job -> job.over = true);
        Thread.sleep(STEP_MS + 500);
        int steps = jobs.stream().mapToInt(job -> job.steps.get()).sum();
        rig.record.line("%d steps, %d of them begun while another router's program was within one", steps, overlaps.get());
        if (steps < HAND_OVERS) {
            throw new Rig.CannotRun("too few steps");
        }
        return overlaps.get() == 0;
    }

    /** Waits until each router is a member of the fleet and knows all the others as such. */
    private static void awaitMembers(List<Rig.Router> routers) throws InterruptedException {
        for (int i = 0; i < 200; i++) {
            boolean all = routers.stream().allMatch(router -> {
                String fleet = call(router.operator(), "GET", "/admin/fleet");
                return fleet.contains("\"member\":true") && routers.stream().allMatch(other -> fleet.contains("{\"name\":\"" + other.name + "\",\"start\":"));
            });
            if (all) {
                return;
            }
            Thread.sleep(100);
        }
        throw new Rig.CannotRun("the routers did not become a fleet within 20 s");
    }

    /** Waits until a program has just begun a step. */
    private static Job awaitStep(List<Job> jobs) throws InterruptedException {
        Job within = null;
        for (int i = 0; i < 4_000 && (within = jobs.stream().filter(job -> job.within).findFirst().orElse(null)) != null; i++) {
            Thread.sleep(5); // until it has ended, so that the next one is seen to begin
        }
        for (int i = 0; i < 6_000 && within == null; i++) {
            within = jobs.stream().filter(job -> job.within).findFirst().orElse(null);
            Thread.sleep(5);
        }
        if (within == null) {
            throw new Rig.CannotRun("nobody holds the duty");
        }
        return within;
    }

    /** The status and the body of an operator's call; empty where there is no answer. */
    private static String call(String address, String method, String path) {
        try (Socket socket = Client.connect(address)) {
            socket.setSoTimeout(2_000);
            socket.getOutputStream().write(Http.bytes(method + " " + path + " HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n"));
            InputStream in = socket.getInputStream();
            Http.Head head = Http.head(in);
            return head.status() + " " + new String(Http.body(head, in), java.nio.charset.StandardCharsets.UTF_8);
        } catch (IOException e) {
            return "";
        }
    }
}
