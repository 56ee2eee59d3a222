package streamproxy.lab.fleet;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.LocalTime;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.junit.Test;
import streamproxy.protocol.Json;

/** Three routers as processes, and what happens to one duty as they are killed, stalled and told to leave. */
public class DutyIntegrationTest extends FleetStory {
    private static final long DAY_MS = 86_400_000;

    @Test public void aHolderThatIsKilledIsFollowedByAnotherAndComesBackWithoutTheDuty() throws Exception {
        DaemonProcess killed = holder();
        long fence = actors.last(DUTY).fence();
        killed.kill();
        Actors.Last next = awaitAct("another holds it", fence);
        assertTrue(!next.who().equals(killed.name()));
        killed.start();
        DaemonProcess.await("it is a member again", 60, killed::isWell);
        fleet.awaitAlike(60);
        assertEquals(next.who(), actors.last(DUTY).who());
    }

    @Test public void aHolderThatIsAskedToHandsOnToWhomItIsAskedFor() throws Exception {
        String from = holder().name();
        long fence = actors.last(DUTY).fence();
        DaemonProcess to = fleet.all().stream().filter(d -> !d.name().equals(from)).findFirst().orElseThrow();
        DaemonProcess.await("it is a member", 60, to::isWell);
        assertEquals(200, to.call("POST", "/admin/fleet/hand-on/" + DUTY + "/" + to.name()).status());
        assertEquals(to.name(), awaitAct("another holds it", fence).who());
        assertEquals("no such member", 409, to.call("POST", "/admin/fleet/hand-on/" + DUTY + "/r9").status());
    }

    @Test public void aHolderThatIsStalledForLongerThanItsLeaseHoldsNothingWhenItGoesOn() throws Exception {
        DaemonProcess stalled = holder();
        long fence = actors.last(DUTY).fence();
        stalled.stall();
        awaitAct("another holds it", fence);
        stalled.goOn();
        DaemonProcess.await("it answers again", 60, () -> !stalled.status().isEmpty());
        assertTrue("its lease is over by its own clock", !holds(stalled));
    }

    /** Whether it keeps the duty each time is chance; that no two act by it at once the auditor sees to. */
    @Test public void aHolderStalledAgainAndAgainForALittleLessThanItsLeaseIsNeverOneOfTwo() throws Exception {
        for (int i = 0; i < 5; i++) {
            DaemonProcess stalled = holder();
            Actors.Last before = actors.last(DUTY);
            stalled.stall();
            long until = observed.now() + (long) (0.9e9 * LEASE_S);
            DaemonProcess.await("a little less than a lease has passed", 60, () -> observed.now() > until);
            stalled.goOn();
            DaemonProcess.await("somebody acts again", 60, () -> actors.last(DUTY).at() > Math.max(until, before.at()));
        }
    }

    @Test public void aBoxIsOwnedByAnotherWhenItsOwnerDiesOrIsStoppedAndByItAgainWhenItIsBack() throws Exception {
        DaemonProcess.await("all have their part", 60, () -> fleet.all().subList(0, 3).stream().allMatch(DutyIntegrationTest::hasItsPart));
        Actors.Last first = awaitOwner("it is owned", owner -> true);
        DaemonProcess owner = fleet.all().stream().filter(d -> d.name().equals(first.who())).findFirst().orElseThrow();
        owner.kill();
        awaitOwner("another owns it", last -> !last.who().equals(owner.name()));
        owner.start();
        awaitOwner("it is given back", last -> last.who().equals(owner.name()));
        owner.stall();
        awaitOwner("another owns it", last -> !last.who().equals(owner.name()));
        owner.goOn();
        awaitOwner("it is given back", last -> last.who().equals(owner.name()));
        owner.terminate();
        awaitOwner("another owns it", last -> !last.who().equals(owner.name()));
    }

    private static boolean hasItsPart(DaemonProcess daemon) {
        return Boolean.TRUE.equals(daemon.status().get("divides")) && daemon.status().get("live") instanceof List<?> live && live.size() == 3;
    }

