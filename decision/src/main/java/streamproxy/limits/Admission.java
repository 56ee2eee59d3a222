package streamproxy.limits;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import streamproxy.limits.EvictionOrder.Rank;

/**
 * Which clients' connections a router takes, keeps and lets ask: it counts the idle and the active ones, those of each
 * address, and says who goes where places are short. It closes nothing itself: its caller does what it says, brings the
 * time in nanoseconds, and lets one thread at a time in.
 */
public final class Admission {
    /** What becomes of a connection that has just come. */
    public enum Newcomer {
        /** It is taken. */
        TAKEN,
        /** All places are held, and the one that {@link Admission#spare} names can be closed for it. */
        AFTER_ANOTHER,
        /** All places are held by requests under way: it waits outside. */
        NO_PLACE,
        /** Its address holds as many as it may: it is closed. */
        ADDRESS_FULL
    }

    /** One client's connection as the admission counts it. */
    public abstract static class Guest extends EvictionOrder.Place {
        private Address address; // null where addresses are not counted
        private boolean active;
        private boolean counted;
        private boolean served;
    }

    private static final class Address {
        private final Object name;
        private int held;

        Address(Object name) { this.name = name; }
    }

    /** How often what was counted. */
    public record Counts(int held, int active, long addressFull, long spared, long activeFull) { }

    private static final double LEFT_TO_CLIENTS = 0.9;
    /** The limit is not lowered below that part of the configured one. */
    private static final int LEAST_PART = 8;

    private final EvictionOrder willing;
    private final Map<Object, Address> addresses = new HashMap<>();
    private ConnectionLimits limits;
    private final RecoveringLimit clientsMost;
    private int held;
    private int active;
    private long addressFull;
    private long spared;
    private long activeFull;

    /** Requests that have been coming for less than {@code slowNs} are not given up for others. */
    public Admission(ConnectionLimits limits, long slowNs) {
        this.limits = Objects.requireNonNull(limits, "limits");
        clientsMost = new RecoveringLimit(limits.clientsMost());
        willing = new EvictionOrder(slowNs);
    }

    /** Other limits from now on; what is held beyond them stays until it ends by itself. */
    public void change(ConnectionLimits newLimits) {
        limits = Objects.requireNonNull(newLimits, "newLimits");
        clientsMost.configure(limits.clientsMost());
    }

    /**
     * The process has no descriptor left although the limits have room: it may hold fewer than the deployment says. Clients
     * hold a tenth less than they do, which leaves some for the replicas, until {@link #recover} raises that again.
     * Returns how many that is.
     */
    public int outOfDescriptors(long now) {
        clientsMost.lower(Math.max((int) (LEFT_TO_CLIENTS * held), limits.clientsMost() / LEAST_PART), now);
        return clientsMost.get();
    }

    /** Raises a limit that {@link #outOfDescriptors} has lowered, where that is due; true where it is whole again. */
    public boolean recover(long now) { return clientsMost.rise(now); }

    /** How many connections clients may hold now. */
    public int clientsMost() { return clientsMost.get(); }

    /** A connection from that address has come; where it is TAKEN it counts from now on. */
    public Newcomer comes(Guest guest, Object from, long now) {
        boolean byAddress = limits.clientsPerAddress() < Integer.MAX_VALUE;
        Address address = byAddress ? addresses.computeIfAbsent(from, Address::new) : null;
        if (address != null && address.held >= limits.clientsPerAddress()) {
            addressFull++;
            return Newcomer.ADDRESS_FULL;
        }
        if (isFull()) {
            dropIfEmpty(address);
            return willing.first(now) != null ? Newcomer.AFTER_ANOTHER : Newcomer.NO_PLACE;
        }
        held++;
        guest.counted = true;
        if (address != null) {
            address.held++;
            guest.address = address;
        }
        willing.enter(guest, Rank.MUTE, now);
        return Newcomer.TAKEN;
    }

    /** Whether all places are held. */
    public boolean isFull() { return held >= clientsMost.get(); }

    /** Who is closed first for the sake of others; null where every one has a request under way. */
    public Guest spare(long now) { return (Guest) willing.first(now); }

    /** It was closed for the sake of others. */
    public void noteSpared() { spared++; }

    /**
     * The first byte of a request has come on it: true where it may be read and worked on. Else it is told to come back;
     * it is held until {@link #ends}.
     */
    public boolean asks(Guest guest, long now) {
        if (!guest.counted || guest.active) {
            throw new IllegalStateException("not idle");
        }
        if (active >= Math.min(limits.activeMost(), clientsMost.get())) {
            activeFull++;
            willing.leave(guest);
            return false;
        }
        active++;
        guest.active = true;
        willing.enter(guest, Rank.READING, now);
        return true;
    }

    /** Nothing takes its place from now on, until it rests or asks again: its request is whole, or at this moment here. */
    public void keeps(Guest guest) { willing.leave(guest); }

    /** It has been told its last word: it is held until {@link #ends}, but no longer active, and nothing is spared by it. */
    public void lingers(Guest guest) {
        willing.leave(guest);
        calm(guest);
    }

    /** A further request is coming right behind the one that was answered. */
    public void asksAgain(Guest guest, long now) { willing.enter(guest, Rank.READING, now); }

    /** It was answered and waits for its next request. */
    public void rests(Guest guest, long now) {
        calm(guest);
        guest.served = true;
        willing.enter(guest, Rank.SERVED, now);
    }

    /** It is closed; false where that was counted already. */
    public boolean ends(Guest guest) {
        if (!guest.counted) {
            return false;
        }
        guest.counted = false;
        held--;
        calm(guest);
        willing.leave(guest);
        if (guest.address != null) {
            guest.address.held--;
            dropIfEmpty(guest.address);
            guest.address = null;
        }
        return true;
    }

    /** How long it may wait for its next request, or its first. */
    public long patienceNs(Guest guest) { return guest.served ? limits.clientIdleNs() : limits.clientMuteNs(); }

    public ConnectionLimits limits() { return limits; }

    /** How many connections are held. */
    public int held() { return held; }

    public Counts counts() { return new Counts(held, active, addressFull, spared, activeFull); }

    private void calm(Guest guest) {
        if (guest.active) {
            guest.active = false;
            active--;
        }
    }

    private void dropIfEmpty(Address address) {
        if (address != null && address.held == 0) {
            addresses.remove(address.name);
        }
    }
}
