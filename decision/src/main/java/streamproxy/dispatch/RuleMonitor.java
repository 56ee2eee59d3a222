package streamproxy.dispatch;

import java.util.function.BiConsumer;
import streamproxy.streams.StreamDefect;

/** What the gates have kept back, and what was broken all the same, counted for operators. Any thread may use it. */
public final class RuleMonitor {
    private final EnumCounters<Rule> broken = new EnumCounters<>(Rule.class);
    private final EnumCounters<AttemptGate.Verdict> notSent = new EnumCounters<>(AttemptGate.Verdict.class);
    private final EnumCounters<StreamDefect> incomplete = new EnumCounters<>(StreamDefect.class);
    private final BiConsumer<Rule, String> told;

    /** @param told is told each rule that is broken and the request's id; it does not wait */
    public RuleMonitor(BiConsumer<Rule, String> told) { this.told = told; }

    /** One that tells nobody. */
    public static RuleMonitor silent() { return new RuleMonitor((rule, id) -> { }); }

    /** The rule was broken for that request. */
    public void broken(Rule rule, String requestId) {
        broken.count(rule);
        told.accept(rule, requestId);
    }

    /** An attempt was kept back. */
    public void notSent(AttemptGate.Verdict why) { notSent.count(why); }

    /** A stream whose beginning its client had got was not complete, and was broken off. */
    public void incomplete(StreamDefect why) { incomplete.count(why); }

    /** How often that rule was broken so far. */
    public long brokenSoFar(Rule rule) { return broken.of(rule); }

    /** The counts in one line, such as {@code rules broken: none; attempts not sent: client_left 3; streams incomplete: no_done 1}. */
    @Override public String toString() {
        return "rules broken: " + orNone(broken) + "; attempts not sent: " + orNone(notSent) + "; streams incomplete: " + orNone(incomplete);
    }

    private static String orNone(EnumCounters<?> counters) {
        String counted = counters.toString();
        return counted.isEmpty() ? "none" : counted;
    }
}
