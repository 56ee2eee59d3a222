package streamproxy.syslog;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SpoolTest {
    private static final long MB = 1 << 20;

    @TempDir private Path folder;

    private static byte[] bytes(String text) { return text.getBytes(StandardCharsets.UTF_8); }

    private static List<String> rest(Spool spool) throws IOException {
        List<String> texts = new ArrayList<>();
        for (Spool.Entry e = spool.from(spool.place()); e != null; e = spool.from(e.after())) {
            texts.add(e.sequence() + " " + new String(e.message(), StandardCharsets.UTF_8));
        }
        return texts;
    }

    private static void add(Spool spool, String text) throws IOException { spool.add(spool.nextSequence(), bytes(text)); }

    @Test void whatHasNotArrivedIsThereAfterARestartAndNumbersGoOn() throws IOException {
        try (Spool spool = new Spool(folder, MB)) {
            add(spool, "one");
            add(spool, "two");
            add(spool, "three");
            spool.arrived(spool.from(spool.place()).after());
        }
        try (Spool spool = new Spool(folder, MB)) {
            assertEquals(List.of("2 two", "3 three"), rest(spool));
            add(spool, "four");
            assertEquals(List.of("2 two", "3 three", "4 four"), rest(spool));
            assertEquals(3, spool.waitingFrom(spool.place()));
            assertEquals(0, spool.torn());
        }
    }

    /** A kill may leave any beginning of a record: it is left out, what stands before it is not. */
    @Test void aRecordTornAtAnyByteIsLeftOut() throws IOException {
        Path whole = folder.resolve("whole");
        long before;
        try (Spool spool = new Spool(whole, MB)) {
            add(spool, "one");
            add(spool, "two");
            before = Files.size(whole.resolve("spool-0000000000000001.log"));
            add(spool, "three");
        }
        byte[] all = Files.readAllBytes(whole.resolve("spool-0000000000000001.log"));
        for (int length = (int) before; length < all.length; length++) {
            Path torn = Files.createDirectory(folder.resolve("torn" + length));
            Files.write(torn.resolve("spool-0000000000000001.log"), java.util.Arrays.copyOf(all, length));
            try (Spool spool = new Spool(torn, MB)) {
                assertEquals(List.of("1 one", "2 two"), rest(spool), "at byte " + length);
                assertEquals(length > before ? 1 : 0, spool.torn());
                add(spool, "again");
                assertEquals(List.of("1 one", "2 two", "3 again"), rest(spool));
            }
        }
        for (int at = (int) before; at < all.length; at++) {
            Path spoilt = Files.createDirectory(folder.resolve("spoilt" + at));
            byte[] changed = all.clone();
            changed[at] ^= 0x10;
            Files.write(spoilt.resolve("spool-0000000000000001.log"), changed);
            try (Spool spool = new Spool(spoilt, MB)) {
                assertEquals(List.of("1 one", "2 two"), rest(spool), "spoilt at byte " + at);
            }
        }
    }

    @Test void beyondItsSizeTheOldestAreGivenUpAndCounted() throws IOException {
        String kilo = "x".repeat(1_000);
        try (Spool spool = new Spool(folder, 512 * 1024)) {
            for (int i = 0; i < 2_000; i++) {
                add(spool, kilo + i);
            }
            List<String> left = rest(spool);
            assertTrue(left.get(left.size() - 1).endsWith("x1999"), "the newest is there");
            assertEquals(2_000, left.size() + spool.takeGivenUp());
            long bytes = 0;
            try (var files = Files.list(folder)) {
                for (Path file : files.toList()) {
                    bytes += Files.size(file);
                }
            }
            assertTrue(bytes <= 512 * 1024, "on disk " + bytes);
            spool.arrived(spool.from(new Spool.Place(Long.MAX_VALUE, 0)).after());
        }
    }

    @Test void aSegmentGivenUpWhileItIsReadCostsOnlyItself() throws IOException {
        String kilo = "x".repeat(1_000);
        try (Spool spool = new Spool(folder, 256 * 1024)) {
            add(spool, kilo);
            Spool.Entry first = spool.from(spool.place());
            for (int i = 0; i < 1_000; i++) {
                add(spool, kilo);
            }
            Spool.Entry next = spool.from(first.after());
            assertTrue(next.sequence() > first.sequence() + 1, "the reader goes on with what there is");
            spool.arrived(next.after());
            assertEquals(next.sequence() + 1, spool.from(spool.place()).sequence());
        }
    }
}
