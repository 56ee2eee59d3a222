package streamproxy.lab.soak;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import streamproxy.lab.RepeatRule;
import streamproxy.lab.soak.SoakBreak.Rule;

/** Judges whether a request was sent again where the class that it came with allows no repeat. */
final class RepeatAudit {
    /** By the protocol page each time limit is so much longer; a router may be held up for the rest. */
    private static final long SLACK_NS = TimeUnit.MILLISECONDS.toNanos(50 + 150);

    private final SoakReplicas replicas;
    private final LabClock lab;
    private final List<SoakBreak> breaks;

    /** @param lab tells when the lab itself was late */
    RepeatAudit(SoakReplicas replicas, LabClock lab, List<SoakBreak> breaks) {
        this.replicas = replicas;
        this.lab = lab;
        this.breaks = breaks;
    }

    void judge(Map<String, SoakRequest> requests) {
        Map<String, List<SoakReplicas.Attempt>> attempts = replicas.attempts().stream().filter(SoakReplicas.Attempt::whole)
                .collect(Collectors.groupingBy(attempt -> String.valueOf(SoakReplicas.field(attempt.message().head(), "Req-Id"))));
        attempts.forEach((id, all) -> {
            if (requests.containsKey(id)) {
                judge(requests.get(id), all.stream().sorted(Comparator.comparingLong(SoakReplicas.Attempt::at)).toList());
            }
        });
    }

    private void judge(SoakRequest request, List<SoakReplicas.Attempt> attempts) {
        SoakReplicas.Attempt ran = null; // the first that did
        for (SoakReplicas.Attempt attempt : attempts) {
            SoakReplicas.Attempt before = ran;
            if (before != null && request.rules.stream().noneMatch(rule -> allows(rule, before.at(), attempt.at()))) {
                breaks.add(new SoakBreak(Rule.REPEATED, "request " + request.id + " ran again after "
                        + TimeUnit.NANOSECONDS.toMillis(attempt.at() - before.at()) + " ms; its class is one of " + request.rules));
            }
            ran = ran == null && !replicas.turnedAway(attempt) ? attempt : ran;
        }
    }

    private boolean allows(RepeatRule rule, long ranAt, long againAt) {
        return switch (rule) {
            case SAFE -> true;
            case KEYED -> againAt - ranAt <= TimeUnit.MILLISECONDS.toNanos(rule.windowMs()) + SLACK_NS + lab.lateWithin(ranAt, againAt);
            case UNSAFE -> false;
        };
    }
}
