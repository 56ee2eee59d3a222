package streamproxy.lab.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import streamproxy.lab.RouterProcess;
import streamproxy.lab.faults.Fault;
import streamproxy.lab.faults.FaultInjector;
import streamproxy.lab.faults.SystemCall;
import streamproxy.lab.fleet.DaemonProcess;
import streamproxy.lab.soak.SoakBreak.Rule;

/** Plays one plan on a router as a real process, with faults of its system calls where there are some, and judges its clients' side. */
final class SoakRun {
    /** When the clients of a life come, once its router is ready. */
    interface Start {
        void await() throws Exception;
    }

    /** What a run came to. */
    record Outcome(long seed, int requests, int served, int refused, int failed, int crossed, int copied, long endedAfterMs, List<SoakBreak> breaks) {
        Outcome with(List<SoakBreak> all) { return new Outcome(seed, requests, served, refused, failed, crossed, copied, endedAfterMs, List.copyOf(all)); }
    }

    private static final int DESCRIPTORS = 1_024;
    private static final int MEMORY_MB = 192;
    private static final long START_MS = 30_000;
    /** After so long the first process is told to leave, whether or not the second one serves (DAYS.md). */
    private static final long SUCCESSOR_MS = 6_000;
    private static final long WARM_UP_MS = 400;
    private static final long LOOK_MS = 4_000;
    private static final long RECENT_NS = TimeUnit.SECONDS.toNanos(2);
    private static final long RESUMED_MS = 2_000;
    private static final long TERM_GRACE_MS = 700;
    /** The longest deadline that the kill waits for. */
    private static final long KILL_DEADLINE_MS = 3_000;
    /** Streams that replicas go on with after a kill or an exit are over within that. */
    private static final long CLIENTS_END_MS = 8_000;
    /** A router on which nothing is under way for so long has no reason to stay. */
    private static final long IDLE_BEFORE_EXIT_MS = 500;
    /** The form's own slack for what is looked at from outside. */
    private static final long LOOK_SLACK_NS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final int HALF_CALL_MS = 1_500;
    /** A request's head is read so long after its last byte at the latest. */
    private static final long HEAD_READ_NS = TimeUnit.MILLISECONDS.toNanos(150);
    private static final List<String> FAULTS_IN_LOG = List.of("a request failed", "in thread", "goes on after", "go on after",
            "OutOfMemoryError", "StackOverflowError", "stands still");

    /** The JVM says that of signals, and the router has heard them all the same: what it does then is judged. */
    private static final String SIGNAL_WITHOUT_THREAD = "occurred dispatching signal";
    /** The JVM ends so before any of the program has run. */
    private static final String JVM_SHORT = "Error occurred during initialization of VM";
    /** What the JVM says last has no more characters. */
    private static final int JVM_LAST_LINES = 400;
    /** A want of threads is over by then, with what it takes to look. */
    private static final long SHORTAGE_MS = 700;

    private final Birth birth;
    private final long startMs;
    private final SoakPlan plan;
    private final FaultPlan faults;
    private final List<String> command;
    private final Path folder;
    private final SoakReplicas replicas;
    private final Start start;
    private final FaultInjector injector; // null: no system call fails
    private final List<SoakBreak> breaks = new ArrayList<>();
    private final List<SoakClient> clients = new ArrayList<>();
    private final InetSocketAddress listen = RouterProcess.free();
    private DaemonProcess router;
    private Path config;
    private final RulesInForce rules;
    private int reloads; // good ones so far
    private int copied;
    private long terminatedAt;
    private long killedAt;
    private long exitedAt;

    /**
     * @param faults  what fails meanwhile
     * @param command starts a router, without its environment
     * @param start   when its clients come
     */
    SoakRun(SoakPlan plan, FaultPlan faults, List<String> command, Path folder, SoakReplicas replicas, Start start) throws IOException {
        this(plan, faults, Birth.PLAIN, START_MS, command, folder, replicas, start);
    }

