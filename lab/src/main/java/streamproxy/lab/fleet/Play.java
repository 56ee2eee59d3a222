package streamproxy.lab.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

/** One fleet of real routers, played through a plan of faults, and judged. */
final class Play {
    /** How long a duty was without an act, from a fault that befell its holder. */
    record HandOver(long seed, Plan.Kind kind, long ms) { }

    private static final String DUTY = "report";
    private static final long NEXT_MOST_S = 60;

    private final Path jar;
    private final int routers;
    private final double leaseS;
    private final long seed;
    private final Path out;
    private final long pauseMs;
    private final Map<Plan.Kind, Integer> faults = new EnumMap<>(Plan.Kind.class);
    private final List<HandOver> handOvers = new ArrayList<>();

    /**
     * @param pauseMs how often whoever acts does
     * @param out     where everything is kept; made, and must be empty
     */
    Play(Path jar, int routers, double leaseS, long seed, long pauseMs, Path out) {
        this.pauseMs = pauseMs;
        this.jar = jar;
        this.routers = routers;
        this.leaseS = leaseS;
        this.seed = seed;
        this.out = out;
    }

    Map<Plan.Kind, Integer> faults() { return faults; }

    List<HandOver> handOvers() { return handOvers; }

    /** Begins faults for so long, and comes back with what the auditor found. */
    Audit.Found run(String plan, int seconds) throws Exception {
        Plan faultsToCome = Plan.read(plan, seed, leaseS);
        Files.createDirectories(out);
        try (var there = Files.list(out)) {
            if (there.findAny().isPresent()) {
                throw new IOException(out + " is not empty");
            }
        }
        Path file = out.resolve("observed.jsonl");
        try (Daemons fleet = new Daemons(jar, routers, leaseS, "duties = " + DUTY + "\nturn_wait_s = 2", out);
                Observed observed = new Observed(file)) {
            fleet.startAll();
            try (Actors actors = new Actors(fleet, List.of(DUTY, Actors.BOX + "m1-7", Actors.BOX + "m2-9"), observed, pauseMs)) {
                awaitNext(actors, 0);
                awaitWell(fleet);
                long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
                while (System.nanoTime() < until) {
                    fault(fleet, actors, observed, faultsToCome.next(routers));
                }
                awaitNext(actors, actors.last(DUTY).fence() - 1);
            }
        }
        FaultChart.of(file, out);
        return Audit.of(file);
    }

    private static void awaitNext(Actors actors, long fence) throws InterruptedException {
        DaemonProcess.await("an act by a fence over " + fence, NEXT_MOST_S, () -> actors.last(DUTY) != null && actors.last(DUTY).fence() > fence);
    }

    /**
     * Begins a fault, waits for the next holder where it befell the present one, ends the fault, and waits until all are well
     * again: a fleet of three bears one fault at a time.
     */
    private void fault(Daemons fleet, Actors actors, Observed observed, Plan.Fault fault) throws Exception {
        TimeUnit.MILLISECONDS.sleep(fault.atMs());
        Actors.Last before = actors.last(DUTY);
        int whom = fault.holder() ? Integer.parseInt(before.who().substring(1)) : fault.whom();
        boolean holder = before.who().equals(fleet.get(whom).name());
        long began = observed.fault(fault.kind().name().toLowerCase(Locale.ROOT), fleet.get(whom).name(), true);
        begin(fleet, whom, fault);
        faults.merge(fault.kind(), 1, Integer::sum);
        boolean passes = fault.kind() == Plan.Kind.SLOW || fault.kind() == Plan.Kind.LOSSY; // its holder may well keep the duty
        if (holder && fault.forMs() > leaseS * 2_000 && !passes || holder && fault.kind() == Plan.Kind.KILL || holder && fault.kind() == Plan.Kind.LEAVE
                || holder && fault.kind() == Plan.Kind.HAND_ON) {
            awaitNext(actors, before.fence());
            long ms = TimeUnit.NANOSECONDS.toMillis(actors.last(DUTY).at() - began);
            handOvers.add(new HandOver(seed, fault.kind(), ms));
        } else {
            TimeUnit.MILLISECONDS.sleep(fault.forMs());
        }
        end(fleet, whom, fault);
        observed.fault(fault.kind().name().toLowerCase(Locale.ROOT), fleet.get(whom).name(), false);
        awaitWell(fleet);
    }

    private static void awaitWell(Daemons fleet) throws InterruptedException {
        for (DaemonProcess daemon : fleet.all()) {
            DaemonProcess.await(daemon.name() + " is a member that knows who leads", NEXT_MOST_S, daemon::isWell);
        }
        fleet.awaitAlike(NEXT_MOST_S);
    }

    private static void begin(Daemons fleet, int whom, Plan.Fault fault) throws Exception {
        switch (fault.kind()) {
            case KILL -> fleet.get(whom).kill();
            case STALL -> fleet.get(whom).stall();
            case LEAVE -> fleet.get(whom).terminate();
            case HAND_ON -> fleet.get(whom).call("POST", "/admin/fleet/hand-on/" + DUTY);
            case CUT, SLOW, LOSSY -> fleet.links().around(whom, Links.State.valueOf(fault.kind().name()));
            case ONE_WAY -> IntStream.range(0, fleet.all().size()).filter(i -> i != whom).forEach(i -> fleet.links()
                    .set(fault.outwards() ? whom : i, fault.outwards() ? i : whom, Links.State.SILENT));
        }
    }

    private static void end(Daemons fleet, int whom, Plan.Fault fault) throws Exception {
        switch (fault.kind()) {
            case KILL -> fleet.get(whom).start();
            case LEAVE -> {
                fleet.get(whom).process().waitFor();
                fleet.get(whom).start();
            }
            case STALL -> fleet.get(whom).goOn();
            case HAND_ON -> { }
            default -> fleet.links().around(whom, Links.State.OPEN);
        }
    }
}
