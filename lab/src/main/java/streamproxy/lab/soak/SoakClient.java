package streamproxy.lab.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * A client that asks again and again and uses its connection for as long as the router leaves it open, whether or not the
 * front still sends anybody there. It writes its requests whole, in pieces or slowly, and sometimes leaves.
 */
final class SoakClient implements Runnable {
    /** How a request is written, and what its client does then. */
    private enum Manner { WHOLE, PIECES, SLOW, HALF, LEAVES }

    private static final List<Manner> MANNERS = List.of(Manner.WHOLE, Manner.WHOLE, Manner.WHOLE, Manner.WHOLE, Manner.WHOLE, Manner.WHOLE,
            Manner.PIECES, Manner.PIECES, Manner.SLOW, Manner.LEAVES);
    private static final int HALF_IN = 40;
    private static final int REST_MOST_MS = 900;
    private static final int RESTS_IN = 3; // one in so many requests follows at once
    private static final int SLOW_MOST_MS = 2_000;
    private static final int PIECES_MOST = 6;
    /** Bad clients are owed their error within 3 s; the rest allows for a busy machine. */
    private static final long HALF_ANSWER_MS = 4_000;
    private static final long RETRY_MS = 20;

    private final int number;
    private final InetSocketAddress router;
    private final SoakFront front;
    private final long deadlineMs;
    private final SplittableRandom random;
    private final Queue<SoakRequest> requests = new ConcurrentLinkedQueue<>();
    private final List<SoakConnection> connections = new CopyOnWriteArrayList<>();
    private volatile SoakRequest underWay;
    private volatile boolean over;

    SoakClient(int number, SoakPlan plan, InetSocketAddress router, SoakFront front) {
        this.number = number;
        this.router = router;
        this.front = front;
        deadlineMs = plan.deadlineMs();
        random = new SplittableRandom(plan.seed() * 1_000 + number);
    }

    Queue<SoakRequest> requests() { return requests; }

    List<SoakConnection> connections() { return connections; }

    /** The request that is under way on its connection; null while it rests. */
    SoakRequest underWay() { return underWay; }

    /** The connection that it holds open; null where it holds none. */
    SoakConnection held() {
        SoakConnection last = connections.isEmpty() ? null : connections.get(connections.size() - 1);
        return last == null || last.closedAt != 0 ? null : last;
    }

    void end() { over = true; }

    @Override public void run() {
        try {
            while (!over) {
                SoakConnection connection = connect();
                if (connection != null) {
                    use(connection);
                    connection.close();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private SoakConnection connect() throws InterruptedException {
        try {
            if (front.sends()) {
                SoakConnection connection = new SoakConnection(router);
                connections.add(connection);
                return connection;
            }
        } catch (IOException e) {
            // refused: the front sends it elsewhere
        }
        TimeUnit.MILLISECONDS.sleep(RETRY_MS);
        return null;
    }

    private void use(SoakConnection connection) throws InterruptedException {
        boolean open = true;
        while (open && !over) {
            SoakRequest request = new SoakRequest(Long.toHexString(random.nextLong() | 1L << 62), deadlineMs, random);
            requests.add(request);
            underWay = request;
            open = ask(connection, request);
            underWay = null;
            if (open && random.nextInt(RESTS_IN) > 0) {
                open = connection.rest(random.nextInt(REST_MOST_MS));
            }
        }
    }

    /** Asks once; whether the connection may be used again. */
    private boolean ask(SoakConnection connection, SoakRequest request) throws InterruptedException {
        Manner manner = random.nextInt(HALF_IN) == 0 ? Manner.HALF : MANNERS.get(random.nextInt(MANNERS.size()));
        try {
            write(connection, request, manner);
        } catch (IOException e) {
            request.ends(SoakRequest.End.HALF, "closed while it was written: " + e.getMessage());
            return false;
        }
        long by = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(manner == Manner.HALF ? HALF_ANSWER_MS : deadlineMs);
        if (manner == Manner.LEAVES) {
            connection.rest(random.nextInt(200)); // an answer that comes meanwhile is thrown away
            connection.close();
            request.ends(SoakRequest.End.LEFT, "");
            return false;
        }
        try {
            SoakConnection.Answer answer = connection.answer(by);
            request.events = answer.events();
            boolean half = manner == Manner.HALF && answer.end() != SoakRequest.End.SILENT;
            request.ends(half ? SoakRequest.End.HALF : answer.end(), answer.note());
            return !answer.closes() && !half;
        } catch (IOException e) {
            request.ends(SoakRequest.End.GARBLED, e.getMessage());
            return false;
        }
    }

    private void write(SoakConnection connection, SoakRequest request, Manner manner) throws IOException, InterruptedException {
        byte[] bytes = request.bytes();
        int to = manner == Manner.HALF ? 1 + random.nextInt(bytes.length - 1) : bytes.length;
        int pieces = manner == Manner.PIECES || manner == Manner.SLOW ? 2 + random.nextInt(PIECES_MOST - 1) : 1;
        int pauseMs = manner == Manner.SLOW ? random.nextInt(SLOW_MOST_MS) / pieces : random.nextInt(20);
        request.firstByteAt = System.nanoTime();
        for (int i = 0; i < pieces; i++) {
            if (i > 0) {
                TimeUnit.MILLISECONDS.sleep(pauseMs);
            }
            if (i == pieces - 1 && manner != Manner.HALF) {
                request.sentAt = System.nanoTime(); // before the last byte, so that no answer is earlier than this
            }
            connection.write(bytes, to * i / pieces, to * (i + 1) / pieces);
        }
    }

    @Override public String toString() { return "client " + number; }
}
