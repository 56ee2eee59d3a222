package streamproxy.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import streamproxy.decision.Routing;
import streamproxy.protocol.PromptHeaders;
import streamproxy.records.Event;

/**
 * Makes records of what happens here. Where nobody wants any, nothing is made; where somebody does, the event alone is
 * made here, and put into words elsewhere.
 */
public final class Records {
    /** Nobody wants any. */
    public static final Records NONE = new Records(null);

    private static final long UNKNOWN = -1;

    private final Consumer<Event> to;

    /** @param to takes records and does not wait */
    public Records(Consumer<Event> to) { this.to = to; }

    boolean on() { return to != null; }

    private static long nowMs() { return System.currentTimeMillis(); }

    /** What became of a request that the module knew; once both sides are done with it. */
    void answered(Request request) {
        if (to == null) {
            return;
        }
        Attempt bound = request.bound();
        List<Event.Tried> tried = new ArrayList<>(request.attempts.size());
        for (Attempt attempt : request.attempts) {
            tried.add(tried(attempt));
        }
        Request.End end = request.end;
        String decision = word(bound == null ? request.choice : bound.choice);
        long from = request.takenAt;
        to.accept(new Event.Answered(nowMs(), request.prompt.id(), request.prompt.clazz(), request.prompt.tenant(), request.prompt.key(),
                end.how(), bound == null ? "" : bound.replica, decision, tried, request.prompt.deadlineNs(),
                bound == null ? UNKNOWN : bound.sentAt - from,
                bound == null || bound.writtenAt == 0 ? UNKNOWN : bound.writtenAt - bound.sentAt,
                end.firstAt() == 0 ? UNKNOWN : end.firstAt() - from, end.at() - from, end.events(),
                bound == null ? UNKNOWN : bound.keptTokens, end.bytes(), end.retryNs()));
    }

    /** A request was turned away before the module knew of it. */
    void turnedAway(PromptHeaders prompt, String why) {
        if (to != null) {
            to.accept(new Event.Answered(nowMs(), prompt == null ? "-" : prompt.id(), prompt == null ? "-" : prompt.clazz(),
                    prompt == null ? "" : prompt.tenant(), prompt == null ? 0 : prompt.key(), Event.Final.REFUSED, "", why, List.of(),
                    prompt == null ? UNKNOWN : prompt.deadlineNs(), UNKNOWN, UNKNOWN, UNKNOWN, UNKNOWN, UNKNOWN, UNKNOWN, UNKNOWN, UNKNOWN));
        }
    }

    void ended(Attempt attempt) {
        if (to != null) {
            to.accept(new Event.AttemptEnded(nowMs(), attempt.request.prompt.id(), attempt.number, tried(attempt), attempt.reportNs));
        }
    }

    void probed(String uid, Routing.Outcome outcome, long tookNs) {
        if (to != null) {
            to.accept(new Event.Probed(nowMs(), uid, outcome.name().toLowerCase(Locale.ROOT), tookNs));
        }
    }

    void box(String uid, Object endpoint, String state, String why) {
        if (to != null) {
            to.accept(new Event.BoxChanged(nowMs(), uid, endpoint == null ? "" : endpoint.toString().replaceFirst("^.*/", ""), state, why));
        }
    }

    void standstill(String who, boolean stands, long forNs, String where) {
        if (to != null) {
            to.accept(new Event.Standstill(nowMs(), who, stands, forNs, where));
        }
    }

    /** A rule was broken for that request. */
    public void ruleBroken(String rule, String id) {
        if (to != null) {
            to.accept(new Event.RuleBroken(nowMs(), rule, id));
        }
    }

    /** The list has said something in that form, failed, or is confirmed no more or again. */
    void list(String form, int named, int known) {
        if (to != null) {
            to.accept(new Event.ListChanged(nowMs(), form, named, known));
        }
    }

    private static Event.Tried tried(Attempt attempt) {
        return new Event.Tried(attempt.replica, attempt.outcome == null ? "moot" : attempt.outcome.name().toLowerCase(Locale.ROOT),
                word(attempt.choice), attempt.tookNs);
    }

    private static String word(Routing.Choice choice) { return choice == null ? "none" : choice.name().toLowerCase(Locale.ROOT); }
}
