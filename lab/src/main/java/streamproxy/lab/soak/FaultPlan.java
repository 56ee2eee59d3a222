package streamproxy.lab.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import streamproxy.lab.faults.Errno;
import streamproxy.lab.faults.Fault;
import streamproxy.lab.faults.SystemCall;

/**
 * What fails in one router's process while it lives, in order of time. Drawn from a seed, or read from lines such as
 * {@code at=1200 for=300 call=ACCEPT errno=ENFILE most=0 delay=0 every=1} and {@code at=900 for=80 stall}.
 *
 * @param events what fails, the earliest first
 */
record FaultPlan(List<Event> events) {
    /** One fault, so long after the router was ready, for so long. */
    sealed interface Event permits CallFault, Stall {
        long atMs();

        long forMs();
    }

    /** System calls of a kind fail, come short or late. */
    record CallFault(long atMs, long forMs, SystemCall call, Fault fault) implements Event {
        @Override public String toString() {
            return String.format(Locale.ROOT, "at=%d for=%d call=%s errno=%s most=%d delay=%d every=%d", atMs, forMs, call, fault.errno(), fault.most(),
                    fault.delayMs(), fault.every());
        }
    }

    /** The whole process is stopped. */
    record Stall(long atMs, long forMs) implements Event {
        @Override public String toString() { return String.format(Locale.ROOT, "at=%d for=%d stall", atMs, forMs); }
    }

    /** A line that is no fault. */
    static final class Malformed extends Exception {
        private static final long serialVersionUID = 1L;

        Malformed(String line, String why) { super("not a fault: " + line + ": " + why); }
    }

    /** Nothing fails. */
    static final FaultPlan NONE = new FaultPlan(List.of());

    private static final List<SystemCall> DRAWN = List.of(SystemCall.ACCEPT, SystemCall.SOCKET, SystemCall.CONNECT, SystemCall.WAIT,
            SystemCall.READ, SystemCall.WRITE, SystemCall.LOG);
    private static final long LENGTH_MS = 20_000;
    private static final int GAP_LEAST_MS = 300;
    private static final int GAP_MOST_MS = 3_000;
    private static final int FOR_LEAST_MS = 50;
    private static final int FOR_MOST_MS = 500;
    /** A router may be held up for 0.15 s; what starting the stop takes comes on top. */
    private static final int STALL_MOST_MS = 120;
    private static final int EVERY_MOST = 4;
    private static final int SHORT_MOST_BYTES = 7;
    private static final int LOG_LATE_MS = 300;
    private static final int THREADS_LEAST = 30;
    private static final int THREADS_MOST = 60;
    private static final List<Errno> ACCEPTS = List.of(Errno.ENFILE, Errno.ENOBUFS, Errno.ENOMEM, Errno.ECONNABORTED, Errno.EPROTO, Errno.EMFILE);
    private static final List<Errno> SOCKETS = List.of(Errno.ENFILE, Errno.ENOBUFS, Errno.ENOMEM);
    private static final List<Errno> CONNECTS = List.of(Errno.EADDRNOTAVAIL, Errno.ENETUNREACH, Errno.EHOSTUNREACH, Errno.ETIMEDOUT, Errno.ENOBUFS);
    private static final List<Errno> LOGS = List.of(Errno.EIO, Errno.ENOSPC);

    FaultPlan {
        events = List.copyOf(events);
    }

    boolean callsFail() { return events.stream().anyMatch(CallFault.class::isInstance); }

    /** Whether calls of that kind fail now and then. */
    boolean makesShort(SystemCall call) { return events.stream().anyMatch(event -> event instanceof CallFault fault && fault.call() == call); }

