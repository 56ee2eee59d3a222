package streamproxy.lab.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import streamproxy.lab.faults.FaultInjector;
import streamproxy.lab.fleet.DaemonProcess;

/** Plays a plan of faults on one router, and writes down what it did and when. */
final class FaultPlayer implements Runnable {
    /** Something to do at a time from the beginning. */
    private record Step(long atMs, Runnable what) { }

    private final FaultPlan plan;
    private final FaultInjector injector;
    private final DaemonProcess router;
    private final Path told;
    private final List<String> lines = new ArrayList<>();
    private long beganAt;

    /** @param injector null where the plan has no calls that fail */
    FaultPlayer(FaultPlan plan, FaultInjector injector, DaemonProcess router, Path told) {
        this.plan = plan;
        this.injector = injector;
        this.router = router;
        this.told = told;
    }

    @Override public void run() {
        PriorityQueue<Step> steps = new PriorityQueue<>((one, other) -> Long.compare(one.atMs, other.atMs));
        for (FaultPlan.Event event : plan.events()) {
            steps.add(new Step(event.atMs(), () -> begin(event)));
            if (event instanceof FaultPlan.CallFault fault) {
                steps.add(new Step(event.atMs() + event.forMs(), () -> end(fault)));
            }
        }
        beganAt = System.nanoTime();
        try {
            for (Step step = steps.poll(); step != null; step = steps.poll()) {
                TimeUnit.NANOSECONDS.sleep(beganAt + TimeUnit.MILLISECONDS.toNanos(step.atMs) - System.nanoTime());
                step.what.run();
            }
        } catch (InterruptedException e) {
            if (injector != null) {
                injector.endAll();
            }
        } finally {
            write();
        }
    }

    private void begin(FaultPlan.Event event) {
        if (event instanceof FaultPlan.CallFault fault) {
            injector.begin(fault.call(), fault.fault());
        } else if (router.isAlive()) {
            stall(event.forMs());
        }
        note(event.toString());
    }

    private void end(FaultPlan.CallFault fault) {
        injector.end(fault.call());
        note("end of " + fault.call() + ", met by " + injector.hits(fault.call()) + " calls so far");
    }

    /** Stops the process and lets it go on, by one shell, so that the stop is not longer than it is to be. */
    private void stall(long ms) {
        String pid = String.valueOf(router.process().pid());
        try {
            new ProcessBuilder("sh", "-c", "kill -STOP " + pid + " && sleep " + ms / 1_000.0 + "; kill -CONT " + pid).start();
        } catch (IOException e) {
            note("no stall: " + e.getMessage());
        }
    }

    private void note(String what) { lines.add(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - beganAt) + " ms: " + what); }

    private void write() {
        try {
            Files.write(told, lines);
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }
}
