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
 * Plays the lives of many routers beside each other, all over the same replicas and list service, while their system calls
 * fail, links to replicas delay and break, the list service goes away, and replicas drain; and judges all of them.
 */
final class FleetSoak {
    /** What a fleet came to. */
    record Outcome(long seed, List<SoakRun.Outcome> lives, int late, List<SoakBreak> breaks) {
        int requests() { return lives.stream().mapToInt(SoakRun.Outcome::requests).sum(); }

        int served() { return lives.stream().mapToInt(SoakRun.Outcome::served).sum(); }
    }

    private static final int CLIENTS = 6;
    private static final long BETWEEN_ROUTERS_MS = 150;
    private static final int ROUTERS_FOR_REPLICA = 3;
    private static final int REPLICAS_LEAST = 4;
    private static final int TROUBLE_MOST_MS = 1_500;
    private static final int DELAY_MOST_MS = 150;
    private static final int AWAY_MOST_MS = 2_000;

    private final long seed;
    private final int routers;
    private final List<String> command;
    private final Path folder;
    private final List<FaultPlan> faults;

    /** @param faults one for each router */
    FleetSoak(long seed, List<FaultPlan> faults, List<String> command, Path folder) {
        this.seed = seed;
        this.faults = faults;
        routers = faults.size();
        this.command = command;
        this.folder = folder;
    }

    /** The faults that a seed draws for so many routers. */
    static List<FaultPlan> draw(long seed, int routers) {
        List<FaultPlan> plans = new ArrayList<>();
        for (int router = 0; router < routers; router++) {
            plans.add(FaultPlan.of(lifeSeed(seed, router)));
        }
        return plans;
    }

    private static long lifeSeed(long seed, int router) { return seed * 1_000 + router; }

    Outcome play() throws Exception {
        ExecutorService players = Executors.newFixedThreadPool(routers);
        try (SoakReplicas replicas = SoakReplicas.behindLinks(seed, Math.max(REPLICAS_LEAST, routers / ROUTERS_FOR_REPLICA));
                LabClock lab = new LabClock(replicas.canaryWay())) {
            List<SoakRun> runs = new ArrayList<>();
            CyclicBarrier together = new CyclicBarrier(routers);
            for (int router = 0; router < routers; router++) {
                Path own = Files.createDirectories(folder.resolve("router-" + router));
                Files.write(own.resolve("plan.txt"), faults.get(router).events().stream().map(Object::toString).toList());
                runs.add(new SoakRun(SoakPlan.of(lifeSeed(seed, router)).withClients(CLIENTS), faults.get(router), command, own, replicas, start(together, router)));
            }
            List<Future<SoakRun.Outcome>> under = runs.stream().map(run -> players.submit(run::play)).toList();
            Thread shared = startSharedTrouble(replicas);
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
            return new Outcome(seed, lives, audit.late(), breaks);
        } finally {
            players.shutdownNow();
        }
    }

    /** Clients come once all routers are ready, router by router: a machine that starts all at once is late itself. */
    private static SoakRun.Start start(CyclicBarrier together, int router) {
        return () -> {
            together.await();
            TimeUnit.MILLISECONDS.sleep(router * BETWEEN_ROUTERS_MS);
        };
    }

    private Thread startSharedTrouble(SoakReplicas replicas) {
        Thread thread = new Thread(() -> {
            List<String> told = new ArrayList<>();
            try {
                trouble(replicas, told);
            } catch (InterruptedException e) {
                // the fleet has ended
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

    /** Links, the list service and replicas are in trouble now and then, one after the other. */
    private void trouble(SoakReplicas replicas, List<String> told) throws InterruptedException {
        SplittableRandom random = new SplittableRandom(seed ^ 0x11F7L);
        long beganAt = System.nanoTime();
        StandIns standIns = replicas.standIns();
        while (true) {
            TimeUnit.MILLISECONDS.sleep(random.nextInt(TROUBLE_MOST_MS));
            int replica = random.nextInt(REPLICAS_LEAST);
            int ms = random.nextInt(1, AWAY_MOST_MS);
            String at = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - beganAt) + " ms: ";
            switch (random.nextInt(6)) {
                case 0 -> {
                    told.add(at + "replica " + replica + ": connections are reset");
                    replicas.links().begin(replica, SoakLinks.Trouble.RESET, 0);
                }
                case 1 -> {
                    told.add(at + "replica " + replica + ": connections are half closed");
                    replicas.links().begin(replica, SoakLinks.Trouble.HALF_CLOSE, 0);
                }
                case 2 -> {
                    int late = random.nextInt(1, DELAY_MOST_MS);
                    told.add(at + "replica " + replica + ": answers are " + late + " ms late for " + ms + " ms");
                    replicas.links().begin(replica, SoakLinks.Trouble.DELAY, late);
                    TimeUnit.MILLISECONDS.sleep(ms);
                    replicas.links().delay(replica, 0);
                }
                case 3 -> {
                    told.add(at + "the list service is away for " + ms + " ms");
                    standIns.away(true);
                    TimeUnit.MILLISECONDS.sleep(ms);
                    standIns.away(false);
                }
                case 4 -> {
                    told.add(at + "watches fall silent");
                    standIns.mute();
                }
                default -> {
                    told.add(at + "replica " + replica + " drains for " + ms + " ms");
                    standIns.tell(replica, "draining");
                    TimeUnit.MILLISECONDS.sleep(ms);
                    standIns.tell(replica, "ready");
                }
            }
        }
    }
}