    /**
     * @param birth   how its process comes to be
     * @param startMs within so long it is to be ready
     */
    SoakRun(SoakPlan plan, FaultPlan faults, Birth birth, long startMs, List<String> command, Path folder, SoakReplicas replicas, Start start)
            throws IOException {
        this.birth = birth;
        this.startMs = startMs;
        this.plan = plan;
        this.faults = faults;
        this.command = command;
        this.folder = folder;
        this.replicas = replicas;
        this.start = start;
        rules = new RulesInForce(plan.repeats().get(0));
        Files.createDirectories(folder);
        injector = faults.callsFail() ? new FaultInjector(folder.resolve("faults")) : null;
    }

    /** Plays one life by itself, without faults, and judges what reached its replicas, too. */
    static Outcome alone(SoakPlan plan, List<String> command, Path folder) throws Exception {
        try (SoakReplicas replicas = SoakReplicas.forOne(plan.seed()); LabClock lab = new LabClock(replicas.canaryWay())) {
            SoakRun run = new SoakRun(plan, FaultPlan.NONE, command, folder, replicas, () -> { });
            Outcome outcome = run.play();
            List<SoakBreak> breaks = new ArrayList<>(outcome.breaks());
            new AttemptAudit(run.requests(), replicas, lab, breaks).judge();
            return outcome.with(breaks);
        }
    }

    Outcome play() throws Exception {
        config = folder.resolve("config.json");
        try (SoakFront front = new SoakFront(listen); SoakCrowd crowd = new SoakCrowd(listen); SoakFlood flood = new SoakFlood(listen, plan.flood());
                SoakCopies copies = new SoakCopies(plan.seed(), listen, this::requests, replicas)) {
            writeConfiguration(plan.deadlineMs());
            router = process("n0");
            begin();
            boolean ready = awaitReady(router);
            start.await();
            if (ready) {
                front.start();
                List<Thread> threads = startClients(front);
                crowd.connect(plan.crowd());
                flood.start();
                Thread fails = startFaults();
                TimeUnit.MILLISECONDS.sleep(WARM_UP_MS);
                for (SoakPlan.Event event : plan.events()) {
                    play(event);
                }
                judgeMemory();
                DaemonProcess successor = plan.replaced() ? replace(copies) : null;
                terminate();
                awaitEnd(successor);
                fails.interrupt();
                copies.served().forEach(id -> add(Rule.RAN_AGAIN, "a copy of " + id + " was served"));
                copied = copies.tried();
                endClients(threads, successor);
            }
        } finally {
            router.kill();
        }
        noteRules();
        SoakAudit audit = new SoakAudit(requests(), replicas, terminatedAt, killedAt, breaks);
        audit.judge();
        judgeLog(router);
        return new Outcome(plan.seed(), requests().size(), count(SoakRequest.End.SERVED), count(SoakRequest.End.REFUSED),
                count(SoakRequest.End.FAILED), audit.crossed(), copied, TimeUnit.NANOSECONDS.toMillis(exitedAt - terminatedAt), List.copyOf(breaks));
    }

    /** Whoever runs it ends a process that takes more than its configuration states. */
    private void judgeMemory() throws IOException {
        if (!router.isAlive()) {
            return; // judged otherwise
        }
        long peakKb = RouterProcess.peakKb(router.process().pid());
        if (peakKb > MEMORY_MB * 1024L) {
            add(Rule.MEMORY, "it has held up to " + peakKb + " kB");
        }
    }

    /** Starts the process as its birth has it; it is ready later, whatever happened to it. */
    private void begin() throws Exception {
        if (birth.threadsMost() > 0) {
            injector.begin(SystemCall.THREAD, Fault.threadsMost(birth.threadsMost()));
        }
        router.start();
        if (birth.killAfterMs() > 0) {
            TimeUnit.MILLISECONDS.sleep(birth.killAfterMs());
            if (!router.isAlive() && !endedByJvm(router)) {
                add(Rule.PROCESS, "its first start ended by itself with " + router.process().exitValue());
            }
            router.kill();
            router.start();
        }
        if (birth.threadsMost() > 0) {
            TimeUnit.MILLISECONDS.sleep(birth.shortForMs());
            injector.end(SystemCall.THREAD);
        }
    }

