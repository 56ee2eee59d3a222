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
 * break off. What an attempt meets is drawn from its request's id and number, so that a seed's plan meets the same.
 */
final class SoakReplicas implements AutoCloseable {
    /**
     * An attempt as it arrived, whole or as far as the router wrote it.
     *
     * @param endedForNs how long the list had told by then that nothing new may be sent to its replica; 0 where something might
     */
    record Attempt(StandIns.Message message, long at, boolean whole, long endedForNs) { }

    /** What the stand-ins do with prompts. */
    private final class Prompts implements StandIns.Script {
        @Override public boolean answer(StandIns.Message message, Socket socket) throws IOException, InterruptedException {
            if (message.head().startsWith(LabClock.CANARY)) {
                socket.getOutputStream().write('y');
                return false;
            }
            attempts.add(new Attempt(message, System.nanoTime(), true, standIns.endedForNs(socket.getLocalPort())));
            return serve(message, socket);
        }

        @Override public void unfinished(StandIns.Message begun) { attempts.add(new Attempt(begun, System.nanoTime(), false, 0)); }
    }

    /** What a replica does with an attempt. */
    private enum Trouble { NONE, HANGS, FAILS, TURNED_AWAY, RESETS, BREAKS_OFF }

    private static final int FOR_ONE = 3;
    private static final int TROUBLE_IN = 12;
    private static final int FIRST_TOKEN_MOST_MS = 250;
    private static final int SHORT_STREAM_MS = 300;
    private static final int LONG_STREAM_MS = 3_600;
    private static final int LONG_IN = 4;
    private static final int EVENT_EVERY_MS = 60;

    private final Queue<Attempt> attempts = new ConcurrentLinkedQueue<>();
    /** What was streamed for a request, by its id: the events of each attempt that made any. */
    private final Map<String, Queue<String>> streams = new ConcurrentHashMap<>();
    private final Set<String> brokenOff = ConcurrentHashMap.newKeySet();
    private final Map<String, Integer> tries = new ConcurrentHashMap<>();
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
        return events.endsWith("data: [DONE]\n\n") && streams.getOrDefault(id, new ConcurrentLinkedQueue<>()).contains(events);
    }

    /** Whether a replica, or the link to one, broke off a stream of that request. */
    boolean brokeOff(SoakRequest request) { return brokenOff.contains(request.id) || links != null && links.brokeBetween(request.sentAt, request.endedAt); }

    /** Where a canary goes that takes the way of an attempt. */
    InetSocketAddress canaryWay() { return new InetSocketAddress("127.0.0.1", links == null ? standIns.port(0) : links.port(0)); }

    /** The proxies before the replicas; null where there are none. */
    SoakLinks links() { return links; }

    private boolean serve(StandIns.Message message, Socket socket) throws IOException, InterruptedException {
        String id = field(message.head(), "Req-Id");
        int attempt = tries.merge(String.valueOf(id), 1, Integer::sum);
        SplittableRandom random = new SplittableRandom(seed ^ String.valueOf(id).hashCode() * 31L + attempt);
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
            case TURNED_AWAY -> write(out, "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n");
            case RESETS -> {
                socket.setSoLinger(true, 0);
                return false;
            }
            default -> {
                return stream(id, attempt, random, trouble == Trouble.BREAKS_OFF, out);
            }
        }
        return true;
    }

    private boolean stream(String id, int attempt, SplittableRandom random, boolean breaksOff, OutputStream out)
            throws IOException, InterruptedException {
        long forMs = random.nextInt(random.nextInt(LONG_IN) == 0 ? LONG_STREAM_MS : SHORT_STREAM_MS);
        write(out, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        StringBuilder events = new StringBuilder();
        int count = (int) (1 + forMs / EVENT_EVERY_MS);
        for (int i = 0; i < count; i++) {
            TimeUnit.MILLISECONDS.sleep(i == 0 ? 0 : EVENT_EVERY_MS);
            event(out, events, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + id + "-" + attempt + "-" + i + "\"},\"finish_reason\":" + (i == count - 1 ? "\"stop\"" : "null") + "}]}\n\n");
        }
        if (breaksOff) {
            brokenOff.add(String.valueOf(id));
            return false;
        }
        event(out, events, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":9}}\n\n");
        events.append("data: [DONE]\n\n");
        streams.computeIfAbsent(id, key -> new ConcurrentLinkedQueue<>()).add(events.toString());
        write(out, chunk("data: [DONE]\n\n") + "0\r\n\r\n");
        return true;
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