    /** For each kind of call some faults one after another, overlapping those of other kinds, and stalls beside them. */
    static FaultPlan of(long seed) {
        SplittableRandom random = new SplittableRandom(seed ^ 0xFA17L);
        List<Event> events = new ArrayList<>();
        for (SystemCall call : DRAWN) {
            for (long at = gap(random); at < LENGTH_MS; at += gap(random)) {
                long length = between(random, FOR_LEAST_MS, FOR_MOST_MS);
                events.add(new CallFault(at, length, call, draw(random, call)));
                at += length;
            }
        }
        for (long at = gap(random); at < LENGTH_MS; at += gap(random)) {
            long length = between(random, STALL_MOST_MS / 4, STALL_MOST_MS);
            events.add(new Stall(at, length));
            at += length;
        }
        events.sort((one, other) -> Long.compare(one.atMs(), other.atMs()));
        return new FaultPlan(events);
    }

    /** The same, and beside it windows in which no thread can be made, or none beyond so many. */
    static FaultPlan withThreadShortage(long seed) {
        SplittableRandom random = new SplittableRandom(seed ^ 0x7EADL);
        List<Event> events = new ArrayList<>(of(seed).events());
        for (long at = gap(random); at < LENGTH_MS; at += gap(random)) {
            long length = between(random, FOR_LEAST_MS, FOR_MOST_MS);
            Fault fault = random.nextBoolean() ? Fault.failing(Errno.EAGAIN, 1)
                    : Fault.threadsMost(between(random, THREADS_LEAST, THREADS_MOST));
            events.add(new CallFault(at, length, SystemCall.THREAD, fault));
            at += length;
        }
        events.sort((one, other) -> Long.compare(one.atMs(), other.atMs()));
        return new FaultPlan(events);
    }

    private static long gap(SplittableRandom random) { return between(random, GAP_LEAST_MS, GAP_MOST_MS); }

    private static int between(SplittableRandom random, int least, int most) { return random.nextInt(least, most + 1); }

    private static Fault draw(SplittableRandom random, SystemCall call) {
        int every = between(random, 1, EVERY_MOST);
        return switch (call) {
            case ACCEPT -> Fault.failing(any(random, ACCEPTS), every);
            case SOCKET -> Fault.failing(any(random, SOCKETS), every);
            case CONNECT -> Fault.failing(any(random, CONNECTS), every);
            case WAIT -> Fault.failing(Errno.EINTR, every + 1);
            case READ -> interruptedOrShort(random, every);
            case WRITE -> interruptedOrShort(random, every);
            case THREAD, MEMORY, SELF -> throw new IllegalArgumentException("not drawn: " + call);
            case LOG -> random.nextBoolean() ? Fault.failing(any(random, LOGS), every) : Fault.late(LOG_LATE_MS, every);
        };
    }

    private static Fault interruptedOrShort(SplittableRandom random, int every) {
        return random.nextBoolean() ? Fault.failing(Errno.EINTR, every + 1) : new Fault(Errno.NONE, between(random, 1, SHORT_MOST_BYTES), 0, every);
    }

    private static Errno any(SplittableRandom random, List<Errno> of) { return of.get(random.nextInt(of.size())); }

    /** Reads lines as {@link Event#toString} writes them. */
    static FaultPlan read(List<String> lines) throws Malformed {
        List<Event> events = new ArrayList<>();
        for (String line : lines) {
            if (!line.isBlank()) {
                events.add(event(line));
            }
        }
        return new FaultPlan(events);
    }

    private static Event event(String line) throws Malformed {
        try {
            long at = number(line, "at");
            long length = number(line, "for");
            if (line.endsWith(" stall")) {
                return new Stall(at, length);
            }
            return new CallFault(at, length, SystemCall.valueOf(word(line, "call")), new Fault(Errno.valueOf(word(line, "errno")),
                    (int) number(line, "most"), (int) number(line, "delay"), (int) number(line, "every")));
        } catch (IllegalArgumentException e) {
            throw new Malformed(line, e.getMessage());
        }
    }

    private static long number(String line, String name) { return Long.parseLong(word(line, name)); }

    private static String word(String line, String name) {
        for (String pair : line.split(" ")) {
            if (pair.startsWith(name + "=")) {
                return pair.substring(name.length() + 1);
            }
        }
        throw new IllegalArgumentException(name + " is missing");
    }
}
