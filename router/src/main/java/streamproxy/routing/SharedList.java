package streamproxy.routing;

import java.net.InetSocketAddress;

/** The box list as the watch of another router tells it. A router alone has none and does all by itself. */
public interface SharedList {
    /** A router by itself. */
    SharedList NONE = new SharedList() { };

    /** What this router has of the list: from whom, and up to which version; negative where it has none of that service's. */
    record Position(InetSocketAddress service, long version) { }

    /** The box list of this router. None of it waits. */
    interface Follower {
        /** A line that the service at that address has told another router. */
        void line(InetSocketAddress service, String line);

        /**
         * Another router's watch had brought all that the service had at that moment (of {@link System#nanoTime}), which is up
         * to this version.
         */
        void confirmed(InetSocketAddress service, long version, long at);

        /** Whether this router is to have a watch of its own, as the module paces it. */
        void own(boolean wanted);

        /** Another needs the whole list, which is to be asked for once. */
        void whole();

        Position position();
    }

    /** Whom to tell: once, before anything else here. False where it is to begin without a watch of its own. */
    default boolean begin(Follower follower) { return true; }

    /** This router begins a watch of its own, which will tell all that comes after that version. */
    default void follows(InetSocketAddress service, long version) { }

    /** Whether the text of what was told is wanted, in {@link #told} and {@link #taken}; else it is empty there. */
    default boolean wantsText() { return false; }

    /** This router's own watch, or a single call of it, told that line. */
    default void told(InetSocketAddress service, long version, boolean full, String line) { }

    /** The module is told that line, whoever told it here. */
    default void taken(InetSocketAddress service, long version, boolean full, String line) { }

    /** The own watch brought something, if only an empty line. */
    default void alive() { }

    /** The own watch, or the call for it, has failed; or what it told cannot follow on what it had told before. */
    default void failed() { }
}
