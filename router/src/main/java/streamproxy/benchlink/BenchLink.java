package streamproxy.benchlink;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import streamproxy.decision.Policy;
import streamproxy.decision.ReportLayout;
import streamproxy.decision.Routing;
import streamproxy.decision.SettingsText;

/** Hosts instances of the module on the simulator's wire. It frames and translates; it decides nothing. */
public final class BenchLink {
    private static final int HEADER = 20;
    private static final int RECORD = 64;
    private static final int ROW = 23;

    /** A frame that breaks the wire's format. */
    private static final class BadFrame extends IOException {
        private static final long serialVersionUID = 1L;

        BadFrame(String what) { super(what); }
    }

    private record Instance(Policy policy, ReportLayout layout, List<Routing.RequestClass> classes) { }

    private final Map<Integer, Instance> instances = new HashMap<>();
    private final List<?>[] slots = new List<?>[16];
    private final ReplyBuffer reply = new ReplyBuffer();
    private ByteBuffer in;
    private int tailAt;
    private int frameEnd;

    private BenchLink() { }

    /** Serves batches until the input ends; returns the exit code. */
    public static int run(InputStream from, OutputStream to, PrintStream err) throws IOException {
        BenchLink link = new BenchLink();
        byte[] header = new byte[HEADER];
        byte[] body = new byte[1 << 16];
        while (true) {
            int got = from.readNBytes(header, 0, HEADER);
            if (got == 0) {
                return 0;
            }
            ByteBuffer head = ByteBuffer.wrap(header).order(ByteOrder.LITTLE_ENDIAN);
            int batch = got >= 4 ? head.getInt(0) : -1;
            int record = -1;
            try {
                if (got < HEADER) {
                    throw new BadFrame("input ends inside the header");
                }
                int count = head.getInt(4);
                int length = head.getInt(8) - 8;
                if (count < 0 || length < 0 || (long) count * RECORD > length) {
                    throw new BadFrame("length does not hold the records");
                }
                if (body.length < length) {
                    body = new byte[Integer.highestOneBit(length) * 2];
                }
                if (from.readNBytes(body, 0, length) < length) {
                    throw new BadFrame("input ends inside the frame");
                }
                link.in = ByteBuffer.wrap(body).order(ByteOrder.LITTLE_ENDIAN);
                link.tailAt = count * RECORD;
                link.frameEnd = length;
                link.reply.start();
                for (record = 0; record < count; record++) {
                    link.event(record * RECORD, head.getLong(12));
                }
                link.reply.flush(batch, to);
            } catch (BadFrame e) {
                err.println("batch " + Integer.toUnsignedString(batch)
                        + (record < 0 ? "" : ", record " + record) + ": " + e.getMessage());
                return 1;
            }
        }
    }

    private void event(int at, long now) throws BadFrame {
        int code = in.get(at) & 0xff;
        int who = in.getInt(at + 1);
        switch (code) {
            case 11 -> slots[slot(who)] = rows(at + 5);
            case 10 -> instances.remove(who);
            case 1 -> {
                String text = text(at + 13);
                act(who, now, () -> {
                    SettingsText settings = new SettingsText(text);
                    Routing.Settings told = settings.settings();
                    Policy policy = new Policy(told, in.getLong(at + 5), now, reply);
                    instances.put(who, new Instance(policy, settings.reportLayout(), told.classes()));
                });
            }
            default -> {
                Routing.Event event = decode(code, at, instances.get(who));
                Instance instance = instances.get(who);
                if (instance != null && event != null) {
                    act(who, now, () -> instance.policy.on(now, event));
                }
            }
        }
    }

    private void act(int who, long now, Runnable step) {
        reply.actFor(who);
        int mark = reply.mark();
        try {
            step.run();
        } catch (SettingsText.Missing e) {
            reply.rewind(mark);
            reply.crash(e.getMessage());
        } catch (RuntimeException e) {
            reply.rewind(mark);
            StackTraceElement[] at = e.getStackTrace();
            reply.crash(e + (at.length > 0 ? " at " + at[0] : ""));
        }
    }

