package streamproxy.lab.fleet;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.List;
import org.junit.Test;
import streamproxy.protocol.Json;

/** Three routers as processes that have the box list by one watch, and what becomes of it when the one that holds it fails. */
public class ListIntegrationTest extends FleetStory {
    private static final int LOST = 1; // the box that is told draining

    private List<DaemonProcess> members() { return fleet.all().subList(0, 3); }

    private DaemonProcess watcher() throws InterruptedException {
        DaemonProcess.await("one watch for all", 60, () -> fleet.boxes().watches() == 1
                && members().stream().filter(DaemonProcess::isRunning).map(d -> list(d, "from")).distinct().count() == 1);
        Object from = members().stream().filter(DaemonProcess::isRunning).map(d -> list(d, "from")).findFirst().orElseThrow();
        return members().stream().filter(d -> d.name().equals(from)).findFirst().orElseThrow();
    }

    /** Says that of a box, and waits until those know it. */
    private void tell(String state, long version, List<DaemonProcess> to) throws InterruptedException {
        fleet.boxes().tell(LOST, state);
        DaemonProcess.await("all know of version " + version, 60, () -> to.stream()
                .allMatch(d -> list(d, "version") instanceof Json.Number n && n.text().equals(Long.toString(version))));
    }

    /** Prompts at each, of which none may reach the box that drains. */
    private void serveWithout(List<DaemonProcess> routers) throws Exception {
        int before = fleet.boxes().attempts(LOST).size();
        for (DaemonProcess one : routers) {
            for (int i = 0; i < 20; i++) {
                assertEquals(200, one.prompt());
            }
        }
        assertEquals("nothing new to a box that drains", before, fleet.boxes().attempts(LOST).size());
    }

    @Test public void oneWatchTellsAllAndADrainBindsEachOfThem() throws Exception {
        watcher();
        tell("draining", 2, members());
        serveWithout(members());
        tell("ready", 3, members());
        watcher(); // one for all still, or again
    }

    @Test public void aWatcherThatIsKilledIsFollowedByWatchesOfTheOthersAndThenByOne() throws Exception {
        DaemonProcess watches = watcher();
        watches.kill();
        List<DaemonProcess> left = members().stream().filter(d -> d != watches).toList();
        tell("draining", 2, left);
        serveWithout(left);
        assertTrue(watcher() != watches);
        watches.start();
        DaemonProcess.await("it is back and follows", 60, () -> list(watches, "version") instanceof Json.Number n && n.text().equals("2")
                && !watches.name().equals(list(watches, "from")));
        serveWithout(members());
    }

    @Test public void aWatchThatStandsAndBringsNothingIsNotWaitedFor() throws Exception {
        DaemonProcess watches = watcher();
        fleet.boxes().mute();
        tell("draining", 2, members()); // by watches of the others', which hear
        serveWithout(members());
        DaemonProcess.await("another watches for all", 60, () -> fleet.boxes().watches() >= 1 && !watches.name().equals(list(fleet.get(0), "from")));
    }

    @Test public void aWatcherThatIsStalledOrCutOffFromTheOthersKeepsNobodyFromTheList() throws Exception {
        DaemonProcess stalled = watcher();
        List<DaemonProcess> left = members().stream().filter(d -> d != stalled).toList();
        stalled.stall();
        tell("draining", 2, left);
        serveWithout(left);
        stalled.goOn();
        tell("ready", 3, members());
        DaemonProcess cutOff = watcher();
        fleet.links().around(fleet.all().indexOf(cutOff), Links.State.SILENT);
        tell("draining", 4, members()); // the one that nobody hears has its own
        serveWithout(members());
        fleet.links().around(fleet.all().indexOf(cutOff), Links.State.OPEN);
        watcher();
    }
}
