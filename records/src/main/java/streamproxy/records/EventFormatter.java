package streamproxy.records;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** The one place that puts events into words. */
public final class EventFormatter {
    private static final double MS = 1e6;

    /** Params of one element as they gather; what has no value is left out. */
    private static final class Params {
        private final List<EventText.Param> params = new ArrayList<>();

        Params text(Names name, String value) {
            if (value != null && !value.isEmpty()) {
                params.add(name.with(value));
            }
            return this;
        }

        Params count(Names name, long value) { return value < 0 ? this : text(name, Long.toString(value)); }

        Params ms(Names name, long ns) { return ns < 0 ? this : text(name, millis(ns)); }

        List<EventText.Element> in(String element) { return List.of(new EventText.Element(element, true, params)); }
    }

    private EventFormatter() { }

    /** The event in words. */
    public static EventText of(Event event) {
        if (event instanceof Event.Answered e) {
            return answered(e);
        } else if (event instanceof Event.AttemptEnded e) {
            List<EventText.Element> said = new Params().text(Names.ATTEMPT_ID, e.id()).count(Names.ATTEMPT_NUMBER, e.number())
                    .text(Names.ATTEMPT_BOX, e.tried().box()).text(Names.ATTEMPT_OUTCOME, e.tried().outcome())
                    .text(Names.ATTEMPT_DECISION, e.tried().decision()).ms(Names.ATTEMPT_TOOK, e.tried().tookNs())
                    .ms(Names.ATTEMPT_REPORT, e.reportNs()).in("attempt");
            return told(event, EventText.INFO, said, "attempt " + e.number() + " at " + e.tried().box() + ": " + e.tried().outcome());
        } else if (event instanceof Event.Probed e) {
            List<EventText.Element> said = new Params().text(Names.PROBE_BOX, e.box()).text(Names.PROBE_OUTCOME, e.outcome())
                    .ms(Names.PROBE_TOOK, e.tookNs()).in("probe");
            return told(event, EventText.INFO, said, "probe of " + e.box() + ": " + e.outcome());
        } else if (event instanceof Event.BoxChanged e) {
            List<EventText.Element> said = new Params().text(Names.BOX_ID, e.box()).text(Names.BOX_STATE, e.state())
                    .text(Names.BOX_ENDPOINT, e.endpoint()).text(Names.BOX_WHY, e.why()).in("box");
            boolean warns = e.state().equals("left_out") || e.state().equals("stalls");
            return told(event, warns ? EventText.WARNING : EventText.NOTICE, said, "box " + e.box() + " is " + e.state());
        } else if (event instanceof Event.ListChanged e) {
            List<EventText.Element> said = new Params().text(Names.LIST_FORM, e.form()).count(Names.LIST_NAMED, e.named())
                    .count(Names.LIST_KNOWN, e.known()).in("list");
            return told(event, e.form().equals("failed") || e.form().equals("unconfirmed") ? EventText.WARNING : EventText.INFO, said, "the box list: " + e.form());
        } else if (event instanceof Event.Reloaded e) {
            boolean done = e.why().isEmpty();
            List<EventText.Element> said = new Params().text(Names.RELOAD_RESULT, done ? "done" : "refused").text(Names.RELOAD_WHY, e.why())
                    .in("reload");
            return told(event, done ? EventText.NOTICE : EventText.ERROR, said, done ? "the configuration was read anew" : e.why());
        } else if (event instanceof Event.PhaseEntered e) {
            return told(event, EventText.NOTICE, new Params().text(Names.PHASE_NAME, e.phase()).text(Names.PHASE_AFTER, e.after()).in("phase"),
                    e.phase() + " after " + e.after());
        } else if (event instanceof Event.Standstill e) {
            String state = e.stands() ? "stands" : "turns";
            List<EventText.Element> said = new Params().text(Names.STANDSTILL_WHO, e.who()).text(Names.STANDSTILL_STATE, state)
                    .ms(Names.STANDSTILL_FOR, e.forNs()).text(Names.STANDSTILL_WHERE, e.where()).in("standstill");
            return told(event, EventText.WARNING, said, e.who() + (e.stands() ? " stood still for " : " turns again after ") + millis(e.forNs())
                    + " ms");
        } else if (event instanceof Event.DutyChanged e) {
            List<EventText.Element> said = new Params().text(Names.DUTY_NAME, e.duty()).text(Names.DUTY_STATE, e.state())
                    .text(Names.DUTY_BEFORE, e.before()).count(Names.DUTY_FENCE, e.fence()).in("duty");
            boolean lapsed = e.state().equals("watching") && e.before().equals("holding");
            return told(event, lapsed ? EventText.WARNING : EventText.NOTICE, said, "duty " + e.duty() + ": " + e.state() + " after " + e.before());
        }
        if (event instanceof Event.RuleBroken e) {
            List<EventText.Element> said = new Params().text(Names.RULE_NAME, e.rule()).text(Names.RULE_ID, e.id()).in("rule");
            return told(event, EventText.WARNING, said, "rule broken: " + e.rule() + ", request " + e.id());
        }
        return queue((Event.QueueState) event);
    }