    private Routing.Event decode(int code, int at, Instance to) throws BadFrame {
        switch (code) {
            case 2: {
                int form = in.get(at + 5) & 0xff;
                if (form > 3) {
                    throw new BadFrame("unknown list form " + form);
                }
                if (form == 3) {
                    return new Routing.ListChange(Routing.ListForm.FAILED, List.of());
                }
                List<?> rows = slots[slot(in.getInt(at + 14))];
                if (rows == null) {
                    throw new BadFrame("list slot never defined");
                }
                @SuppressWarnings("unchecked")
                List<Routing.Endpoint> entries = (List<Routing.Endpoint>) rows;
                return new Routing.ListChange(Routing.ListForm.values()[form], entries);
            }
            case 3: {
                int attrs = in.getShort(at + 62);
                int clazz = in.get(at + 13) & 0xff;
                if (to == null || clazz >= to.classes().size()) {
                    return null;
                }
                return new Routing.Arrival(in.getLong(at + 5), to.classes().get(clazz), in.getInt(at + 14),
                        in.getLong(at + 18), in.getLong(at + 42), in.getFloat(at + 50), in.getFloat(at + 54),
                        in.getFloat(at + 58), in.getLong(at + 26), (attrs & 1) != 0 ? in.getLong(at + 34) : -1,
                        (attrs & 2) != 0);
            }
            case 4:
                return new Routing.FirstByte(in.getLong(at + 5), in.getShort(at + 13) & 0xffff, engine(at + 15),
                        in.getLong(at + 21));
            case 5:
                return new Routing.Ended(in.getLong(at + 5), in.getShort(at + 33) & 0xffff, engine(at + 26),
                        outcome(at + 32), in.get(at + 25) != 0, in.getLong(at + 13),
                        Integer.toUnsignedLong(in.getInt(at + 21)), to == null ? null : to.layout.read(in, at + 35));
            case 6:
                return new Routing.Dropped(in.getLong(at + 5));
            case 7:
                return new Routing.TimerDue(in.getInt(at + 5));
            case 8:
                return new Routing.Probed(engine(at + 5), outcome(at + 11), in.getLong(at + 12),
                        to == null ? null : to.layout.read(in, at + 20));
            case 9:
                return null;
            default:
                throw new BadFrame("unknown event code " + code);
        }
    }

    private Routing.Outcome outcome(int at) throws BadFrame {
        int code = in.get(at) & 0xff;
        if (code % 10 != 0 || code < 10 || code > 80) {
            throw new BadFrame("unknown outcome " + code);
        }
        return Routing.Outcome.values()[code / 10 - 1];
    }

    private long engine(int at) {
        return Integer.toUnsignedLong(in.getInt(at)) | (in.getShort(at + 4) & 0xffffL) << 32;
    }

    private static int slot(int number) throws BadFrame {
        if (number < 0 || number > 15) {
            throw new BadFrame("list slot " + Integer.toUnsignedString(number) + " is out of range");
        }
        return number;
    }

    private int span(int at, int unit) throws BadFrame {
        long offset = Integer.toUnsignedLong(in.getInt(at));
        long length = Integer.toUnsignedLong(in.getInt(at + 4)) * unit;
        if (length > 0 && tailAt + offset + length > frameEnd) {
            throw new BadFrame("offset " + offset + " with length " + length + " is outside the tail");
        }
        return tailAt + (int) offset;
    }

    private String text(int at) throws BadFrame {
        return new String(in.array(), span(at, 1), in.getInt(at + 4), StandardCharsets.UTF_8);
    }

    private List<Routing.Endpoint> rows(int at) throws BadFrame {
        int from = span(at, ROW);
        Routing.Endpoint[] rows = new Routing.Endpoint[in.getInt(at + 4)];
        for (int i = 0; i < rows.length; i++, from += ROW) {
            int health = in.get(from + 22) & 0xff;
            if (health > 2) {
                throw new BadFrame("list entry " + i + " has unknown health " + health);
            }
            rows[i] = new Routing.Endpoint(engine(from + 7), in.getFloat(from), in.get(from + 4) & 0xff,
                    in.getShort(from + 5) & 0xffff, in.getLong(from + 13), in.get(from + 21) & 0xff,
                    Routing.Health.values()[health]);
        }
        return List.of(rows);
    }
}
