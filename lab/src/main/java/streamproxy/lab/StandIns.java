package streamproxy.lab;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Model boxes and their list that answer at once, so that what is measured is the router. A box answers each prompt with
 * a few events in one go; the list names all boxes and tells what {@link #tell} says of them.
 */
public final class StandIns implements AutoCloseable {
    private static final long GIVE_UP_MS = 4_000;
    private static final long EMPTY_LINES_MS = 500;
    private static final byte[] STREAM = ("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            + chunk("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"table\"},\"finish_reason\":\"stop\"}]}\n\n")
            + chunk("data: {\"choices\":[],\"usage\":{\"prompt_tokens\":9}}\n\n") + chunk("data: [DONE]\n\n") + "0\r\n\r\n").getBytes(StandardCharsets.US_ASCII);
    private static final byte[] LOAD = answer("{\"lat_ms\":1,\"rif\":0,\"q\":0,\"x1\":0}");
    private static final String SETTINGS = """
            {"Me":0,"Balancers":1,"Az":0,"Areas":["a"],"Flavors":["k"],"Discovery":"on_request",
             "Classes":[{"Name":"chat","GiveUp":4000000000,"Promise":3000000000,"Gain":1.0,"Group":"all",
              "Idempotency":"safe","Stream":true,"Window":0}],
             "Domain":{"AimUsPer1000PromptTokens":[0],"ReportX1":"thousands of prompt tokens waiting to be read",
              "TokenAim":[50000000],"Resume":true},
             "Guarantees":{"AskEvery":10000000000,"Fall":2000000000,"GraceToAnswer":20000000,"RampTime":24000000000,
              "StartCapacity":0.12,"StopSendingWithin":500000000,"TipMultiple":2.5},
             "Limits":{"Cancel":true,"ConnectTimeout":500000000,"Keepalive":60000000000,"MaxAttempts":3,
              "MaxRetryAfter":2000000000,"Probes":true,"RetryAfter":true,"SecondCopies":true},
             "Report":{"Fields":["lat_ms","rif","q","x1"],"Source":"pull"},"Tenants":[]}""";

    /** A request as it came: its head up to the empty line, and its body. */
    public record Message(String head, byte[] body) { }

    /** What a stand-in does with one request; true while the connection goes on. */
    public interface Script {
        boolean answer(Message message, Socket socket) throws IOException, InterruptedException;

        /** A request came in part, and then its connection's end. */
        default void unfinished(Message begun) { }
    }

    /** A box: it answers probes itself, and leaves prompts to its script. */
    private final class Box implements Script {
        private final List<Long> attempted;
        private final Script prompts; // null: each gets the same stream

        Box(List<Long> attempted, Script prompts) {
            this.attempted = attempted;
            this.prompts = prompts;
        }

        @Override public boolean answer(Message message, Socket socket) throws IOException, InterruptedException {
            boolean probe = message.head().startsWith("GET ");
            if (!probe) {
                attempted.add(System.nanoTime());
            }
            if (!probe && prompts != null) {
                return prompts.answer(message, socket);
            }
            socket.getOutputStream().write(probe ? LOAD : STREAM);
            served.addAndGet(probe ? 0 : 1);
            return true;
        }

        @Override public void unfinished(Message begun) {
            if (prompts != null) {
                prompts.unfinished(begun);
            }
        }
    }

    private final StandInServer server = new StandInServer();
    private final List<ServerSocketChannel> boxes = new ArrayList<>();
    private final List<Integer> ports = new ArrayList<>(); // as the list names them
    private final ServerSocketChannel list;
    private final AtomicLong served = new AtomicLong();
    private final AtomicInteger listCalls = new AtomicInteger();
    private final AtomicInteger watches = new AtomicInteger();
    private final List<List<Long>> attempts = new ArrayList<>(); // when, by box
    private final List<String> states = new ArrayList<>();   // of the boxes; with the next two under this lock
    private final List<Long> boots = new ArrayList<>();
    private final List<String> changes = new ArrayList<>();  // change i brings to version i + 2
    private int mutedTo; // watches that were begun before so many are connected and hear nothing
    private int begun;
    private volatile boolean listAway;
    private volatile int listLateMs; // before each answer and line of the list
    private volatile long listWellSince = System.nanoTime(); // neither away nor late since then
    private final List<Integer> generations = new ArrayList<>(); // of the boxes, each with a uid and a port of its own
    /** Since when the list says that nothing new may be sent to that port. */
    private final Map<Integer, Long> endedAt = new ConcurrentHashMap<>();
    private final Script prompts; // null: each gets the same stream

    public StandIns(int count) throws IOException { this(count, null); }

    /** The same whose boxes do with prompts what the script says; probes are answered at once in any case. */
    public StandIns(int count, Script prompts) throws IOException {
        this.prompts = prompts;
        for (int i = 0; i < count; i++) {
            generations.add(0);
            List<Long> attempted = Collections.synchronizedList(new ArrayList<>());
            attempts.add(attempted);
            states.add("ready");
            boots.add(0L);
            boxes.add(open(new Box(attempted, prompts)));
            ports.add(StandInServer.port(boxes.get(i)));
        }
        list = open(this::list);
    }

    private ServerSocketChannel open(Script script) throws IOException { return server.listen(socket -> serve(socket, script)); }

    private static boolean serve(Socket socket, Script script) throws IOException, InterruptedException {
        Message message = message(new BufferedInputStream(socket.getInputStream()), script);
        return message != null && script.answer(message, socket);
    }

    /** Reads a head and the body that it tells of; null at the end, and where that comes early the script hears of it. */
    private static Message message(InputStream in, Script script) throws IOException {
        StringBuilder head = new StringBuilder(256);
        try {
            while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
                int c = in.read();
                if (c < 0) {
                    throw new EOFException("no whole head");
                }
                head.append((char) c);
            }
        } catch (IOException e) {
            if (head.length() > 0) {
                script.unfinished(new Message(head.toString(), new byte[0]));
            }
            return null;
        }
        int at = head.indexOf("Content-Length: ");
        int length = at < 0 ? 0 : Integer.parseInt(head.substring(at + 16, head.indexOf("\r", at)));
        byte[] body = in.readNBytes(length);
        Message message = new Message(head.toString(), body);
        if (body.length < length) {
            script.unfinished(message);
            return null;
        }
        return message;
    }

    private boolean list(Message message, Socket socket) throws IOException, InterruptedException {
        String head = message.head();
        OutputStream out = socket.getOutputStream();
        if (listAway) {
            return false;
        }
        listCalls.incrementAndGet();
        TimeUnit.MILLISECONDS.sleep(listLateMs);
        if (!head.contains("follow=1")) {
            out.write(answer(all()));
            return true;
        }
        out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        watches.incrementAndGet();
        try {
            int number = begin();
            int told = since(head);
            while (true) {
                List<String> news = told < 0 ? List.of(all()) : next(told);
                TimeUnit.MILLISECONDS.sleep(listLateMs);
                if (!isMuted(number)) {
                    for (String line : news) {
                        out.write(chunk(line + "\n").getBytes(StandardCharsets.US_ASCII));
                    }
                    out.write(chunk("\n").getBytes(StandardCharsets.US_ASCII));
                }
                told = told < 0 ? changesIn(news.get(0)) : told + news.size();
            }
        } finally {
            watches.decrementAndGet();
        }
    }

    /** How many changes a whole list has taken in. */
    private static int changesIn(String list) { return Integer.parseInt(list.substring("{\"rev\":".length(), list.indexOf(','))) - 1; }

    /** How many changes one has seen who has the version that it names; negative for one who has no list. */
    private static int since(String head) {
        int at = head.indexOf("since=");
        return at < 0 ? 0 : Integer.parseInt(head.substring(at + 6, head.indexOf(' ', at))) - 1;
    }

    private synchronized int begin() { return begun++; }

    private synchronized boolean isMuted(int watch) { return watch < mutedTo; }

    /** Changes after so many; none after a while without. */
    private synchronized List<String> next(int told) throws InterruptedException {
        if (changes.size() <= told) {
            wait(EMPTY_LINES_MS);
        }
        return List.copyOf(changes.subList(Math.min(told, changes.size()), changes.size()));
    }

    /** Where the box itself listens. */
    public int port(int box) { return StandInServer.port(boxes.get(box)); }

    /** From now on the list names another port for the box, whose own this gives back. */
    public synchronized int advertise(int box, int port) {
        ports.set(box, port);
        return StandInServer.port(boxes.get(box));
    }

    /** From now on the list says that of the box: {@code ready}, {@code draining} or {@code gone}. */
    public synchronized void tell(int box, String state) { tell(box, box + 1, state); }

    /** The same of all boxes from one to before another, in one change. */
    public synchronized void tell(int from, int to, String state) {
        for (int box = from; box < to; box++) {
            states.set(box, state);
            note(ports.get(box), state);
        }
        changed(IntStream.range(from, to));
    }

    private void note(int port, String state) {
        if (state.equals("ready")) {
            endedAt.remove(port);
        } else {
            endedAt.putIfAbsent(port, System.nanoTime());
        }
    }

    /**
     * Those boxes vanish, with their ports, and others join in their place, in one change; connections that stand go on.
     *
     * @throws IOException where no port is to be had
     */
    public synchronized void replace(int from, int to) throws IOException {
        List<String> entries = new ArrayList<>();
        for (int box = from; box < to; box++) {
            boxes.get(box).close();
            note(ports.get(box), "gone");
            entries.add(entry(box, "gone"));
            generations.set(box, generations.get(box) + 1);
            boxes.set(box, open(new Box(attempts.get(box), prompts)));
            ports.set(box, StandInServer.port(boxes.get(box)));
            endedAt.remove(ports.get(box)); // the system may have given the port before
            boots.set(box, System.currentTimeMillis());
            states.set(box, "ready");
            entries.add(entry(box, "ready"));
        }
        changed(entries);
    }

    /** The whole list is told once more, as a change, that many times. */
    public synchronized void tellAll(int times) {
        for (int i = 0; i < times; i++) {
            changes.add(all(changes.size() + 2));
            notifyAll();
        }
    }

    /** From now on each answer and line of the list comes so much later. */
    public void late(int ms) {
        listLateMs = ms;
        listWellSince = System.nanoTime();
    }

    /**
     * For how long the list has told, to whoever could ask for it, that nothing new may be sent to that port; 0 where something
     * may, or where nobody can ask for the list now.
     */
    public long endedForNs(int port) {
        Long since = endedAt.get(port);
        return since == null || listAway || listLateMs > 0 ? 0 : System.nanoTime() - Math.max(since, listWellSince);
    }

    /** The first so many boxes have just been started anew, and are cold. */
    public synchronized void restart(int count) {
        for (int box = 0; box < count; box++) {
            boots.set(box, System.currentTimeMillis());
        }
        changed(IntStream.range(0, count));
    }

    private void changed(IntStream which) { changed(which.mapToObj(this::entry).toList()); }

    private void changed(List<String> entries) {
        changes.add("{\"rev\":" + (changes.size() + 2) + ",\"all\":false,\"targets\":[" + String.join(",", entries) + "]}");
        notifyAll();
    }

    /** From now on the list answers no call, or answers again; watches that stand are ended by whoever holds them. */
    public void away(boolean now) {
        listAway = now;
        listWellSince = System.nanoTime();
    }

    /** Watches that stand now bring nothing any more, though their connections stay. */
    public synchronized void mute() { mutedTo = begun; }

    private synchronized String all() { return all(changes.size() + 1); }

    private String all(int version) {
        return IntStream.range(0, boxes.size()).mapToObj(this::entry)
                .collect(Collectors.joining(",", "{\"rev\":" + version + ",\"all\":true,\"targets\":[", "]}"));
    }

    private String entry(int i) { return entry(i, states.get(i)); }

    private String entry(int i, String state) {
        String generation = generations.get(i) == 0 ? "" : "-" + generations.get(i);
        return "{\"uid\":\"s-" + i + generation + "\",\"endpoint\":\"127.0.0.1:" + ports.get(i)
                + "\",\"az\":\"a\",\"model\":\"k\",\"pod_group\":0,\"state\":\"" + state + "\","
                + "\"capacity_hint\":1.0,\"boot_ms\":" + boots.get(i) + "}";
    }

    private static String chunk(String text) { return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"; }

    private static byte[] answer(String text) {
        return ("HTTP/1.1 200 OK\r\nContent-Length: " + text.length() + "\r\n\r\n" + text).getBytes(StandardCharsets.US_ASCII);
    }

    public String listAddress() { return "127.0.0.1:" + StandInServer.port(list); }

    /** What a router is told that serves from these. */
    public String configuration(int descriptors, int memoryMb) { return configuration(descriptors, memoryMb, GIVE_UP_MS, RepeatRule.SAFE); }

    /** The same with another deadline of the class, and another rule for its repeats. */
    public String configuration(int descriptors, int memoryMb, long giveUpMs, RepeatRule repeats) {
        String settings = repeats.in(SETTINGS).replace("\"GiveUp\":" + GIVE_UP_MS + "000000", "\"GiveUp\":" + giveUpMs + "000000")
                .replace("\"Promise\":3000000000", "\"Promise\":" + Math.min(3_000, giveUpMs) + "000000");
        return "{\"discovery\":\"" + listAddress() + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"sockets\":" + descriptors + ",\"memory_mb\":" + memoryMb
                + "},\"known\":" + all() + ",\"settings\":" + settings + "}";
    }

    /** Prompts answered so far. */
    long served() { return served.get(); }

    /** When one box was sent prompts so far, by {@link System#nanoTime}. */
    public List<Long> attempts(int box) {
        synchronized (attempts.get(box)) {
            return List.copyOf(attempts.get(box));
        }
    }

    /** Calls of the list so far, and watches of it that stand now. */
    public int listCalls() { return listCalls.get(); }

    public int watches() { return watches.get(); }

    /** Connections that the router has opened so far, to the boxes and the list. */
    int connections() { return server.accepted(); }

    @Override public void close() throws IOException {
        server.close();
    }
}
