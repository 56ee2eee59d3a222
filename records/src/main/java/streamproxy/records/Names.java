package streamproxy.records;

import java.util.ArrayList;
import java.util.List;

/** Every name that a record may have, with what it says: what docs/syslog.md lists and {@link EventFormatter} uses. */
public enum Names {
    REQUEST_ID("request", "id", "the client's name of the request (Req-Id)", EventText.Param.ID),
    REQUEST_END("request", "end", "served, broken, refused, failed or left", 8),
    REQUEST_CLASS("request", "class", "its class (Req-Kind)", 8),
    REQUEST_TENANT("request", "tenant", "its tenant; left out where there is none", 5),
    REQUEST_KEY("request", "key", "what it shares with its session, hexadecimal; left out where there is none", 4),
    REQUEST_BOX("request", "box", "the box whose stream it got", 7),
    REQUEST_DECISION("request", "decision", "why that box, or why it was turned away", 7),
    REQUEST_BUDGET("request", "budget_ms", "how long the client would wait", 5),
    REQUEST_WAIT("request", "wait_ms", "in the module, until it was sent to the box that served", 6),
    REQUEST_CONNECT("request", "connect_ms", "from then until its bytes were written there", 6),
    REQUEST_FIRST("request", "first_ms", "until the first event of its answer", 6),
    REQUEST_WHOLE("request", "whole_ms", "until its end", 7),
    REQUEST_TOKENS("request", "tokens", "tokens that the answer told", 3),
    REQUEST_KEPT("request", "kept_tokens", "tokens of its beginning that the box still had", 3),
    REQUEST_BYTES("request", "bytes", "bytes of the answer's events", 2),
    REQUEST_RETRY("request", "retry_ms", "what it was told to wait before it tries again", 3),
    REQUEST_TRIED("request", "tried", "one for each attempt: number, box, outcome, decision, milliseconds", 1),
    ATTEMPT_ID("attempt", "id", "the request's", EventText.Param.ID),
    ATTEMPT_NUMBER("attempt", "number", "from 0", 8),
    ATTEMPT_BOX("attempt", "box", "the box that it was sent to", 7),
    ATTEMPT_OUTCOME("attempt", "outcome", "ok, error, full, timeout, connect_failed, reset, cancelled or moot", 7),
    ATTEMPT_DECISION("attempt", "decision", "why that box", 5),
    ATTEMPT_TOOK("attempt", "took_ms", "from its sending to its end", 6),
    ATTEMPT_REPORT("attempt", "report_ms", "the age of the box's load report when it was chosen; left out where there was none", 4),
    PROBE_BOX("probe", "box", "the box that was asked", 7),
    PROBE_OUTCOME("probe", "outcome", "ok, error, timeout, connect_failed or reset", 8),
    PROBE_TOOK("probe", "took_ms", "from its sending to its end", 6),
    BOX_ID("box", "id", "the box's uid", EventText.Param.ID),
    BOX_STATE("box", "state", "ready, draining, gone, left_out, taken_back or stalls", 8),
    BOX_ENDPOINT("box", "endpoint", "where it listens", 5),
    BOX_WHY("box", "why", "what it was left out for, or stalls by", 5),
    LIST_FORM("list", "form", "full, delta, cached, failed, unconfirmed or confirmed (again)", 8),
    LIST_NAMED("list", "named", "boxes that it named", 5),
    LIST_KNOWN("list", "known", "boxes known now", 5),
    RELOAD_RESULT("reload", "result", "done or refused", 8),
    RELOAD_WHY("reload", "why", "what is wrong with the file", 5),
    PHASE_NAME("phase", "name", "starting, serving, reloading, leaving, finishing or stopped", 8),
    PHASE_AFTER("phase", "after", "the one before", 5),
    STANDSTILL_WHO("standstill", "who", "the actor, or process for all of it", EventText.Param.ID),
    STANDSTILL_STATE("standstill", "state", "stands or turns (again)", 8),
    STANDSTILL_FOR("standstill", "for_ms", "how long it has stood", 7),
    STANDSTILL_WHERE("standstill", "where", "the top of its thread's stack, innermost first", 3),
    DUTY_NAME("duty", "name", "the duty among the fleet", EventText.Param.ID),
    DUTY_STATE("duty", "state", "watching, asking, holding, stopping or releasing", 8),
    DUTY_BEFORE("duty", "before", "the state before: watching after holding has lapsed", 6),
    DUTY_FENCE("duty", "fence", "the number that its acts bear", 7),
    RULE_NAME("rule", "name", "deadline_told, sent_too_late, answered_twice, closed_unanswered or answered_late", 8),
    RULE_ID("rule", "id", "the request's", EventText.Param.ID),
    QUEUE_COLLECTOR("queue", "collector", "the collector's name in the operator's file", EventText.Param.ID),
    QUEUE_SENT("queue", "sent", "records handed to its transport since the last record of this kind", 8),
    QUEUE_DROPPED("queue", "dropped", "records given up since then, of all kinds", 8),
    QUEUE_DROPPED_OF("queue", "dropped_KIND", "of these, the ones of that kind; left out where there are none", 6),
    QUEUE_WAITING("queue", "waiting", "records in the queue now", 7),
    QUEUE_CONNECTS("queue", "connects", "connections made since then", 4);

    private final String element;
    private final String word;
    private final String says;
    private final int worth;

    Names(String element, String word, String says, int worth) {
        this.element = element;
        this.word = word;
        this.says = says;
        this.worth = worth;
    }

    public String element() { return element; }

    public String word() { return word; }

    /** What it says, in a few words. */
    public String says() { return says; }

    /** The later it is cut from a record that is too long, the higher. */
    public int worth() { return worth; }

    EventText.Param with(String value) { return new EventText.Param(word, value, worth); }

    /** All of them as rows of a table in Markdown. */
    public static List<String> rows() {
        List<String> rows = new ArrayList<>();
        for (Names name : values()) {
            rows.add("| `" + name.element + "` | `" + name.word + "` | " + name.says + " |");
        }
        return rows;
    }
}
