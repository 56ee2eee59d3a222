package streamproxy.lab.soak;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import streamproxy.lab.StandIns;

/**
 * Replicas whose streams last between a moment and some seconds, and of which some attempts hang, fail, are turned away or
 * end a stream that is not complete. What an attempt meets is drawn from its request's id and number, so that a seed's plan meets the same.
 */
final class SoakReplicas implements AutoCloseable {
    /**
     * An attempt as it arrived, whole or as far as the router wrote it.
     *
     * @param number     how many whole attempts of its request have come with it; 0 for one that is not whole
     * @param endedForNs how long the list had told by then that nothing new may be sent to its replica; 0 where something might
     */
    record Attempt(StandIns.Message message, long at, int number, long endedForNs) {
        boolean whole() { return number > 0; }
    }

    /** What the stand-ins do with prompts. */
    private final class Prompts implements StandIns.Script {
        @Override public boolean answer(StandIns.Message message, Socket socket) throws IOException, InterruptedException {
            if (message.head().startsWith(LabClock.CANARY)) {
                socket.getOutputStream().write('y');
                return false;
            }
            int number = tries.merge(id(message), 1, Integer::sum);
            attempts.add(new Attempt(message, System.nanoTime(), number, standIns.endedForNs(socket.getLocalPort())));
            return serve(message, number, socket);
        }

        @Override public void unfinished(StandIns.Message begun) { attempts.add(new Attempt(begun, System.nanoTime(), 0, 0)); }
    }

    /** What a replica does with an attempt. */
    private enum Trouble { NONE, HANGS, FAILS, TURNED_AWAY, RESETS, ENDS_UNSOUNDLY }

    /** How a stream ends that is not complete. */
    private enum UnsoundEnd {
        FIN, RESET, LAST_CHUNK, LAST_CHUNK_BEHIND_FINISH, LAST_CHUNK_BEHIND_USAGE, LAST_CHUNK_WITHIN_EVENT, ERROR_EVENT, NO_USAGE, TEXT_BEHIND_DONE,
        HEAD_FOR_TRAILERS, SILENCE;

        /** Whether the replica may go on with the connection. */
        boolean leavesConnection() { return this != FIN && this != RESET && this != SILENCE; }
    }

