package streamproxy.routing;

import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import org.tinylog.Logger;
import streamproxy.timing.StallDetector;
import streamproxy.transport.Threads;

/**
 * Notes which actor has not turned for a second although it had something to do, and where its thread is then, once, as
 * a log line and a record; and that the process itself stood still. It does nothing about either.
 */
public final class Watchdog {
    private static final long MS = 1_000_000L;
    /** How often it looks. An actor that stands still is noted between 1 and 1.5 s after its last turn. */
    private static final long LOOK_MS = 250;
    private static final long LONGEST_MS = 1_000;
    /** So much of a stack is told. */
    private static final int FRAMES = 12;
    private static final String PROCESS = "process";

    private final Map<Watched, StallDetector> watched = new ConcurrentHashMap<>();
    private final Records records;

    public Watchdog(Records records) { this.records = records; }

    public void start() { Threads.startAtStart("watchdog", this::run); }

    void watch(Watched actor) { watched.put(actor, new StallDetector(LONGEST_MS * MS, LOOK_MS * MS)); }

    void ended(Watched actor) { watched.remove(actor); }

    private void run() {
        long last = System.nanoTime();
        while (true) {
            try {
                Thread.sleep(LOOK_MS);
            } catch (InterruptedException e) {
                return;
            }
            long now = System.nanoTime();
            long over = now - last - LOOK_MS * MS;
            last = now;
            if (over >= LONGEST_MS * MS) { // stopped, or not let run: nobody turned meanwhile, and nobody is at fault
                Logger.warn("the process stood still for {} ms", over / MS);
                records.standstill(PROCESS, true, over, "");
            }
            look(now);
        }
    }

    /** One look at all. */
    void look(long now) {
        watched.forEach((actor, turning) -> {
            long before = turning.stoodNs();
            switch (turning.look(now, actor.turns(), actor.isDue(now))) {
                case STANDS -> {
                    String where = where(actor.thread());
                    Logger.warn("{} stands still for {} ms, at {}; {} messages found no room", actor, turning.stoodNs() / MS, where,
                            actor.turnedAway());
                    records.standstill(actor.toString(), true, turning.stoodNs(), where);
                }
                case TURNS_AGAIN -> {
                    Logger.warn("{} turns again after {} ms", actor, before / MS);
                    records.standstill(actor.toString(), false, before, "");
                }
                default -> { }
            }
        });
    }

    private static String where(Thread thread) {
        if (thread == null) {
            return "its start";
        }
        String frames = Arrays.stream(thread.getStackTrace()).limit(FRAMES).map(StackTraceElement::toString)
                .collect(Collectors.joining(" < "));
        return frames.isEmpty() ? "no frame" : frames;
    }
}
