package streamproxy.lab.fleet;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.Test;
import streamproxy.protocol.Json;

/** Three routers as processes that all lose their power at one instant, and the list's service with them. */
public class PowerIntegrationTest extends FleetStory {
    private static final int DRAINS = 1;
    private static final int PROMPTS = 20;

    private List<DaemonProcess> members() { return fleet.all().subList(0, 3); }

    private static boolean kept(DaemonProcess daemon, long version) {
        return list(daemon, "kept") instanceof Json.Number n && Long.parseLong(n.text()) >= version;
    }

    /** A box drains, another change follows, both are on all disks, and the power goes; the list's service does not come back. */
    private void loseAll() throws Exception {
        fleet.boxes().tell(DRAINS, "draining");
        DaemonProcess.await("the drain is kept by all", 60, () -> members().stream().allMatch(d -> kept(d, 2)));
        fleet.boxes().tell(0, "ready");
        DaemonProcess.await("a later change, too", 60, () -> members().stream().allMatch(d -> kept(d, 3)));
        members().forEach(DaemonProcess::kill);
        fleet.boxes().away(true);
    }

    private Path file(DaemonProcess of) { return folder.getRoot().toPath().resolve(of.name()).resolve("list.kept"); }

    private void comeBack() throws Exception {
        for (DaemonProcess one : members()) {
            one.start();
        }
        for (DaemonProcess one : members()) {
            DaemonProcess.await(one.name() + " serves", 60, () -> one.get("/admin/health") != null && one.get("/admin/health").status() == 200);
        }
    }

    private void serveWithout() throws IOException {
        int before = fleet.boxes().attempts(DRAINS).size();
        for (DaemonProcess one : members()) {
            for (int i = 0; i < PROMPTS; i++) {
                assertEquals(200, one.prompt());
            }
        }
        assertEquals("nothing is sent to a box that drained before", before, fleet.boxes().attempts(DRAINS).size());
    }

    @Test public void aDrainIsHeededAfterTheLossBeforeTheListIsBack() throws Exception {
        loseAll();
        comeBack();
        serveWithout();
        fleet.boxes().tell(DRAINS, "ready");
        fleet.boxes().away(false);
        int before = fleet.boxes().attempts(DRAINS).size();
        DaemonProcess.await("the list's word is heeded again", 60, () -> {
            try {
                return members().get(0).prompt() == 200 && fleet.boxes().attempts(DRAINS).size() > before;
            } catch (IOException e) {
                return false;
            }
        });
    }

    @Test public void aTornRecordIsCutOffAndADamagedOneNamedAndTheDrainHeededAllTheSame() throws Exception {
        loseAll();
        DaemonProcess torn = members().get(0);
        DaemonProcess damaged = members().get(1);
        try (RandomAccessFile file = new RandomAccessFile(file(torn).toFile(), "rw")) {
            file.setLength(file.length() - 3);
        }
        try (RandomAccessFile file = new RandomAccessFile(file(damaged).toFile(), "rw")) {
            file.seek(40); // of the whole list, before the drain
            int was = file.read();
            file.seek(40);
            file.write(was ^ 1);
        }
        Files.delete(file(members().get(2))); // the others are asked
        comeBack();
        DaemonProcess.await("it has the list again, from another", 60, () -> kept(members().get(2), 2));
        serveWithout();
        assertTrue(torn.log(), torn.log().contains("list.kept: offset ") && torn.log().contains("cut off, as it was never wholly written"));
        assertTrue(damaged.log(), damaged.log().contains("list.kept: offset 8: a record does not fit its checksum; put aside"));
    }
}