    private static final int FOR_ONE = 3;
    private static final int TROUBLE_IN = 6;
    private static final int FIRST_TOKEN_MOST_MS = 250;
    private static final int SHORT_STREAM_MS = 300;
    private static final int LONG_STREAM_MS = 3_600;
    private static final int LONG_IN = 4;
    private static final int EVENT_EVERY_MS = 60;
    private static final int SLOW_EVENT_IN = 12;
    private static final int SLOW_EVENT_BYTES = 40 * 1024;
    private static final int SLOW_PIECE_BYTES = 1_024;
    private static final int SLOW_PIECE_EVERY_MS = 50;
    /** A stream's end is passed on within a second, that of a silent one within five, by the protocol page. */
    private static final long END_HEARD_NS = TimeUnit.SECONDS.toNanos(1);
    private static final long SILENCE_HEARD_NS = TimeUnit.SECONDS.toNanos(5);
    private static final String LAST_CHUNK = "0\r\n\r\n";
    private static final String FINISH = text("table", "\"stop\"");
    private static final String USAGE = "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":9}}\n\n";
    private static final String DONE = "data: [DONE]\n\n";

    private final Queue<Attempt> attempts = new ConcurrentLinkedQueue<>();
    /** What was streamed for a request, by its id: the events of each attempt that made any. */
    private final Map<String, Queue<String>> streams = new ConcurrentHashMap<>();
    /** A stream that a replica ended unsoundly. */
    private record Broken(UnsoundEnd end, long at) { }

    /** The last such stream of each request, by its id. */
    private final Map<String, Broken> brokenOff = new ConcurrentHashMap<>();
    private final Map<String, Integer> tries = new ConcurrentHashMap<>();
    private final Set<String> turnedAway = ConcurrentHashMap.newKeySet();
    private final long seed;
    private final StandIns standIns;
    private final SoakLinks links; // null: routers reach the replicas themselves

    private SoakReplicas(long seed, int count, boolean linked) throws IOException {
        this.seed = seed;
        standIns = new StandIns(count, new Prompts());
        links = linked ? new SoakLinks(standIns, count) : null;
    }

    /** A few replicas for one router. */
    static SoakReplicas forOne(long seed) throws IOException { return new SoakReplicas(seed, FOR_ONE, false); }

    /** So many for many routers. */
    static SoakReplicas forMany(long seed, int count) throws IOException { return new SoakReplicas(seed, count, false); }

    /** So many, each behind a proxy. */
    static SoakReplicas behindLinks(long seed, int count) throws IOException { return new SoakReplicas(seed, count, true); }

    StandIns standIns() { return standIns; }

    Queue<Attempt> attempts() { return attempts; }

    /** Whether those events are a whole stream that some attempt of the request made. */
    boolean madeWhole(String id, String events) {
        return events.endsWith(DONE) && streams.getOrDefault(id, new ConcurrentLinkedQueue<>()).contains(events);
    }

    /** Whether a replica, or the link to one, broke off a stream of that request. */
    boolean brokeOff(SoakRequest request) { return brokenOff.containsKey(request.id) || links != null && links.brokeBetween(request.sentAt, request.endedAt); }

    /** Whether a request's client heard too late that its replica had ended its stream unsoundly. */
    boolean heardLate(SoakRequest request) {
        Broken broken = brokenOff.get(request.id);
        return broken != null && request.endedAt - broken.at > (broken.end == UnsoundEnd.SILENCE ? SILENCE_HEARD_NS : END_HEARD_NS);
    }

    /** Where a canary goes that takes the way of an attempt. */
    InetSocketAddress canaryWay() { return new InetSocketAddress("127.0.0.1", links == null ? standIns.port(0) : links.port(0)); }

    /** The proxies before the replicas; null where there are none. */
    SoakLinks links() { return links; }

    private static String id(StandIns.Message message) { return String.valueOf(field(message.head(), "Req-Id")); }

    /** Whether its replica turned that attempt away, so that it never ran. */
    boolean turnedAway(Attempt attempt) { return turnedAway.contains(name(id(attempt.message()), attempt.number())); }

    private static String name(String id, int attempt) { return id + "#" + attempt; }

    private boolean serve(StandIns.Message message, int attempt, Socket socket) throws IOException, InterruptedException {
        String id = id(message);
        SplittableRandom random = new SplittableRandom(seed ^ id.hashCode() * 31L + attempt);
        Trouble trouble = random.nextInt(TROUBLE_IN) > 0 ? Trouble.NONE
                : Trouble.values()[1 + random.nextInt(Trouble.values().length - 1)];
        OutputStream out = socket.getOutputStream();
        TimeUnit.MILLISECONDS.sleep(random.nextInt(FIRST_TOKEN_MOST_MS));
        switch (trouble) {
            case HANGS -> {
                while (socket.getInputStream().read() >= 0) {
                    continue; // until the router gives up
                }
                return false;
            }
            case FAILS -> write(out, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n");
            case TURNED_AWAY -> {
                turnedAway.add(name(id, attempt));
                write(out, "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n");
            }
            case RESETS -> {
                socket.setSoLinger(true, 0);
                return false;
            }
            default -> {
                return stream(id, attempt, random, trouble == Trouble.ENDS_UNSOUNDLY, socket);
            }
        }
        return true;
    }

    private boolean stream(String id, int attempt, SplittableRandom random, boolean unsound, Socket socket) throws IOException, InterruptedException {
        OutputStream out = socket.getOutputStream();
        long forMs = random.nextInt(random.nextInt(LONG_IN) == 0 ? LONG_STREAM_MS : SHORT_STREAM_MS);
        write(out, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        StringBuilder events = new StringBuilder();
        int count = (int) (1 + forMs / EVENT_EVERY_MS);
        for (int i = 0; i < count; i++) {
            TimeUnit.MILLISECONDS.sleep(i == 0 ? 0 : EVENT_EVERY_MS);
            event(out, events, text(id + "-" + attempt + "-" + i, "null"));
        }
        if (random.nextInt(SLOW_EVENT_IN) == 0) {
            slowEvent(out, events, text("x".repeat(SLOW_EVENT_BYTES), "null"));
        }
        if (unsound) {
            UnsoundEnd end = UnsoundEnd.values()[random.nextInt(UnsoundEnd.values().length)];
            brokenOff.put(id, new Broken(end, System.nanoTime()));
            endUnsoundly(socket, end);
            return random.nextBoolean() && end.leavesConnection();
        }
        event(out, events, FINISH);
        event(out, events, USAGE);
        events.append(DONE);
        streams.computeIfAbsent(id, key -> new ConcurrentLinkedQueue<>()).add(events.toString());
        write(out, chunk(DONE) + LAST_CHUNK);
        return true;
    }

    private static String text(String content, String reason) {
        return "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + content + "\"},\"finish_reason\":" + reason + "}]}\n\n";
    }

    /** One event whose bytes come for some seconds, without a pause. */
    private static void slowEvent(OutputStream out, StringBuilder events, String event) throws IOException, InterruptedException {
        events.append(event);
        String chunk = chunk(event);
        for (int at = 0; at < chunk.length(); at += SLOW_PIECE_BYTES) {
            write(out, chunk.substring(at, Math.min(chunk.length(), at + SLOW_PIECE_BYTES)));
            TimeUnit.MILLISECONDS.sleep(SLOW_PIECE_EVERY_MS);
        }
    }

    private static void endUnsoundly(Socket socket, UnsoundEnd end) throws IOException {
        OutputStream out = socket.getOutputStream();
        String complete = chunk(FINISH) + chunk(USAGE) + chunk(DONE);
        switch (end) {
            case FIN -> { }
            case RESET -> socket.setSoLinger(true, 0);
            case LAST_CHUNK -> write(out, LAST_CHUNK);
            case LAST_CHUNK_BEHIND_FINISH -> write(out, chunk(FINISH) + LAST_CHUNK);
            case LAST_CHUNK_BEHIND_USAGE -> write(out, chunk(FINISH) + chunk(USAGE) + LAST_CHUNK);
            case LAST_CHUNK_WITHIN_EVENT -> write(out, chunk(FINISH) + chunk(USAGE.substring(0, USAGE.length() / 2)) + LAST_CHUNK);
            case ERROR_EVENT -> write(out, chunk("data: {\"error\":{\"message\":\"out of memory\"}}\n\n") + complete + LAST_CHUNK);
            case NO_USAGE -> write(out, chunk(FINISH) + chunk(DONE) + LAST_CHUNK);
            case TEXT_BEHIND_DONE -> write(out, complete + chunk(text("more", "null")) + LAST_CHUNK);
            case HEAD_FOR_TRAILERS -> write(out, complete + "0\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            case SILENCE -> {
                while (socket.getInputStream().read() >= 0) {
                    continue; // until the router gives up
                }
            }
        }
    }

    private static void event(OutputStream out, StringBuilder events, String event) throws IOException {
        events.append(event);
        write(out, chunk(event));
    }

    private static String chunk(String text) { return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"; }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    /** A header field's value; null where the head has none of that name. */
    static String field(String head, String name) {
        for (String line : head.split("\r\n")) {
            if (line.regionMatches(true, 0, name + ":", 0, name.length() + 1)) {
                return line.substring(name.length() + 1).strip();
            }
        }
        return null;
    }

    @Override public void close() throws IOException {
        if (links != null) {
            links.close();
        }
        standIns.close();
    }
}
