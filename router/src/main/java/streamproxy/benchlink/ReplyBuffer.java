package streamproxy.benchlink;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import streamproxy.decision.Routing;

/** Collects the action records of one reply; the instance that acts is set before each event. */
final class ReplyBuffer implements Routing.Actions {
    static final int RECORD = 32;
    private static final int HEADER = 12;

    private byte[] bytes = new byte[1 << 16];
    private ByteBuffer out = wrap(bytes);
    private int end = HEADER;
    private byte[] tail = new byte[1 << 12];
    private int tailEnd;
    private int instance;

    void start() {
        end = HEADER;
        tailEnd = 0;
    }

    void actFor(int id) { instance = id; }

    /** Takes back the actions written since the mark; nothing of a crashed instance's event goes out. */
    int mark() { return end; }

    void rewind(int mark) {
        Arrays.fill(bytes, mark, end, (byte) 0);
        end = mark;
    }

    void flush(int batch, OutputStream to) throws IOException {
        int length = 4 + (end - HEADER) + tailEnd;
        out.putInt(0, batch).putInt(4, length).putInt(8, (end - HEADER) / RECORD);
        to.write(bytes, 0, end);
        to.write(tail, 0, tailEnd);
        to.flush();
    }

    private int record(int code) {
        if (end + RECORD > bytes.length) {
            bytes = Arrays.copyOf(bytes, bytes.length * 2);
            out = wrap(bytes);
        }
        int at = end;
        end += RECORD;
        Arrays.fill(bytes, at, end, (byte) 0);
        out.put(at, (byte) code).putInt(at + 1, instance);
        return at;
    }

    private void text(int code, String words) {
        byte[] utf8 = words.getBytes(StandardCharsets.UTF_8);
        while (tailEnd + utf8.length > tail.length) {
            tail = Arrays.copyOf(tail, tail.length * 2);
        }
        System.arraycopy(utf8, 0, tail, tailEnd, utf8.length);
        int at = record(code);
        out.putInt(at + 5, tailEnd).putInt(at + 9, utf8.length);
        tailEnd += utf8.length;
    }

    private void engine(int at, long replica) {
        out.putInt(at, (int) replica).putShort(at + 4, (short) (replica >>> 32));
    }

    @Override public void refuse(long request, long retryAfterNs) {
        int at = record(1);
        out.putLong(at + 5, request).putLong(at + 13, retryAfterNs);
    }

    @Override public void cancel(long request, int attempt) {
        int at = record(2);
        out.putLong(at + 5, request).putShort(at + 13, (short) attempt);
    }

    @Override public void send(long request, long replica, long timeoutNs) {
        int at = record(3);
        out.putLong(at + 5, request).putLong(at + 19, timeoutNs);
        engine(at + 13, replica);
    }

    @Override public void timer(long afterNs, int token) {
        int at = record(4);
        out.putLong(at + 5, afterNs).putInt(at + 13, token);
    }

    @Override public void fetchList() { record(5); }

    @Override public void fail(long request) {
        int at = record(6);
        out.putLong(at + 5, request);
    }

    @Override public void log(String line) { text(7, line); }

    @Override public void watchList() {
        int at = record(9);
        out.put(at + 5, (byte) 1);
    }

    @Override public void probe(long replica) { engine(record(12) + 5, replica); }

    void crash(String why) { text(13, why); }

    private static ByteBuffer wrap(byte[] b) { return ByteBuffer.wrap(b).order(ByteOrder.LITTLE_ENDIAN); }
}
