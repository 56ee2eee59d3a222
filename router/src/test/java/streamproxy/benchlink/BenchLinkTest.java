package streamproxy.benchlink;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;
import streamproxy.decision.ReportLayout;

class BenchLinkTest {
    private static final String SETTINGS = """
            Az=0
            Balancers=1
            Classes.count=1
            Classes.0.GiveUp=20000000000
            Classes.0.Idempotency=safe
            Classes.0.Promise=4000000000
            Classes.0.Stream=true
            Discovery=pushed
            Domain.ReportX1=thousands_of_prompt_tokens_waiting_to_be_read
            Guarantees.Fall=1000000000
            Guarantees.RampTime=22000000000
            Guarantees.StartCapacity=0.14
            Guarantees.StopSendingWithin=250000000
            Guarantees.TipMultiple=3.0
            Limits.MaxAttempts=5
            Limits.Probes=true
            Me=0
            Report.Fields=x1,rif
            Report.Source=piggyback
            Something.New=1,2,3
            """;

    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private record Result(int exit, byte[] out) { }

    private Result run(byte[] input) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int exit = BenchLink.run(new ByteArrayInputStream(input), out, new PrintStream(err, true));
        return new Result(exit, out.toByteArray());
    }

    private static byte[] hex(String text) { return HexFormat.of().parseHex(text.replaceAll("\\s", "")); }

    /** Builds a frame of 64-byte records and a tail. */
    private static final class Frame {
        final List<byte[]> records = new ArrayList<>();
        final ByteArrayOutputStream tail = new ByteArrayOutputStream();

        Frame add(String recordHex) {
            records.add(java.util.Arrays.copyOf(hex(recordHex), 64));
            return this;
        }

        /** The record's last 8 bytes point at text put into the tail. */
        Frame addWithTail(String startHex, byte[] text, int count) {
            byte[] start = hex(startHex);
            ByteBuffer r = ByteBuffer.allocate(64).order(ByteOrder.LITTLE_ENDIAN);
            r.put(start).putInt(tail.size()).putInt(count);
            tail.writeBytes(text);
            records.add(r.array());
            return this;
        }

        Frame open(int who, String settings) {
            byte[] text = settings.getBytes(StandardCharsets.UTF_8);
            return addWithTail("01" + le(who) + "0700000000000000", text, text.length);
        }

        byte[] bytes(int number) {
            int length = 8 + 64 * records.size() + tail.size();
            ByteBuffer b = ByteBuffer.allocate(12 + length).order(ByteOrder.LITTLE_ENDIAN);
            b.putInt(number).putInt(records.size()).putInt(length).putLong(8_412_577_680L);
            records.forEach(b::put);
            b.put(tail.toByteArray());
            return b.array();
        }
    }

    private static String le(int v) { return String.format("%08x", Integer.reverseBytes(v)); }

    private static byte[] join(byte[]... parts) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (byte[] p : parts) {
            all.writeBytes(p);
        }
        return all.toByteArray();
    }

    /** Records of one code in a reply. */
    private static List<byte[]> records(byte[] reply, int code) {
        List<byte[]> found = new ArrayList<>();
        ByteBuffer b = ByteBuffer.wrap(reply).order(ByteOrder.LITTLE_ENDIAN);
        int at = 0;
        while (at < reply.length) {
            int length = b.getInt(at + 4);
            int count = b.getInt(at + 8);
            for (int i = 0; i < count; i++) {
                int r = at + 12 + 32 * i;
                if (reply[r] == code) {
                    found.add(java.util.Arrays.copyOfRange(reply, r, r + 32));
                }
            }
            at += 8 + length;
        }
        return found;
    }

    private static final String ROW_A = "0000803f 00 0000 0a124a07 8b13 0000000000000000 00 01";
    private static final String ROW_B = "0000c03f 00 0000 0a9011f2 b413 009d966b01000000 00 01";
    private static final String ARRIVAL = "03 03000000 c4913a5d79490100 00 00000000 640ad2557c3bf091 001c4e0e00000000"
            + "001bb70000000000 107cf3d901648e2b 0000e144 00009644 00008043 0100";

    @Test void emptyBatchIsAnsweredByteForByte() throws IOException {
        Result r = run(hex("01000000 00000000 08000000 90bf68f501000000"));
        assertEquals(0, r.exit);
        assertArrayEquals(hex("01000000 04000000 00000000"), r.out);
    }

    @Test void endOfInputBetweenFramesIsNoFault() throws IOException {
        assertEquals(0, run(new byte[0]).exit);
        assertEquals(0, err.size());
    }

    @Test void arrivalAtAListedEngineBecomesATransmit() throws IOException {
        Frame f = new Frame().open(3, SETTINGS);
        f.addWithTail("0b 00000000", hex(ROW_A), 1);
        f.add("02 03000000 02 2900000000000000 00000000").add(ARRIVAL);
        // with piggybacked reports and probing allowed it is looked at first; the probe's answer releases it
        byte[] second = new Frame().add("08 03000000 0a124a07 8b13 0a 40420f0000000000 02 00000000 00000000").bytes(13);
        Result r = run(join(f.bytes(12), second));
        assertEquals(0, r.exit, err.toString());
        assertEquals(List.of(), records(r.out, 13));
        byte[] send = records(r.out, 3).get(0);
        assertArrayEquals(hex("03 03000000 c4913a5d79490100 0a124a07 8b13"), java.util.Arrays.copyOf(send, 19));
    }

    /** One that the settings do not name, and one for an instance that is not there. */
    @Test void arrivalsOfUnknownClassesArePassedOver() throws IOException {
        Frame f = new Frame().open(3, SETTINGS);
        f.addWithTail("0b 00000000", hex(ROW_A), 1).add("02 03000000 02 2900000000000000 00000000");
        f.add(ARRIVAL.replaceFirst("79490100 00", "79490100 09")).add(ARRIVAL.replaceFirst("03 03000000", "03 05000000"));
        Result r = run(f.bytes(1));
        assertEquals(0, r.exit, err.toString());
        assertEquals(List.of(), records(r.out, 12));
        assertEquals(List.of(), records(r.out, 13));
    }

    @Test void slotsAreLookedUpInEventOrder() throws IOException {
        Frame f = new Frame().open(3, SETTINGS).open(4, SETTINGS);
        f.addWithTail("0b 00000000", hex(ROW_A), 1).add("02 03000000 02 2900000000000000 00000000");
        f.addWithTail("0b 00000000", hex(ROW_B), 1).add("02 04000000 02 2900000000000000 00000000");
        f.add(ARRIVAL).add(ARRIVAL.replaceFirst("03 03000000", "03 04000000"));
        Result r = run(f.bytes(1));
        List<byte[]> probes = records(r.out, 12);
        assertArrayEquals(hex("0c 03000000 0a124a07 8b13"), java.util.Arrays.copyOf(probes.get(0), 11));
        // B started lately in this clock: cold, so instance 4 holds the request instead of probing for it
        assertTrue(probes.stream().noneMatch(p -> p[1] == 4 && p[5] != 0x0a));
    }

    @Test void actionsOfEveryKindHaveTheWiresBytes() throws IOException {
        ReplyBuffer b = new ReplyBuffer();
        b.start();
        b.actFor(3);
        b.send(0x0149795d3a91c4L, 0x138b_074a120aL, 80_000_000L);
        b.timer(500_000_000L, 77);
        b.actFor(5);
        b.log("two servers known");
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        b.flush(12, out);
        assertArrayEquals(hex("0c000000 75000000 03000000"
                + "03 03000000 c4913a5d79490100 0a124a07 8b13 00b4c40400000000" + "00".repeat(5)
                + "04 03000000 0065cd1d00000000 4d000000" + "00".repeat(15)
                + "07 05000000 00000000 11000000" + "00".repeat(19)
                + "74776f2073657276657273206b6e6f776e"), out.toByteArray());
    }

    @Test void malformedFramesAreNamedAndEndTheRun() throws IOException {
        assertEquals(1, run(hex("0100")).exit);
        assertTrue(err.toString().contains("header"));
        byte[] whole = new Frame().add("06 03000000 c4913a5d79490100").bytes(7);
        assertEquals(1, run(java.util.Arrays.copyOf(whole, whole.length - 3)).exit);
        assertTrue(err.toString().contains("batch 7"));
        assertEquals(1, run(new Frame().add("63 03000000").bytes(8)).exit);
        assertTrue(err.toString().contains("batch 8, record 0: unknown event code 99"), err.toString());
        Frame outside = new Frame();
        outside.records.add(java.util.Arrays.copyOf(hex("01 03000000 0700000000000000 00000000 ff000000"), 64));
        assertEquals(1, run(outside.bytes(9)).exit);
        assertTrue(err.toString().contains("batch 9, record 0: offset 0 with length 255"), err.toString());
    }

    @Test void aMissingRuleSettingIsACrashThatNamesIt() throws IOException {
        Result r = run(new Frame().open(3, SETTINGS.replace("Guarantees.TipMultiple=3.0\n", "")).bytes(1));
        assertEquals(0, r.exit);
        assertEquals(1, records(r.out, 13).size());
        assertTrue(new String(r.out, StandardCharsets.UTF_8).contains("Guarantees.TipMultiple"));
    }

    @Test void aRestartInOneBatchForgetsEverything() throws IOException {
        Frame f = new Frame().open(3, SETTINGS).addWithTail("0b 00000000", hex(ROW_A), 1);
        f.add("02 03000000 02 2900000000000000 00000000").add("0a 03000000").open(3, SETTINGS).add(ARRIVAL);
        Result r = run(f.bytes(1));
        assertEquals(0, records(r.out, 3).size() + records(r.out, 12).size(), "the new life knows no engine");
    }

    @Test void reportValuesAreScaledByTheirWords() {
        ReportLayout layout = new ReportLayout(new String[] {"x0", "x1", "q"}, "share_of_memory_held_by_running_requests",
                "thousands_of_prompt_tokens_waiting_to_be_read");
        ByteBuffer b = ByteBuffer.allocate(17).order(ByteOrder.LITTLE_ENDIAN);
        b.put((byte) 3).putFloat(0.5f).putFloat(2.5f).putFloat(4f);
        assertEquals(2500, layout.read(b, 0).unreadTokens());
        assertEquals(0.5, layout.read(b, 0).memoryShare());
        assertEquals(4, layout.read(b, 0).waiting());
        assertTrue(Double.isNaN(layout.read(b, 0).inHand()));
        assertEquals(null, layout.read(ByteBuffer.allocate(17), 0));
    }
}