    private void writeConfiguration(long deadlineMs) throws IOException {
        Files.writeString(config, replicas.standIns().configuration(DESCRIPTORS, MEMORY_MB, deadlineMs, plan.repeats().get(reloads)));
    }

    private DaemonProcess process(String name) throws IOException {
        InetSocketAddress operators = RouterProcess.free();
        Map<String, String> told = Map.of("NODE_NAME", name, "NODE_LISTEN", "127.0.0.1:" + listen.getPort(), "NODE_OPERATOR",
                "127.0.0.1:" + operators.getPort(), "NODE_DISCOVERY", replicas.standIns().listAddress(), "NODE_CONFIG", config.toString(),
                "TMPDIR", Files.createDirectories(folder.resolve("shared")).toString());
        Map<String, String> environment = new HashMap<>(told);
        if (injector != null) {
            environment.putAll(injector.environment());
        }
        return new DaemonProcess(name, command, environment, operators, folder.resolve(name + ".log"));
    }

    /** Plays the faults beside the events, and writes down when each began and how many calls it met. */
    private Thread startFaults() {
        Thread plays = new Thread(new FaultPlayer(faults, injector, router, folder.resolve("faults.txt")), "faults");
        plays.setDaemon(true);
        plays.start();
        return plays;
    }

    private boolean awaitReady(DaemonProcess process) throws InterruptedException {
        long by = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(startMs);
        while (System.nanoTime() < by && (process.isAlive() || startedAgain(process))) {
            DaemonProcess.Reply health = process.get("/admin/health");
            if (health != null && health.status() == 200 && SoakFront.isReady(listen)) {
                return true;
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
        add(Rule.PROCESS, process.name() + (process.isAlive() ? " was not ready in time" : " ended with " + process.process().exitValue()));
        return false;
    }

    /** Whether the JVM itself found no thread for its start, in a run in which none can be made at times. */
    private boolean endedByJvm(DaemonProcess process) {
        try {
            String log = process.log();
            return faults.makesShort(SystemCall.THREAD) && log.lastIndexOf(JVM_SHORT) > log.length() - JVM_LAST_LINES;
        } catch (IOException e) {
            return false;
        }
    }

    /** Starts a process again that the JVM has ended, as whoever runs it would; false where it ended otherwise. */
    private boolean startedAgain(DaemonProcess process) {
        if (!endedByJvm(process) || process.process().exitValue() != 1) {
            return false;
        }
        try {
            process.start();
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private List<Thread> startClients(SoakFront front) {
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < plan.clients(); i++) {
            SoakClient client = new SoakClient(i, plan, listen, front);
            clients.add(client);
            Thread thread = new Thread(null, client, client.toString(), 256 * 1024);
            thread.setDaemon(true);
            thread.start();
            threads.add(thread);
        }
        return threads;
    }

    private void play(SoakPlan.Event event) throws Exception {
        TimeUnit.MILLISECONDS.sleep(event.afterMs());
        switch (event.kind()) {
            case RELOAD -> reload();
            case BROKEN_RELOAD -> {
                Files.writeString(config, "{\"settings\":");
                rules.spoilt(System.nanoTime());
                router.hangUp();
            }
            case QUIESCE -> call("/admin/quiesce");
            case RESUME -> call("/admin/resume");
            case DRAIN -> drain();
            case HALF_CALL -> halfCall();
            case TERMINATE -> router.terminate();
        }
    }

    /** Brings the next rule for repeats; once the process is to leave, all stays as it is. */
    private void reload() throws Exception {
        reloads += terminatedAt == 0 ? 1 : 0;
        writeConfiguration(plan.deadlineMs());
        rules.reloaded(plan.repeats().get(reloads), System.nanoTime());
        router.hangUp();
    }

    /** An operator's call, which is to be answered at once: yes, or no where the process is leaving. */
    private void call(String path) {
        DaemonProcess.Reply reply = router.call("POST", path);
        boolean leaves = terminatedAt != 0;
        if (!leaves && (reply == null || reply.status() != 200) || reply != null && reply.status() != 200 && reply.status() != 409) {
            add(Rule.OPERATOR_CALL, path + ": " + (reply == null ? "no answer" : reply.status()));
        }
    }

    private void halfCall() {
        Thread caller = new Thread(() -> {
            try (Socket socket = new Socket("127.0.0.1", router.operators().getPort())) {
                socket.getOutputStream().write("POST /admin/quie".getBytes(StandardCharsets.US_ASCII));
                TimeUnit.MILLISECONDS.sleep(HALF_CALL_MS);
            } catch (IOException e) {
                // the process leaves
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }, "half a call");
        caller.setDaemon(true);
        caller.start();
    }

    private void drain() throws InterruptedException {
        call("/admin/resume"); // whatever was called before: the drain begins with this call
        call("/admin/quiesce");
        long calledAt = System.nanoTime();
        sleepUntil(calledAt + TimeUnit.MILLISECONDS.toNanos(LOOK_MS));
        if (SoakFront.isReady(listen)) {
            add(Rule.DRAIN, "it says that it is ready 4 s after quiesce");
        }
        for (SoakClient client : clients) {
            judgeHeld(client, System.nanoTime());
        }
        call("/admin/resume");
        sleepUntil(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RESUMED_MS));
        String readiness = readinessAfterShortage();
        if (!readiness.endsWith(" 200")) {
            add(Rule.DRAIN, "2 s after resume it says in place of yes: " + readiness);
        }
    }

    /** Without a thread for it the question is refused: where that may be the reason it is asked again until that is over. */
    private String readinessAfterShortage() throws InterruptedException {
        long by = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(faults.makesShort(SystemCall.THREAD) ? SHORTAGE_MS : 0);
        String readiness = SoakFront.readiness(listen);
        while (!readiness.endsWith(" 200") && System.nanoTime() < by) {
            TimeUnit.MILLISECONDS.sleep(20);
            readiness = SoakFront.readiness(listen);
        }
        return readiness;
    }

    private void judgeHeld(SoakClient client, long now) {
        SoakConnection held = client.held();
        SoakRequest request = client.underWay();
        if (held == null || held.closedAt != 0) {
            return;
        }
        boolean recent = request != null && request.isSent() && now - request.sentAt < RECENT_NS - LOOK_SLACK_NS;
        boolean half = request != null && !request.isSent() && !held.isEndedByRouter();
        if (request == null || recent || half) {
            add(Rule.DRAIN, client + " holds a connection 4 s after quiesce, " + (request == null ? "idle"
                    : "with request " + request.id + (half ? ", half written" : ", sent " + TimeUnit.NANOSECONDS.toMillis(now - request.sentAt) + " ms ago")));
        }
    }

    /** Starts a second process beside the first, which is told to leave once that one serves, or after some seconds. */
    private DaemonProcess replace(SoakCopies copies) throws Exception {
        copies.start();
        writeConfiguration(plan.deadlineMs());
        DaemonProcess next = process("n0-next");
        next.start();
        awaitHealth(next, SUCCESSOR_MS);
        return next;
    }

    private boolean awaitHealth(DaemonProcess process, long ms) throws InterruptedException {
        long by = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
        while (System.nanoTime() < by && (process.isAlive() || startedAgain(process))) {
            DaemonProcess.Reply health = process.get("/admin/health");
            if (health != null && health.status() == 200) {
                return true;
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
        return false;
    }

    private void terminate() {
        terminatedAt = System.nanoTime();
        router.terminate();
    }

    /** Plays what comes after SIGTERM, and kills the process at the earliest moment at which operators may. */
    private void awaitEnd(DaemonProcess successor) throws Exception {
        for (SoakPlan.Event event : plan.afterTerm()) {
            if (router.isAlive()) {
                play(event);
            }
        }
        long killAt = terminatedAt + TimeUnit.MILLISECONDS.toNanos(Math.min(KILL_DEADLINE_MS, plan.deadlineMs()) + TERM_GRACE_MS);
        long idleSince = System.nanoTime();
        while (router.isAlive() && System.nanoTime() < killAt) {
            if (successor != null || clients.stream().anyMatch(client -> client.underWay() != null)) {
                idleSince = System.nanoTime(); // with two processes it is not known whose a request is
            }
            TimeUnit.MILLISECONDS.sleep(2);
        }
        if (!router.isAlive()) {
            exitedAt = System.nanoTime();
            int code = router.process().exitValue();
            if (code != 0) {
                add(Rule.PROCESS, "it ended with " + code);
            }
            return;
        }
        if (System.nanoTime() - idleSince > TimeUnit.MILLISECONDS.toNanos(IDLE_BEFORE_EXIT_MS)) {
            add(Rule.HUNG, "nothing was under way for " + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - idleSince) + " ms, and it had not ended");
        }
        killedAt = System.nanoTime();
        exitedAt = killedAt;
        router.kill();
    }

    private void endClients(List<Thread> threads, DaemonProcess successor) throws InterruptedException {
        clients.forEach(SoakClient::end);
        long by = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CLIENTS_END_MS);
        for (Thread thread : threads) {
            thread.join(Math.max(1, TimeUnit.NANOSECONDS.toMillis(by - System.nanoTime())));
            if (thread.isAlive()) {
                add(Rule.UNANSWERED, thread.getName() + " still waits long after the end");
            }
        }
        if (successor != null) {
            if (!awaitHealth(successor, START_MS)) {
                add(Rule.PROCESS, "the second process " + (successor.isAlive() ? "does not serve" : "ended with " + successor.process().exitValue()));
            }
            successor.kill();
            judgeLog(successor);
        }
    }

    private void judgeLog(DaemonProcess process) {
        try {
            process.log().lines().filter(line -> !isOfShortage(line)).filter(line -> FAULTS_IN_LOG.stream().anyMatch(line::contains))
                    .forEach(line -> add(Rule.PROCESS, process.name() + " logged: " + line));
            process.log().lines().filter(line -> line.contains("rule broken: ")).forEach(line -> add(Rule.COUNTED, process.name() + " logged: " + line));
        } catch (IOException e) {
            add(Rule.PROCESS, process.name() + " left no log: " + e.getMessage());
        }
    }

    /** Where threads are made to fail, each refusal is told; that work ended by one is not among that. */
    private boolean isOfShortage(String line) {
        boolean refused = line.contains("unable to create native thread") || line.contains("threads are short")
                || line.contains(SIGNAL_WITHOUT_THREAD);
        return faults.makesShort(SystemCall.THREAD) && refused && !line.contains("go on after") && !line.contains("goes on after") && !line.contains(" ended");
    }

    List<SoakRequest> requests() { return clients.stream().flatMap(client -> client.requests().stream()).toList(); }

    private void noteRules() {
        requests().stream().filter(SoakRequest::isSent)
                .forEach(request -> request.rules = rules.between(request.firstByteAt, request.sentAt + HEAD_READ_NS));
    }

    private int count(SoakRequest.End end) { return (int) requests().stream().filter(request -> request.end == end).count(); }

    private void add(Rule rule, String text) { breaks.add(new SoakBreak(rule, text)); }

    private static void sleepUntil(long at) throws InterruptedException {
        TimeUnit.NANOSECONDS.sleep(at - System.nanoTime());
    }
}
