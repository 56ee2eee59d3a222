package streamproxy.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static streamproxy.decision.Rig.MS;
import static streamproxy.decision.Rig.ready;
import static streamproxy.decision.Rig.safe;
import static streamproxy.decision.Rig.settings;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import streamproxy.decision.Routing.ListForm;
import streamproxy.decision.Routing.Reports;

/** Whom the module refuses under a backlog: neither the longest prompts of a class nor whole sessions. */
class SheddingTest {
    private static final int REQUESTS = 4_000;
    private static final int SESSIONS = 400;
    /** So many requests come while as many replicas are behind. */
    private static final int PHASE = 100;
    private static final long REPLICAS = 5;

    private record Prompt(double tokens, int session, boolean answered) { }

    /** Prompts of very different lengths, while in turns most replicas report a backlog and half of them do. */
    private static List<Prompt> play(double scale, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Rig rig = new Rig(settings(0, 1, Reports.PULL, false, safe()), seed);
        rig.list(ListForm.FULL, ready(1), ready(2), ready(3), ready(4), ready(5));
        List<Prompt> prompts = new ArrayList<>();
        for (int request = 0; request < REQUESTS; request++) {
            int behind = request / PHASE % 2 == 0 ? 80 : 50;
            for (long replica = 1; replica <= REPLICAS; replica++) {
                rig.report(replica, random.nextInt(100) < behind ? 50 * scale : 0);
            }
            double tokens = scale * Math.exp(1.2 * random.nextGaussian());
            int session = random.nextInt(SESSIONS);
            rig.on(new Routing.Arrival(request, rig.classAt(0), 0, session + 1, 0, tokens, 0, 100, 8_000 * MS, -1, false));
            rig.pass(20 * MS);
            boolean sent = !rig.sends(request).isEmpty();
            prompts.add(new Prompt(tokens, session, sent));
            if (sent) {
                rig.serve(request);
            }
            rig.actions.clear();
        }
        return prompts;
    }

    private static double answered(List<Prompt> prompts) {
        return prompts.stream().filter(Prompt::answered).count() / (double) prompts.size();
    }

    /** Two thirds of the class's answered share on a quiet day are wanted, whatever a prompt's usual length. */
    @Test void theLongestPromptsOfAClassAreAnsweredNearlyAsOftenAsTheOthers() {
        for (double scale : new double[] {10, 1_000, 20_000}) {
            List<Prompt> prompts = play(scale, 41);
            double all = answered(prompts);
            assertTrue(all > 0.2 && all < 0.98, "some are refused, and not all: " + all);
            List<Prompt> byLength = prompts.stream().sorted(Comparator.comparingDouble(Prompt::tokens).reversed()).toList();
            double longest = answered(byLength.subList(0, REQUESTS / 10));
            double next = answered(byLength.subList(REQUESTS / 10, REQUESTS * 3 / 10));
            assertTrue(longest >= 2 / 3.0 * all, "scale " + scale + ": " + longest + " of the longest, " + all + " of all");
            assertTrue(next >= 2 / 3.0 * all, "scale " + scale + ": " + next + " of the next, " + all + " of all");
        }
    }

    /** A session of ten turns, each refused as often as all are, is hardly ever refused throughout. */
    @Test void noSessionIsRefusedTurnAfterTurn() {
        List<Prompt> prompts = play(1_000, 43);
        double refused = 1 - answered(prompts);
        long throughout = 0;
        double expected = 0;
        for (int session = 0; session < SESSIONS; session++) {
            int number = session;
            List<Prompt> turns = prompts.stream().filter(p -> p.session == number).toList();
            throughout += !turns.isEmpty() && turns.stream().noneMatch(Prompt::answered) ? 1 : 0;
            expected += Math.pow(refused, turns.size());
        }
        double beyondChance = (throughout - expected) / SESSIONS;
        assertTrue(beyondChance <= 0.12, throughout + " sessions refused throughout, by chance " + expected);
    }
}
