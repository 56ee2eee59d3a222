package streamproxy.duties;

/**
 * A duty as the ledger has it. It is held by one session of one member, or by nobody; that it is held here does not say
 * that its lease still runs, which its holder and its successor each reckon by their own clocks.
 *
 * @param name     the duty's name
 * @param holder   the member; empty where nobody holds it
 * @param session  the holder's
 * @param fence    grows with each holder and never falls: what an act bears
 * @param renewals how often anything was said of it; a successor's wait begins anew with each
 * @param next     who is to have it once it is free; empty where anybody may
 * @param leaving  whether its holder was asked to hand it on
 */
public record Duty(String name, String holder, long session, long fence, long renewals, String next, boolean leaving) {
    static Duty fresh(String name) { return new Duty(name, "", 0, 0, 0, "", false); }

    public boolean isFree() { return holder.isEmpty(); }

    boolean isHeldBy(Command.From who) { return holder.equals(who.member()) && session == who.session(); }

    Duty taken(Command.From by) { return new Duty(name, by.member(), by.session(), fence + 1, renewals + 1, "", false); }

    Duty renewed() { return new Duty(name, holder, session, fence, renewals + 1, next, leaving); }

    Duty released(String to) { return new Duty(name, "", 0, fence, renewals + 1, to, false); }

    /** Asking does not renew: a holder that is gone must not be waited for longer because it was asked. */
    Duty asked(String to) { return new Duty(name, holder, session, fence, renewals, to, true); }
}
