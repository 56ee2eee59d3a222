package streamproxy.lab.soak;

import java.nio.charset.StandardCharsets;
import java.time.LocalTime;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import streamproxy.lab.soak.SoakBreak.Rule;

/** Judges each byte that reached a replica, against what all clients of a run have sent. */
final class AttemptAudit {
    /** Attempts may begin so long after their client has gone: 0.1 s by the rules, and 0.15 s for a router that is held up. */
    private static final long GONE_NS = TimeUnit.MILLISECONDS.toNanos(250);
    /** A replica may be told so much more than its client has left, by the rules. */
    private static final long DEADLINE_SLACK_MS = 150;
    /** A change is told 6 s after the list had it, binds within 0.5 s, and a router may be held up for 0.15 s; the rest is the way. */
    private static final long ENDED_NS = TimeUnit.MILLISECONDS.toNanos(6_000 + 500 + 150 + 100);
    private static final double SECOND_MS = 1_000;
    private static final String PATH = "POST /v1/chat/completions";
    private static final String PROBE = "GET /status/load";
    private static final List<String> PASSED_ON = List.of("Host", "Req-Id", "Idempotency-Key", "Req-Deadline", "Content-Type", "Content-Length");

    private final Map<String, SoakRequest> byId = new HashMap<>();
    private final SoakReplicas replicas;
    private final LabClock lab;
    private final List<SoakBreak> breaks;
    private int late;

    /** @param lab tells when the lab itself was late */
    AttemptAudit(Collection<SoakRequest> requests, SoakReplicas replicas, LabClock lab, List<SoakBreak> breaks) {
        requests.forEach(request -> byId.put(request.id, request));
        this.replicas = replicas;
        this.lab = lab;
        this.breaks = breaks;
    }

    void judge() {
        replicas.attempts().forEach(this::judge);
        new RepeatAudit(replicas, lab, breaks).judge(byId);
    }

    /** Attempts that came too late for what they were told, by no more than the lab itself was held up meanwhile. */
    int late() { return late; }

    private void judge(SoakReplicas.Attempt attempt) {
        String head = attempt.message().head();
        if (!head.endsWith("\r\n\r\n")) {
            judgeBegunHead(head);
            return;
        }
        String id = SoakReplicas.field(head, "Req-Id");
        if (SoakFlood.ID.equals(id)) {
            return; // of a client that is not judged
        }
        SoakRequest request = byId.get(String.valueOf(id));
        if (request == null || !request.isSent()) {
            breaks.add(new SoakBreak(Rule.FOREIGN_BYTES, "no client sent a whole request of this id: " + head));
            return;
        }
        if (!isHeadOf(request, head) || !isBodyOf(request, attempt)) {
            breaks.add(new SoakBreak(Rule.FOREIGN_BYTES, "not as its client sent it: " + head + new String(attempt.message().body(), StandardCharsets.UTF_8)));
        }
        if (attempt.endedForNs() > ENDED_NS) {
            add(Rule.DRAINED_REPLICA, request, attempt, "an attempt reached a replica " + ms(attempt.endedForNs()) + " ms after the list told of its end");
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
            add(Rule.BEGUN_FOR_NOBODY, request, attempt, "an attempt arrived " + ms(attempt.at() - request.endedAt) + " ms after its client had gone");
        }
        String told = SoakReplicas.field(attempt.message().head(), "Req-Deadline");
        long leftMs = request.deadlineMs - ms(attempt.at() - request.sentAt);
        long over = told == null ? Long.MAX_VALUE : Math.round(SECOND_MS * Double.parseDouble(told)) - leftMs - DEADLINE_SLACK_MS;
        if (over > 0 && told != null && over <= ms(lab.lateWithin(request.sentAt, attempt.at()))) {
            late++; // the lab was held up for that long, by its own clock, between the client's byte and the replica's reading
        } else if (over > 0) {
            add(Rule.DEADLINE, request, attempt, "an attempt was told of " + told + " s when its client had " + leftMs + " ms left");
        }
    }

    private void add(Rule rule, SoakRequest request, SoakReplicas.Attempt attempt, String why) {
        String at = LocalTime.now().minusNanos(System.nanoTime() - attempt.at()).toString();
        breaks.add(new SoakBreak(rule, at + " request " + request.id + ", sent " + ms(attempt.at() - request.sentAt) + " ms before: " + why
                + "; the lab was late by " + ms(lab.lateWithin(request.sentAt, attempt.at())) + " ms meanwhile"));
    }

    private static long ms(long ns) { return TimeUnit.NANOSECONDS.toMillis(ns); }
}
