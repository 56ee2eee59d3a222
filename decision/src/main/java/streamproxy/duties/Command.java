package streamproxy.duties;

import java.util.Objects;

/**
 * What a member asks of the {@link Ledger}. Each names the member, the session that asks, and a number that the session
 * uses once: a command that comes twice is answered twice and done once. Lengths are nanoseconds of a monotonic clock.
 */
public sealed interface Command {
    /** Whose command it is, and which of that session's. */
    record From(String member, long session, long number) {
        public From {
            Objects.requireNonNull(member, "member");
            if (member.isEmpty() || number <= 0) {
                throw new IllegalArgumentException("from '" + member + "', number " + number);
            }
        }
    }

    From from();

    /** The duty that it is about; null where it is about members. */
    default String duty() { return null; }

    /**
     * A process of the member begins, with a session never used before; commands of the member's earlier sessions are
     * refused from then on. What these hold stays theirs until it lapses: the earlier process may still be acting.
     *
     * @param folder  identity of the folder that it runs from
     * @param start   how often a process has started from that folder, this one counted
     * @param terms   what the fleet reckons leases by; all members must have the same
     * @param replace whether the member may come with another folder than the one it is known by
     */
    record Open(From from, long folder, long start, LeaseTimes terms, boolean replace) implements Command { }

    /** The member leaves for good: its duties are free once they lapse, its name may come again with any folder. */
    record Depart(From from, String who) implements Command { }

    /**
     * Asks for a duty that was seen free or lapsed. Refused unless the duty is as it was seen: a renewal since then means
     * that its holder lives.
     *
     * @param fence    of the duty as it was seen
     * @param renewals of the duty as it was seen
     */
    record Take(From from, String duty, long fence, long renewals) implements Command { }

    /** Says that the holder still wants the duty. */
    record Renew(From from, String duty, long fence) implements Command { }

    /**
     * Says that the holder has stopped. {@code next} is to have it, empty where anybody may; the others leave it time to
     * take the duty, but the ledger, which knows no time, refuses nobody for that.
     */
    record Release(From from, String duty, long fence, String next) implements Command { }

    /**
     * Says that the holder has not been heard for its lease and is over: the duty is free. Refused, as {@link Take} is, unless
     * the duty is as it was seen.
     */
    record Vacate(From from, String duty, long fence, long renewals) implements Command { }

    /** Tells what the member's ledger summed up to at that place of the log; see {@link DivergenceCheck}. It changes nothing. */
    record Mark(From from, long place, int sum) implements Command { }

    /** Asks the holder, whoever it is, to hand the duty on; {@code to} is empty where anybody may have it. */
    record HandOn(From from, String duty, String to) implements Command { }
}
