package streamproxy.lab.fleet;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.stream.Stream;
import org.junit.Test;
import streamproxy.protocol.Json;

/** Three routers as processes, and what becomes of one whose disk fails. */
public class DiskIntegrationTest extends FleetStory {
    private Path file(String router, String start) throws IOException {
        try (Stream<Path> all = Files.walk(folder.getRoot().toPath().resolve(router))) {
            return all.filter(f -> f.getFileName().toString().startsWith(start) && !f.toString().endsWith(".md5")).sorted().reduce((a, b) -> b).orElseThrow();
        }
    }

    private static void flip(Path file, long at) throws IOException {
        try (RandomAccessFile bytes = new RandomAccessFile(file.toFile(), "rw")) {
            bytes.seek(at);
            int was = bytes.read();
            bytes.seek(at);
            bytes.write(was ^ 0x10);
        }
    }

    @Test public void aDamagedSnapshotIsPutAsideWhereTheLogGoesBackFarEnough() throws Exception {
        DaemonProcess one = fleet.get(0);
        one.terminate();
        assertEquals(0, one.process().waitFor());
        Path snapshot = file("r0", "snapshot");
        flip(snapshot, 40);
        one.start();
        DaemonProcess.await("it is a member again", 60, one::isWell);
        fleet.awaitAlike(60);
        assertTrue(one.log(), one.log().contains(snapshot.getFileName() + ": offset 8: the checksum"));
    }

    @Test public void aRouterWhoseLogIsDamagedServesAloneSaysWhereAndJoinsAnew() throws Exception {
        DaemonProcess one = fleet.get(0);
        one.kill();
        Path log = file("r0", "log_");
        flip(log, 300);
        one.start();
        DaemonProcess.await("it serves", 60, () -> one.get("/admin/health") != null && one.get("/admin/health").status() == 200);
        String said = String.valueOf(one.status().get("refused"));
        assertTrue(said, said.matches(".*log_inprogress_\\d+: offset \\d+: an entry of the log does not fit its checksum"));
        assertEquals(Boolean.FALSE, one.status().get("divides"));
        assertEquals(409, one.get("/admin/fleet/duty/" + DUTY).status());
        awaitAct("the others go on", actors.last(DUTY).fence() - 1);
    }

    @Test public void anEntryThatAPowerLossToreIsCutOff() throws Exception {
        DaemonProcess one = fleet.get(0);
        one.kill();
        Path log = file("r0", "log_inprogress");
        tear(log);
        one.start();
        DaemonProcess.await("it is a member again", 60, one::isWell);
        fleet.awaitAlike(60);
        assertTrue(one.log(), one.log().contains("cut off an entry that was never wholly written"));
    }

    @Test public void aRouterWhoseDiskIsFullSaysThatItIsBehindAndTheOthersGoOn() throws Exception {
        DaemonProcess one = fleet.get(0);
        one.kill();
        DaemonProcess full = fleet.limited(JAR, one, 200); // less than a segment of the log
        full.start();
        DaemonProcess.await("it is seen to be behind", 60, () -> full.status().get("behind_ms") instanceof Json.Number ms && Long.parseLong(ms.text()) > 2_500);
        assertEquals(200, full.get("/admin/health").status());
        assertEquals(Boolean.FALSE, full.status().get("divides"));
        long acts = actors.last(DUTY).at();
        DaemonProcess.await("the others act", 60, () -> actors.last(DUTY).at() > acts);
        full.kill();
        assertTrue(full.log(), full.log().contains("is its disk full?"));
        one.start();
        DaemonProcess.await("it is a member again", 60, one::isWell);
        fleet.awaitAlike(60);
    }

    /** Cuts the file off within its last record. */
    private static void tear(Path file) throws IOException {
        byte[] bytes = Files.readAllBytes(file);
        int end = bytes.length;
        while (bytes[end - 1] == 0) {
            end--;
        }
        Files.write(file, Arrays.copyOf(bytes, end - 6));
    }
}
