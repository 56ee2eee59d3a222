package streamproxy.lab.soak;

import java.util.List;
import java.util.concurrent.TimeUnit;
import streamproxy.lab.soak.SoakBreak.Rule;

/** Judges a life's requests once it is over: what clients were told. */
final class SoakAudit {
    /** Such a close may have crossed the request: the router cannot have read it. */
    private static final long CROSSED_NS = TimeUnit.MILLISECONDS.toNanos(100);
    /** Requests that come so long after SIGTERM need not be answered before the kill. */
    private static final long TERM_GRACE_NS = TimeUnit.MILLISECONDS.toNanos(700);

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

    void judge() { requests.forEach(this::judge); }

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
                if (!replicas.brokeOff(request)) {
                    add(Rule.UNANSWERED, request, "its stream was cut off, and not by its replica: " + request.note);
                } else if (replicas.heardLate(request)) {
                    add(Rule.ENDED_LATE, request, "its client heard late that its stream had ended: " + request.note);
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

    private void add(Rule rule, SoakRequest request, String why) {
        breaks.add(new SoakBreak(rule, "request " + request.id + ", sent " + ms(request.sentAt - terminatedAt) + " ms from SIGTERM: " + why));
    }

    private static long ms(long ns) { return TimeUnit.NANOSECONDS.toMillis(ns); }
}
