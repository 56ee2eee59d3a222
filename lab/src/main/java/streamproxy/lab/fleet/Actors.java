package streamproxy.lab.fleet;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import streamproxy.protocol.Json;

/**
 * Programs of the installation that act by a duty: one beside each router, which asks its router whether it may, and then
 * acts on one thing that compares fences. What is done there is observed.
 */
final class Actors implements AutoCloseable {
    /** A duty that begins like this is the first ownership of the box that it names. */
    static final String BOX = "box ";
    static final long PAUSE_MS = 4;

    /** The last act that was done. */
    record Last(String who, long fence, long at) { }

    private final Observed observed;
    private final Map<String, Last> lasts = new ConcurrentHashMap<>();
    private final List<Thread> threads = new ArrayList<>();
    private final long pauseMs;
    private volatile boolean over;

    Actors(Daemons daemons, List<String> duties, Observed observed) { this(daemons, duties, observed, PAUSE_MS); }

    /** @param pauseMs between one act of an actor and its next question */
    Actors(Daemons daemons, List<String> duties, Observed observed, long pauseMs) {
        this.observed = observed;
        this.pauseMs = pauseMs;
        for (DaemonProcess daemon : daemons.all()) {
            for (String duty : duties) {
                Thread thread = new Thread(() -> act(daemon, duty), "actor of " + daemon.name());
                thread.setDaemon(true);
                threads.add(thread);
                thread.start();
            }
        }
    }

    private void act(DaemonProcess daemon, String duty) {
        try {
            while (!over) {
                long asked = observed.now();
                DaemonProcess.Reply reply = daemon.get(
                        duty.startsWith(BOX) ? "/admin/fleet/owner/" + duty.substring(BOX.length()) : "/admin/fleet/duty/" + duty);
                if (reply != null && reply.status() == 200 && reply.json().get("fence") instanceof Json.Number fence) {
                    act(duty, daemon.name(), Long.parseLong(fence.text()), asked);
                }
                TimeUnit.MILLISECONDS.sleep(pauseMs);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** What is acted on: it refuses a fence that is lower than one it has seen. */
    synchronized boolean act(String duty, String who, long fence, long asked) throws IOException {
        Last before = lasts.get(duty);
        boolean done = before == null || fence >= before.fence;
        long at = observed.act(duty, who, fence, asked, done);
        if (done) {
            lasts.put(duty, new Last(who, fence, at));
        }
        return done;
    }

    /** The last act of that duty; null before the first. */
    Last last(String duty) { return lasts.get(duty); }

    @Override public void close() {
        over = true;
        for (Thread thread : threads) {
            try {
                thread.join(TimeUnit.SECONDS.toMillis(10));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