    private Actors.Last awaitOwner(String what, Predicate<Actors.Last> so) throws InterruptedException {
        DaemonProcess.await(what, 60, () -> actors.last(BOX) != null && so.test(actors.last(BOX)));
        return actors.last(BOX);
    }

    @Test public void aHolderThatNobodyHearsGivesUpByItselfBeforeAnotherBegins() throws Exception {
        DaemonProcess deaf = holder();
        long fence = actors.last(DUTY).fence();
        int who = fleet.all().indexOf(deaf);
        for (int other = 0; other < 3; other++) {
            if (other != who) {
                fleet.links().set(who, other, Links.State.SILENT); // what it sends; it hears the others still
            }
        }
        awaitAct("another holds it", fence);
        assertTrue("it is asked after the other has acted", !holds(deaf));
        fleet.links().around(who, Links.State.CUT);
        assertEquals("it serves", 200, deaf.get("/admin/health").status());
        fleet.links().around(who, Links.State.OPEN);
        DaemonProcess.await("it hears who leads", 60, deaf::isWell);
    }

    @Test public void aLeaderThatHearsNobodyLeadsNoMore() throws Exception {
        DaemonProcess.await("all are members", 60, () -> fleet.all().subList(0, 3).stream().allMatch(DaemonProcess::isWell));
        int leads = Integer.parseInt(String.valueOf(fleet.get(0).status().get("leader")).substring(1));
        for (int other = 0; other < 3; other++) {
            if (other != leads) {
                fleet.links().set(other, leads, Links.State.SILENT); // the others hear it still, and so they would wait for it
            }
        }
        awaitAct("another leads, and a duty is held by it", actors.last(DUTY).fence());
        fleet.links().around(leads, Links.State.OPEN);
        DaemonProcess.await("it follows", 60, () -> fleet.get(leads).isWell());
    }

    @Test public void withoutAMajorityNobodyHoldsAndEverybodyServes() throws Exception {
        long fence = actors.last(DUTY).fence();
        DaemonProcess left = fleet.get(2);
        fleet.get(0).kill();
        fleet.get(1).kill();
        DaemonProcess.await("its lease is over", 60, () -> !holds(left) && "".equals(left.status().get("leader")));
        assertEquals(200, left.get("/admin/health").status());
        fleet.get(1).start();
        awaitAct("two of three are a majority", fence);
    }

    @Test public void routersThatAreAllToRestartLeaveOneAfterAnother() throws Exception {
        List<DaemonProcess> three = fleet.all().subList(0, 3);
        DaemonProcess.await("all are members", 60, () -> three.stream().allMatch(DaemonProcess::isWell));
        three.forEach(DaemonProcess::terminate);
        List<Thread> restarts = new ArrayList<>();
        for (DaemonProcess one : three) {
            Thread restart = new Thread(() -> restart(one));
            restart.start();
            restarts.add(restart);
        }
        for (Thread restart : restarts) {
            restart.join();
        }
        DaemonProcess.await("all are members again", 60, () -> three.stream().allMatch(DaemonProcess::isWell));
        List<long[]> away = new ArrayList<>();
        for (DaemonProcess one : three) {
            List<String> times = one.log().lines().filter(line -> line.contains("LEAVING after") || line.contains("is answered")).toList();
            assertEquals("each has left once: " + times, 2, times.size());
            away.add(times.stream().mapToLong(DutyIntegrationTest::msOfDay).toArray());
        }
        long first = away.stream().mapToLong(times -> times[0]).min().orElseThrow(); // over midnight they are after it, too
        away.sort(Comparator.comparingLong(times -> Math.floorMod(times[0] - first, DAY_MS)));
        boolean midnight = away.stream().anyMatch(times -> Math.abs(times[0] - first) > DAY_MS / 2);
        for (int i = 1; i < 3 && !midnight; i++) {
            assertTrue("one began to leave before another had", away.get(i)[0] >= away.get(i - 1)[1]);
        }
    }

