package streamproxy.duties;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import streamproxy.duties.World.Flaw;
import streamproxy.duties.World.Node;

/**
 * Every order in which commands are agreed on, answers come or are lost, replicas catch up, time passes, members pause
 * between a check and its act, and a process begins anew: two members and one duty, up to a depth.
 */
class ExplorerTest {
    /** Three of them fall between the end of a wait without drift and that of a lease on a slow clock. */
    private static final long TICK = 32;
    private static final LeaseTimes TERMS = new LeaseTimes(100, World.DRIFT_PPM, 0);
    private static final int TICKS = 4;

    /** One step: its kind, and whom or what it concerns. */
    private record Choice(char kind, int which) { }

    private record Found(String why, List<Choice> how) { }

    private int states;

    private static World play(Flaw flaw, List<Choice> choices) {
        World world = new World(2, TERMS, flaw);
        for (Node node : world.nodes) {
            while (world.lags(node)) {
                world.apply(node);
            }
        }
        choices.forEach(choice -> take(world, choice));
        return world;
    }

    private static void take(World world, Choice choice) {
        int which = choice.which;
        switch (choice.kind) {
            case 'n' -> world.next(world.nodes.get(which));
            case 'c' -> world.commit(which, false);
            case 'l' -> world.commands.remove(which);
            case 'a' -> world.answer(which);
            case 'r' -> world.apply(world.nodes.get(which));
            case 't' -> world.pass(TICK);
            case 'b' -> world.begin(world.nodes.get(which));
            case 'd' -> world.act(world.nodes.get(which));
            default -> world.crash(world.nodes.get(which), false);
        }
        world.check();
    }

    private static List<Choice> choices(World world, List<Choice> so) {
        List<Choice> choices = new ArrayList<>();
        for (int i = 0; i < world.nodes.size(); i++) {
            Node node = world.nodes.get(i);
            if (world.hasNext(node) && world.commands.size() < 2) {
                choices.add(new Choice('n', i));
            }
            if (world.lags(node)) {
                choices.add(new Choice('r', i));
            }
            if (node.act != Lease.NONE) {
                choices.add(new Choice('d', i));
            } else if (node.lease.mayAct(world.clock(node))) {
                choices.add(new Choice('b', i));
            }
        }
        for (int i = 0; i < world.commands.size(); i++) {
            choices.add(new Choice('c', i));
        }
        for (int i = 0; i < world.answers.size(); i++) {
            choices.add(new Choice('a', i));
        }
        if (!world.commands.isEmpty()) {
            choices.add(new Choice('l', 0));
        }
        if (so.stream().filter(c -> c.kind == 't').count() < TICKS) {
            choices.add(new Choice('t', 0));
        }
        if (so.stream().noneMatch(c -> c.kind == 'x') && world.ledger.duty(World.DUTY).fence() > 0) {
            choices.add(new Choice('x', 0));
        }
        return choices;
    }

    private Found explore(Flaw flaw, int depth, int most) {
        Set<String> seen = new HashSet<>();
        List<List<Choice>> front = List.of(List.of());
        for (int at = 0; at < depth; at++) {
            List<List<Choice>> next = new ArrayList<>();
            for (List<Choice> so : front) {
                for (Choice choice : choices(play(flaw, so), so)) {
                    List<Choice> then = new ArrayList<>(so);
                    then.add(choice);
                    try {
                        if (seen.add(play(flaw, then).fingerprint())) {
                            next.add(then);
                        }
                    } catch (AssertionError e) {
                        return new Found(e.getMessage(), then);
                    }
                }
            }
            front = next;
            states = seen.size();
            if (states > most) {
                System.out.println(flaw + ": depth " + (at + 1) + ", " + states + " states");
                return null;
            }
        }
        System.out.println(flaw + ": depth " + depth + ", " + states + " states");
        return null;
    }

    @Test void twoNeverActAtOnceInAnyOrderOfEvents() {
        Found found = explore(Flaw.NONE, Integer.getInteger("explorer.depth", 9), 5_000_000);
        assertNull(found);
        assertTrue(states > 5_000, states + " states");
    }

    /** A fence that is not compared takes fifteen steps to show: the walks of SimulationTest find it. */
    @ParameterizedTest @EnumSource(names = {"NONE", "FENCE_NOT_COMPARED"}, mode = EnumSource.Mode.EXCLUDE)
    void whatIsBrokenIsFound(Flaw flaw) {
        Found found = explore(flaw, 16, 400_000);
        assertNotNull(found, flaw + " was not found in " + states + " states");
        System.out.println(flaw + ": " + found + " after " + states + " states");
    }
}
