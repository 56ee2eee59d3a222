package streamproxy.lab.fleet;

import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Test;
import streamproxy.protocol.Json;

/** Three routers as processes, twelve of whose boxes start at once. */
public class StewardIntegrationTest extends FleetStory {
    private static final int COLD = 12;
    private static final int WARM = 28;
    private static final long WINDOW_NS = 2_000_000_000L;        // the settings' Fall
    private static final double RAMP_NS = 24e9;                  // RampTime
    private static final double START_CAPACITY = 0.12;
    private static final double TIP_MULTIPLE = 2.5;

    private final List<Thread> clients = new ArrayList<>();
    private volatile boolean over;

    @Override int boxes() { return COLD + WARM; }

    @After public void noClients() throws InterruptedException {
        over = true;
        for (Thread client : clients) {
            client.join();
        }
    }

    /** A client of that router that asks again and again; what a killed one breaks off is its client's loss. */
    private void client(DaemonProcess router) {
        Thread client = new Thread(() -> {
            while (!over) {
                try {
                    router.prompt();
                    TimeUnit.MILLISECONDS.sleep(5);
                } catch (IOException broken) {
                    Thread.onSpinWait();
                } catch (InterruptedException e) {
                    return;
                }
            }
        });
        clients.add(client);
        client.start();
    }

    private static long shared(DaemonProcess daemon) {
        return daemon.status().get("shares") instanceof Map<?, ?> shares && shares.get("boxes") instanceof Json.Number n
                ? Long.parseLong(n.text()) : 0;
    }

    private int least() {
        int least = Integer.MAX_VALUE;
        for (int box = 0; box < COLD; box++) {
            least = Math.min(least, fleet.boxes().attempts(box).size());
        }
        return least;
    }

    @Test public void noneOfTwelveColdBoxesIsTippedOverThoughAStewardOfTheirsIsKilled() throws Exception {
        List<DaemonProcess> members = fleet.all().subList(0, 3);
        DaemonProcess.await("all have their part", 60, () -> members.stream().allMatch(d -> Boolean.TRUE.equals(d.status().get("divides"))));
        members.forEach(this::client);
        DaemonProcess.await("prompts are served", 60, () -> fleet.boxes().attempts(COLD).size() > 50);
        int before = least();
        long born = System.nanoTime();
        fleet.boxes().restart(COLD);
        DaemonProcess.await("all know that they are cold", 60, () -> members.stream().allMatch(d -> list(d, "version") instanceof Json.Number n
                && n.text().equals("2")));
        long known = System.nanoTime();
        DaemonProcess.await("all have shares of cold boxes", 60, () -> members.stream().allMatch(d -> shared(d) > 0));
        DaemonProcess.await("each is sent some", 60, () -> least() >= before + 3);
        DaemonProcess steward = members.stream().filter(d -> d.get("/admin/fleet/owner/s-0").status() == 200).findFirst().orElseThrow();
        steward.kill();
        DaemonProcess next = members.stream().filter(d -> d != steward).findFirst().orElseThrow();
        DaemonProcess.await("another divides what it divided", 60, () -> members.stream().filter(d -> d != steward)
                .allMatch(d -> shared(d) == COLD));
        int then = least();
        DaemonProcess.await("each is sent some more", 60, () -> least() >= then + 3);
        over = true;
        assertTrue(next.isAlive());
        for (int box = 0; box < COLD; box++) {
            judge(box, born, known);
        }
    }

    /** The rule's words: within its window no more than N + 3 x root of N + 3, N being what the settings allow then. */
    private void judge(int box, long born, long known) {
        List<Long> times = fleet.boxes().attempts(box).stream().filter(t -> t > known + TimeUnit.MILLISECONDS.toNanos(500)).toList();
        for (long at : times) {
            long all = 0;
            for (int any = 0; any < COLD + WARM; any++) {
                all += within(fleet.boxes().attempts(any), at);
            }
            double warm = all / ((COLD + WARM) / 2.0); // half of them would just bear it all
            double can = START_CAPACITY + (1 - START_CAPACITY) * (at + WINDOW_NS - born) / RAMP_NS;
            double allowed = TIP_MULTIPLE * Math.min(1, can) * warm;
            long got = within(times, at);
            assertTrue("box " + box + " got " + got + " within its window, " + (at - born) / 1_000_000 + " ms after its start, where "
                    + allowed + " were allowed", got <= allowed + 3 * Math.sqrt(allowed) + 3);
        }
    }

    private static long within(List<Long> times, long from) { return times.stream().filter(t -> t >= from && t < from + WINDOW_NS).count(); }
}