    @Test public void aRouterThatWaitsForItsTurnLeavesWhenAnOperatorOverrules() throws Exception {
        DaemonProcess.await("all are members", 60, () -> fleet.all().subList(0, 3).stream().allMatch(DaemonProcess::isWell));
        fleet.get(0).kill();
        fleet.get(1).kill(); // no majority, so no turn, and it would wait for 60 s
        DaemonProcess waits = fleet.get(2);
        waits.terminate();
        DaemonProcess.await("it asks for its turn", 60, () -> logged(waits, "turn to leave: ASKING") || logged(waits, "turn to leave: WATCHING"));
        assertTrue("it serves meanwhile", waits.isAlive());
        assertEquals(200, waits.call("POST", "/admin/fleet/overrule").status());
        assertEquals(0, waits.process().waitFor());
        assertTrue(!logged(waits, "no turn to leave within"));
    }

    private static boolean logged(DaemonProcess daemon, String words) {
        try {
            return daemon.log().contains(words);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void restart(DaemonProcess one) {
        try {
            one.process().waitFor();
            one.start();
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static long msOfDay(String line) { return LocalTime.parse(line.substring(0, 12)).toNanoOfDay() / 1_000_000; }

    @Test public void aHolderWhoseActsFailGivesTheDutyUp() throws Exception {
        Actors.Last held = actors.last(DUTY);
        DaemonProcess cutOff = holder();
        String failed = "/admin/fleet/acted/" + DUTY + "/" + held.fence() + "/failed";
        for (int i = 0; i < 3; i++) {
            assertEquals(200, cutOff.call("POST", failed).status());
        }
        assertTrue(!awaitAct("another holds it", held.fence()).who().equals(held.who()));
        assertEquals("too late to count", 409, cutOff.call("POST", failed).status());
    }

    @Test public void anActThatWasHeldUpBetweenCheckAndDoingIsRefusedByItsFence() throws Exception {
        long asked = observed.now();
        DaemonProcess slow = holder();
        DaemonProcess.Reply told = slow.get("/admin/fleet/duty/" + DUTY);
        long fence = Long.parseLong(((Json.Number) told.json().get("fence")).text());
        slow.stall();
        awaitAct("another holds it", fence);
        slow.goOn();
        assertTrue("it was told yes, and comes a lease late", !actors.act(DUTY, slow.name(), fence, asked));
    }

    @Test public void oneJoinsOneLeavesForGoodAndComesBackUnderItsNameWithAnEmptyFolder() throws Exception {
        DaemonProcess asked = fleet.get(0);
        DaemonProcess fourth = fleet.get(3);
        fourth.start();
        DaemonProcess.await("it answers", 60, () -> !fourth.status().isEmpty());
        assertEquals(202, asked.call("POST", "/admin/fleet/join/r3/" + fleet.address(3)).status());
        DaemonProcess.await("the fourth is in, and follows", 60, () -> fourth.isWell() && in(asked, "r3"));
        DaemonProcess leaves = fleet.get(1);
        DaemonProcess.await("no other change is under way", 60, () -> asked.call("POST", "/admin/fleet/leave/r1").status() == 202);
        DaemonProcess.await("it is out", 60, () -> asked.status().containsKey("peers") && !in(asked, "r1"));
        leaves.kill();
        comesBackWithAnEmptyFolder(leaves, asked);
    }

    /**
     * The consensus' leader is to leave, and dies before the others have agreed on it: one of them is stopped, and without it
     * there is no majority of those that stay. Whoever leads next has the change half agreed on, and goes through with it.
     */
    @Test public void aLeaderWhoseOwnLeavingIsHalfAgreedOnAsItDiesComesBackWithAnEmptyFolder() throws Exception {
        DaemonProcess.await("all know who leads", 60, () -> fleet.all().subList(0, 3).stream().allMatch(DaemonProcess::isWell));
        String leader = String.valueOf(fleet.get(0).status().get("leader"));
        DaemonProcess leaves = fleet.all().stream().filter(d -> d.name().equals(leader)).findFirst().orElseThrow();
        List<DaemonProcess> others = fleet.all().subList(0, 3).stream().filter(d -> d != leaves).toList();
        DaemonProcess asked = others.get(0);
        others.get(1).stall();
        DaemonProcess.await("it is begun", 60, () -> asked.call("POST", "/admin/fleet/leave/" + leader).status() == 202);
        DaemonProcess.await("it is half agreed on", 60, () -> Boolean.TRUE.equals(asked.status().get("changing")));
        assertTrue("who is to leave is in until all is agreed", in(asked, leader));
        leaves.kill();
        others.get(1).goOn();
        DaemonProcess.await("it is out", 60, () -> asked.status().containsKey("peers") && !in(asked, leader));
        comesBackWithAnEmptyFolder(leaves, asked);
    }

    private void comesBackWithAnEmptyFolder(DaemonProcess left, DaemonProcess asked) throws Exception {
        try (Stream<Path> inside = Files.walk(folder.getRoot().toPath().resolve(left.name()))) {
            inside.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
        String join = "/admin/fleet/join/" + left.name() + "/" + fleet.address(Integer.parseInt(left.name().substring(1))) + "/votes";
        DaemonProcess again = fleet.like(JAR, left, "[fleet]", "[fleet]\njoins = yes");
        again.start();
        try {
            DaemonProcess.await("it answers", 60, () -> !again.status().isEmpty());
            DaemonProcess.await("it is taken in", 60, () -> asked.call("POST", join).status() == 202);
            DaemonProcess.await("it is in again", 60, () -> again.isWell() && in(asked, left.name()));
        } finally {
            again.kill();
        }
    }

    @Test public void oneJoinsWhileTheHolderDiesAndTakesItsPlaceForGood() throws Exception {
        DaemonProcess dies = holder();
        long fence = actors.last(DUTY).fence();
        DaemonProcess fourth = fleet.get(3);
        fourth.start();
        DaemonProcess.await("it answers", 60, () -> !fourth.status().isEmpty());
        DaemonProcess asked = fleet.all().stream().filter(d -> d != dies && d != fourth).findFirst().orElseThrow();
        dies.kill();
        DaemonProcess.await("it is taken in", 60, () -> asked.call("POST", "/admin/fleet/join/r3/" + fleet.address(3) + "/votes").status() == 202);
        awaitAct("another holds the duty", fence);
        DaemonProcess.await("the fourth is in, and follows", 60, () -> fourth.isWell() && in(asked, "r3"));
        DaemonProcess.await("no other change is under way", 60, () -> asked.call("POST", "/admin/fleet/leave/" + dies.name()).status() == 202);
        DaemonProcess.await("the dead one is out", 60, () -> asked.status().containsKey("peers") && !in(asked, dies.name()));
        fleet.awaitAlike(60);
    }

    private static boolean in(DaemonProcess asked, String name) {
        return asked.status().get("peers") instanceof List<?> peers && peers.stream().anyMatch(p -> name.equals(Json.object(p).get("name")));
    }

    @Test public void aFolderOfAnotherProcessOrAnotherFleetIsRefusedInOneLine() throws Exception {
        assertEquals(List.of("another process runs from this folder"), refusal("lease_s", "lease_s"));
        fleet.get(0).kill();
        assertEquals(List.of("fleet: it is of lab, not of other"), refusal("id = lab", "id = other"));
    }

    private List<String> refusal(String what, String instead) throws IOException, InterruptedException {
        DaemonProcess second = fleet.like(JAR, fleet.get(0), what, instead);
        long before = fleet.get(0).log().lines().count();
        second.start();
        assertEquals(3, second.process().waitFor());
        return fleet.get(0).log().lines().skip(before).filter(line -> line.startsWith("streamproxy: "))
                .map(line -> line.replaceFirst(".*(another process|fleet: it).*", "$0").replaceFirst("streamproxy: [^ ]*: (member.properties: )?", "")).toList();
    }
}
