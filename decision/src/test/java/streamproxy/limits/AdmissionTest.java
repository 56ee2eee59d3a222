package streamproxy.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import streamproxy.limits.Admission.Newcomer;

class AdmissionTest {
    private static final long MS = 1_000_000L;

    private static final class Guest extends Admission.Guest { }

    private static ConnectionLimits limits(int clients, int active, int perAddress) {
        return new ConnectionLimits(clients, active, perAddress, Double.POSITIVE_INFINITY, 10, 10, 10, 3_000 * MS,
                2_000 * MS);
    }

    private final Admission admission = new Admission(limits(3, 2, 2), 500 * MS);

    private Guest taken(String from, long now) {
        Guest guest = new Guest();
        assertEquals(Newcomer.TAKEN, admission.comes(guest, from, now));
        return guest;
    }

    @Test void oneThatWasServedGoesBeforeOneThatHasSaidNothingAndThatBeforeASlowRequest() {
        Guest slow = taken("a", 0);
        Guest mute = taken("b", 1);
        Guest served = taken("c", 2);
        assertTrue(admission.asks(slow, 10 * MS));
        assertTrue(admission.asks(served, 10 * MS));
        admission.keeps(served);
        admission.rests(served, 20 * MS);
        assertEquals(Newcomer.AFTER_ANOTHER, admission.comes(new Guest(), "d", 30 * MS));
        assertSame(served, admission.spare(30 * MS));
        admission.ends(served);
        assertSame(mute, admission.spare(30 * MS));
        admission.ends(mute);
        assertNull(admission.spare(30 * MS), "it has been coming for 20 ms only");
        assertSame(slow, admission.spare(510 * MS));
        admission.keeps(slow);
        assertNull(admission.spare(900 * MS), "it is whole: it is owed an answer");
    }

    @Test void theLongestIdleGoesFirst() {
        Guest first = taken("a", 0);
        Guest second = taken("b", 1);
        for (Guest guest : List.of(second, first)) {
            admission.asks(guest, 5);
            admission.rests(guest, 6);
        }
        assertSame(second, admission.spare(10));
    }

    @Test void whereAllPlacesAreHeldByRequestsANewcomerWaitsOutside() {
        Admission full = new Admission(limits(1, 1, 9), 500 * MS);
        Guest only = new Guest();
        full.comes(only, "a", 0);
        full.asks(only, 0);
        full.keeps(only);
        assertEquals(Newcomer.NO_PLACE, full.comes(new Guest(), "b", 1));
        full.ends(only);
        assertEquals(Newcomer.TAKEN, full.comes(new Guest(), "b", 2));
    }

    @Test void anAddressHoldsNoMoreThanItsShareAndGetsItBack() {
        Guest one = taken("flood", 0);
        taken("flood", 0);
        Guest third = new Guest();
        assertEquals(Newcomer.ADDRESS_FULL, admission.comes(third, "flood", 0));
        assertFalse(admission.ends(third), "it was never counted");
        assertEquals(Newcomer.TAKEN, admission.comes(new Guest(), "other", 0));
        admission.ends(one);
        assertEquals(Newcomer.TAKEN, admission.comes(third, "flood", 0));
        assertEquals(1, admission.counts().addressFull());
    }

    @Test void noMoreRequestsThanMayBeActiveAndOneThatPartsMakesRoomForAnother() {
        Guest one = taken("a", 0);
        Guest two = taken("b", 0);
        Guest three = taken("c", 0);
        assertTrue(admission.asks(one, 0));
        assertTrue(admission.asks(two, 0));
        assertFalse(admission.asks(three, 0));
        assertEquals(1, admission.counts().activeFull());
        admission.lingers(three);
        admission.lingers(one);
        assertEquals(1, admission.counts().active());
        assertEquals(3, admission.held(), "each is held until it is closed");
        assertNull(admission.spare(0));
        assertThrows(IllegalStateException.class, () -> admission.asks(two, 0));
    }

    @Test void aLowerLimitTakesNothingAwayAndHoldsForThoseThatCome() {
        taken("a", 0);
        taken("b", 0);
        admission.change(limits(1, 1, 9));
        assertEquals(2, admission.held());
        assertEquals(Newcomer.AFTER_ANOTHER, admission.comes(new Guest(), "c", 0));
        assertTrue(admission.asks((Guest) admission.spare(0), 0));
    }