    private static EventText answered(Event.Answered e) {
        Params params = new Params().text(Names.REQUEST_ID, e.id()).text(Names.REQUEST_END, e.how().word())
                .text(Names.REQUEST_CLASS, e.clazz()).text(Names.REQUEST_TENANT, e.tenant())
                .text(Names.REQUEST_KEY, e.key() == 0 ? "" : Long.toHexString(e.key())).text(Names.REQUEST_BOX, e.box())
                .text(Names.REQUEST_DECISION, e.decision()).ms(Names.REQUEST_BUDGET, e.budgetNs()).ms(Names.REQUEST_WAIT, e.waitNs())
                .ms(Names.REQUEST_CONNECT, e.connectNs()).ms(Names.REQUEST_FIRST, e.firstNs()).ms(Names.REQUEST_WHOLE, e.wholeNs())
                .count(Names.REQUEST_TOKENS, e.tokens()).count(Names.REQUEST_KEPT, e.keptTokens()).count(Names.REQUEST_BYTES, e.bytes())
                .ms(Names.REQUEST_RETRY, e.retryNs());
        for (int i = 0; i < e.attempts().size(); i++) {
            Event.Tried tried = e.attempts().get(i);
            params.text(Names.REQUEST_TRIED, i + " " + tried.box() + " " + tried.outcome() + " " + tried.decision() + " "
                    + (tried.tookNs() < 0 ? "-" : millis(tried.tookNs())));
        }
        int severity = switch (e.how()) {
            case SERVED, LEFT -> EventText.INFO;
            case REFUSED -> EventText.NOTICE;
            default -> EventText.WARNING;
        };
        String sentence = e.clazz() + " " + e.how().word() + (e.box().isEmpty() ? "" : " by " + e.box())
                + (e.wholeNs() < 0 ? "" : " after " + millis(e.wholeNs()) + " ms");
        return told(e, severity, params.in("request"), sentence);
    }

    private static EventText queue(Event.QueueState e) {
        long dropped = e.dropped().stream().mapToLong(n -> n).sum();
        Params params = new Params().text(Names.QUEUE_COLLECTOR, e.collector()).count(Names.QUEUE_SENT, e.sent())
                .count(Names.QUEUE_DROPPED, dropped);
        for (Event.Kind kind : Event.Kind.values()) {
            long of = kind.ordinal() < e.dropped().size() ? e.dropped().get(kind.ordinal()) : 0;
            if (of > 0) {
                params.params.add(new EventText.Param("dropped_" + kind.word(), Long.toString(of), Names.QUEUE_DROPPED_OF.worth()));
            }
        }
        params.count(Names.QUEUE_WAITING, e.waiting()).count(Names.QUEUE_CONNECTS, e.connects());
        return told(e, dropped > 0 ? EventText.WARNING : EventText.INFO, params.in("queue"),
                dropped > 0 ? dropped + " records were dropped" : e.sent() + " records were sent");
    }

    private static EventText told(Event event, int severity, List<EventText.Element> elements, String sentence) {
        return new EventText(event.atMs(), event.kind(), severity, elements, sentence);
    }

    private static String millis(long ns) { return String.format(Locale.ROOT, "%.3f", ns / MS); }
}
