package streamproxy.lab.fleet;

import static org.junit.Assert.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.Test;
import streamproxy.protocol.Json;

/** Three routers as processes among which a thousand duties are spread. */
public class ManyIntegrationTest extends FleetStory {
    private static final int MANY = 1_000;

    @Override double leaseS() { return 3; }

    @Override String duties() {
        return DUTY + ", " + IntStream.range(0, MANY).mapToObj(i -> "many-" + i).collect(Collectors.joining(", "));
    }

    /** How many of them that one says it holds; the names, as no two may. */
    private static Set<String> held(DaemonProcess daemon) {
        Set<String> held = new HashSet<>();
        if (daemon.status().get("here") instanceof List<?> here) {
            for (Object one : here) {
                if ("holding".equals(Json.object(one).get("state")) && String.valueOf(Json.object(one).get("duty")).startsWith("many-")) {
                    held.add(String.valueOf(Json.object(one).get("duty")));
                }
            }
        }
        return held;
    }

    private static void awaitAll(String what, List<DaemonProcess> routers) throws InterruptedException {
        DaemonProcess.await(what, 60, () -> {
            Set<String> all = new HashSet<>();
            int sum = 0;
            for (DaemonProcess one : routers) {
                Set<String> held = held(one);
                sum += held.size();
                all.addAll(held);
            }
            return all.size() == MANY && sum == MANY; // looked at one after another, one that moves may count twice
        });
    }

    @Test public void aThousandDutiesAreSpreadAndThoseOfOneThatDiesGoToTheOthers() throws Exception {
        List<DaemonProcess> three = fleet.all().subList(0, 3);
        awaitAll("all are held", three);
        DaemonProcess dies = three.stream().max((a, b) -> held(a).size() - held(b).size()).orElseThrow();
        assertTrue("it has some: " + held(dies).size(), held(dies).size() >= MANY / 10);
        List<DaemonProcess> left = three.stream().filter(d -> d != dies).toList();
        dies.kill();
        awaitAll("the others hold all", left);
        for (DaemonProcess one : left) {
            assertTrue(one.name() + " has " + held(one).size(), held(one).size() >= MANY / 10);
        }
    }
}