    @Test void whereTheSystemGivesFewerDescriptorsThanStatedClientsLeaveSomeToTheBoxes() {
        Admission stated = new Admission(limits(100, 50, 100), 500 * MS);
        List<Guest> guests = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            guests.add(new Guest());
            assertEquals(Newcomer.TAKEN, stated.comes(guests.get(i), "a", i));
        }
        assertEquals(36, stated.outOfDescriptors(50));
        assertEquals(Newcomer.AFTER_ANOTHER, stated.comes(new Guest(), "a", 50));
        for (int i = 0; i < 40; i++) {
            assertEquals(i < 36, stated.asks(guests.get(i), 50), "active connection " + i);
        }
        stated.change(limits(100, 50, 100));
        assertEquals(Newcomer.TAKEN, stated.comes(new Guest(), "a", 50), "a reload starts anew");
    }

    @Test void aLimitThatOneWantOfDescriptorsHasLoweredRisesAgainByItself() {
        Admission stated = new Admission(limits(100, 50, 100), 500 * MS);
        taken(stated, 40);
        stated.outOfDescriptors(0);
        assertTrue(stated.isFull());
        assertTrue(stated.recover(60_000 * MS), "whole again after a minute");
        assertEquals(100, stated.clientsMost());
        assertFalse(stated.isFull());
    }

    @Test void aWantOfDescriptorsWithFewClientsTurnsNoRequestAway() {
        Admission stated = new Admission(limits(100, 50, 100), 500 * MS);
        Guest one = new Guest();
        Guest two = new Guest();
        stated.comes(one, "a", 0);
        stated.comes(two, "a", 0);
        stated.outOfDescriptors(0);
        assertTrue(stated.asks(one, 0));
        assertTrue(stated.asks(two, 0));
        assertFalse(stated.isFull());
    }

    private static void taken(Admission admission, int count) {
        for (int i = 0; i < count; i++) {
            assertEquals(Newcomer.TAKEN, admission.comes(new Guest(), "a", 0));
        }
    }

    /** Whatever the order of events, what is counted is what is there. */
    @Property(tries = 200, seed = "815") void theCountsAreThoseOfAPlainList(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        ConnectionLimits limits = limits(8, 3, 4);
        Admission counted = new Admission(limits, 0);
        List<Guest> held = new ArrayList<>();
        List<Guest> active = new ArrayList<>();
        List<Guest> quiet = new ArrayList<>();
        for (int step = 0; step < 500; step++) {
            Guest any = held.isEmpty() ? null : held.get(random.nextInt(held.size()));
            switch (random.nextInt(5)) {
                case 0, 1 -> {
                    Guest guest = new Guest();
                    if (counted.comes(guest, random.nextInt(3), step) == Newcomer.TAKEN) {
                        held.add(guest);
                        quiet.add(guest);
                    } else {
                        assertTrue(held.size() == 8 || counted.counts().addressFull() > 0);
                    }
                }
                case 2 -> {
                    if (any != null && quiet.contains(any)) {
                        boolean room = active.size() < 3;
                        assertEquals(room, counted.asks(any, step));
                        quiet.remove(any);
                        if (room) {
                            active.add(any);
                        } else {
                            counted.lingers(any);
                        }
                    }
                }
                case 3 -> {
                    if (any != null && active.remove(any)) {
                        counted.rests(any, step);
                        quiet.add(any);
                    }
                }
                default -> {
                    if (any != null) {
                        assertTrue(counted.ends(any));
                        held.remove(any);
                        active.remove(any);
                        quiet.remove(any);
                    }
                }
            }
            assertEquals(held.size(), counted.held());
            assertEquals(active.size(), counted.counts().active());
            assertTrue(counted.held() <= 8);
            Admission.Guest spare = counted.spare(step);
            assertEquals(quiet.isEmpty() && active.isEmpty(), spare == null);
            assertTrue(quiet.isEmpty() || quiet.contains(spare), "an idle one goes before a request");
        }
    }
}
