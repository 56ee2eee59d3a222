package streamproxy.routing;

/** What may be sent to cold boxes, divided among the routers of a fleet. A router alone goes by its module's own rule. */
public interface ColdShares {
    /** A router by itself. */
    ColdShares NONE = new ColdShares() { };

    /** The module of this router. */
    interface Module {
        /** So many prompts a second may go to that box, for so long from now, in nanoseconds. */
        void granted(long box, double perS, long forNs);
    }

    /** Whom to tell what is granted: once, before anything else here. */
    default void begin(Module module) { }

    /** The module says that a box is cold, as {@link streamproxy.decision.Routing.Actions#cold} has it; it must not wait. */
    default void cold(long box, double share, double begunPerS) { }
}
