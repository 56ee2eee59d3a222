package streamproxy.lab.soak;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import streamproxy.lab.soak.SoakBreak.Rule;

/** Judges a run's requests once it is over: what clients were told, and each byte that reached a replica. */
final class SoakAudit {
    /** Such a close may have crossed the request: the router cannot have read it. */
    private static final long CROSSED_NS = TimeUnit.MILLISECONDS.toNanos(100);
    /** Attempts may begin so long after their client has gone: 0.1 s by the rules, the rest for a busy machine. */
    private static final long GONE_NS = TimeUnit.MILLISECONDS.toNanos(250);
    /** Requests that come so long after SIGTERM need not be answered before the kill. */
    private static final long TERM_GRACE_NS = TimeUnit.MILLISECONDS.toNanos(700);
    /** A replica may be told so much more than its client has left: 0.15 s by the rules, the rest for a busy machine. */
    private static final long DEADLINE_SLACK_MS = 300;
    private static final double SECOND_MS = 1_000;
    private static final String PATH = "POST /v1/chat/completions";
    private static final String PROBE = "GET /status/load";
    private static final List<String> PASSED_ON = List.of("Host", "Req-Id", "Idempotency-Key", "Req-Deadline", "Content-Type", "Content-Length");

    private final List<SoakRequest> requests;
    private final SoakReplicas replicas;
    private final List<SoakBreak> breaks;
    private final long terminatedAt;
    private final long killedAt; // 0: it ended by itself
    private int crossed;

    SoakAudit(List<SoakRequest> requests, SoakReplicas replicas, long terminatedAt, long killedAt, List<SoakBreak> breaks) {
        this.requests = requests;
        this.replicas = replicas;
        this.terminatedAt = terminatedAt;
        this.killedAt = killedAt;
        this.breaks = breaks;
    }

    void judge() {
        Map<String, SoakRequest> byId = new HashMap<>();
        requests.forEach(request -> byId.put(request.id, request));
        requests.forEach(this::judge);
        replicas.attempts().forEach(attempt -> judge(attempt, byId));
    }

    /** Requests whose connection's close crossed them. */
    int crossed() { return crossed; }

    private void judge(SoakRequest request) {
        if (request.end == null || isExcused(request)) {
            return;
        }
        switch (request.end) {
            case SERVED -> {
                if (!replicas.madeWhole(request.id, request.events)) {
                    add(Rule.WRONG_ANSWER, request, "its events are no replica's stream: " + request.events);
                }
            }
            case CLOSED -> {
                if (request.endedAt - request.sentAt < CROSSED_NS && !isEndedByKill(request)) {
                    crossed++;
                } else {
                    add(Rule.UNANSWERED, request, "closed after " + ms(request.endedAt - request.sentAt) + " ms: " + request.note);
                }
            }
            case SILENT -> add(Rule.UNANSWERED, request, request.note);
            case GARBLED -> add(Rule.WRONG_ANSWER, request, request.note);
            case CUT -> {
                if (!replicas.brokeOff(request.id)) {
                    add(Rule.UNANSWERED, request, "its stream was cut off, and not by its replica: " + request.note);
                }
            }
            default -> { }
        }
    }

    /** Whether the kill may have ended it: only what came before the grace was over may still be under way then. */
    private boolean isExcused(SoakRequest request) {
        return isEndedByKill(request) && request.isSent() && request.sentAt - terminatedAt <= TERM_GRACE_NS;
    }

    private boolean isEndedByKill(SoakRequest request) {
        return killedAt != 0 && request.sentAt < killedAt && request.endedAt >= killedAt;
    }

    private void judge(SoakReplicas.Attempt attempt, Map<String, SoakRequest> byId) {
        String head = attempt.message().head();
        if (!head.endsWith("\r\n\r\n")) {
            judgeBegunHead(head);
            return;
        }
        String id = SoakReplicas.field(head, "Req-Id");
        SoakRequest request = byId.get(String.valueOf(id));
        if (request == null || !request.isSent()) {
            breaks.add(new SoakBreak(Rule.FOREIGN_BYTES, "no client sent a whole request of this id: " + head));
            return;
        }
        if (!isHeadOf(request, head) || !isBodyOf(request, attempt)) {
            breaks.add(new SoakBreak(Rule.FOREIGN_BYTES, "not as its client sent it: " + head + new String(attempt.message().body(), StandardCharsets.UTF_8)));
        }
        if (attempt.whole()) { // one that was called off is known by its end alone
            judgeTime(request, attempt);
        }
    }

    /** Some bytes of a head, which a router did not write to its end: it must have begun in the form of one. */
    private void judgeBegunHead(String begun) {
        boolean known = List.of(PATH, PROBE).stream().anyMatch(form -> begun.startsWith(form) || form.startsWith(begun));
        if (!known) {
            breaks.add(new SoakBreak(Rule.FOREIGN_BYTES, "no client's request begins so: " + begun));
        }
    }

    private static boolean isHeadOf(SoakRequest request, String head) {
        String[] lines = head.split("\r\n");
        return lines[0].equals("POST " + request.target + " HTTP/1.1")
                && Arrays.stream(lines).skip(1).allMatch(line -> PASSED_ON.contains(line.split(":", 2)[0]))
                && String.valueOf(request.idempotencyKey).equals(String.valueOf(SoakReplicas.field(head, "Idempotency-Key")))
                && String.valueOf(request.bodyBytes().length).equals(SoakReplicas.field(head, "Content-Length"));
    }

    /** Whether it is the client's body, or as much of its beginning as the router wrote. */
    private static boolean isBodyOf(SoakRequest request, SoakReplicas.Attempt attempt) {
        byte[] sent = request.bodyBytes();
        byte[] arrived = attempt.message().body();
        return (arrived.length == sent.length || !attempt.whole() && arrived.length < sent.length)
                && Arrays.equals(arrived, Arrays.copyOf(sent, arrived.length));
    }

    private void judgeTime(SoakRequest request, SoakReplicas.Attempt attempt) {
        if (request.end == SoakRequest.End.LEFT && attempt.at() - request.endedAt > GONE_NS) {
            add(Rule.BEGUN_FOR_NOBODY, request, "an attempt arrived " + ms(attempt.at() - request.endedAt) + " ms after its client had gone");
        }
        String told = SoakReplicas.field(attempt.message().head(), "Req-Deadline");
        long leftMs = request.deadlineMs - ms(attempt.at() - request.sentAt);
        if (told == null || SECOND_MS * Double.parseDouble(told) > leftMs + DEADLINE_SLACK_MS) {
            add(Rule.DEADLINE, request, "an attempt was told of " + told + " s when its client had " + leftMs + " ms left");
        }
    }

    private void add(Rule rule, SoakRequest request, String why) {
        breaks.add(new SoakBreak(rule, "request " + request.id + ", sent " + ms(request.sentAt - terminatedAt) + " ms from SIGTERM: " + why));
    }

    private static long ms(long ns) { return TimeUnit.NANOSECONDS.toMillis(ns); }
}
