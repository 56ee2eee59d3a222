package streamproxy.lab.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import streamproxy.lab.StandIns;

/**
 * Plays the lives of dozens of routers over thousands of replicas, each with a port of its own. Routers are killed as they
 * start and started anew, and threads run short in them as other calls fail; the list of replicas comes late or not at all,
 * is told whole again and again, a third of it drains and half of it is replaced.
 */
final class LargeFleetSoak {
    private static final int CLIENTS = 6;
    private static final long BETWEEN_ROUTERS_MS = 100;
    /** Nine in ten restarted processes are to be ready within that; each is judged by it, with what a shortage may take. */
    private static final long READY_MS = 10_000 + 8_000;
    private static final int TROUBLE_MOST_MS = 800;
    private static final int AWAY_MOST_MS = 2_000;
    private static final int LATE_MOST_MS = 1_500;
    private static final int TOLD_WHOLE_MOST = 20;
    private static final int STEPS = 4;
    private static final long STEP_MS = 200;

    private final long seed;
    private final int routers;
    private final int count;
    private final List<String> command;
    private final Path folder;

    /** @param count replicas */
    LargeFleetSoak(long seed, int routers, int count, List<String> command, Path folder) {
        this.seed = seed;
        this.routers = routers;
        this.count = count;
        this.command = command;
        this.folder = folder;
    }

    private long lifeSeed(int router) { return seed * 1_000 + router; }

    FleetSoak.Outcome play() throws Exception {
        ExecutorService players = Executors.newFixedThreadPool(routers);
        try (SoakReplicas replicas = SoakReplicas.forMany(seed, count); LabClock lab = new LabClock(replicas.canaryWay())) {
            CyclicBarrier together = new CyclicBarrier(routers);
            List<SoakRun> runs = new ArrayList<>();
            for (int router = 0; router < routers; router++) {
                runs.add(run(router, replicas, together));
            }
            List<Future<SoakRun.Outcome>> under = runs.stream().map(run -> players.submit(run::play)).toList();
            Thread shared = startSharedTrouble(replicas.standIns());
            List<SoakRun.Outcome> lives = new ArrayList<>();
            List<SoakBreak> breaks = new ArrayList<>();
            for (int router = 0; router < routers; router++) {
                SoakRun.Outcome life = under.get(router).get();
                lives.add(life);
                String name = "router " + router + ": ";
                life.breaks().forEach(found -> breaks.add(new SoakBreak(found.rule(), name + found.text())));
            }
            shared.interrupt();
            shared.join();
            AttemptAudit audit = new AttemptAudit(runs.stream().flatMap(run -> run.requests().stream()).toList(), replicas, lab, breaks);
            audit.judge();
            return new FleetSoak.Outcome(seed, lives, audit.late(), breaks);
        } finally {
            players.shutdownNow();
        }
    }

    private SoakRun run(int router, SoakReplicas replicas, CyclicBarrier together) throws IOException {
        Path own = Files.createDirectories(folder.resolve("router-" + router));
        FaultPlan faults = FaultPlan.withThreadShortage(lifeSeed(router));
        Birth birth = Birth.of(lifeSeed(router));
        Files.write(own.resolve("plan.txt"), faults.events().stream().map(Object::toString).toList());
        Files.writeString(own.resolve("birth.txt"), birth + System.lineSeparator());
        SoakRun.Start start = () -> {
            together.await();
            TimeUnit.MILLISECONDS.sleep(router * BETWEEN_ROUTERS_MS);
        };
        return new SoakRun(SoakPlan.of(lifeSeed(router)).withClients(CLIENTS), faults, birth, READY_MS, command, own, replicas, start);
    }

    private Thread startSharedTrouble(StandIns standIns) {
        Thread thread = new Thread(() -> {
            List<String> told = new ArrayList<>();
            try {
                trouble(standIns, told);
            } catch (InterruptedException e) {
                // the fleet has ended
            } catch (IOException e) {
                told.add("no more trouble: " + e.getMessage());
            } finally {
                write(told);
            }
        }, "shared trouble");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private void write(List<String> told) {
        try {
            Files.write(folder.resolve("shared.txt"), told);
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    private void trouble(StandIns standIns, List<String> told) throws InterruptedException, IOException {
        SplittableRandom random = new SplittableRandom(seed ^ 0x1A26EL);
        long beganAt = System.nanoTime();
        while (true) {
            TimeUnit.MILLISECONDS.sleep(random.nextInt(TROUBLE_MOST_MS));
            String at = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - beganAt) + " ms: ";
            int ms = random.nextInt(1, AWAY_MOST_MS);
            switch (random.nextInt(6)) {
                case 0 -> {
                    told.add(at + "the list service is away for " + ms + " ms");
                    standIns.away(true);
                    TimeUnit.MILLISECONDS.sleep(ms);
                    standIns.away(false);
                }
                case 1 -> {
                    int late = random.nextInt(1, LATE_MOST_MS);
                    told.add(at + "the list service is " + late + " ms late for " + ms + " ms");
                    standIns.late(late);
                    TimeUnit.MILLISECONDS.sleep(ms);
                    standIns.late(0);
                }
                case 2 -> {
                    told.add(at + "watches fall silent");
                    standIns.mute();
                }
                case 3 -> {
                    int times = random.nextInt(1, TOLD_WHOLE_MOST);
                    told.add(at + "the list is told whole " + times + " times");
                    standIns.tellAll(times);
                }
                case 4 -> drainThird(standIns, random, told, at);
                default -> {
                    int from = random.nextInt(2) * (count / 2);
                    told.add(at + "replicas " + from + " to " + (from + count / 2) + " are replaced");
                    standIns.replace(Math.max(1, from), from + count / 2); // the first one times the lab
                }
            }
        }
    }

    private void drainThird(StandIns standIns, SplittableRandom random, List<String> told, String at) throws InterruptedException {
        int from = 1 + random.nextInt(count - count / 3 - 1);
        told.add(at + "replicas " + from + " to " + (from + count / 3) + " drain in steps, and come back");
        int step = Math.max(1, count / 3 / STEPS);
        for (int i = 0; i < STEPS; i++) {
            standIns.tell(from + i * step, from + (i + 1) * step, "draining");
            TimeUnit.MILLISECONDS.sleep(STEP_MS);
        }
        TimeUnit.MILLISECONDS.sleep(random.nextInt(AWAY_MOST_MS));
        standIns.tell(from, from + STEPS * step, "ready");
    }
}
