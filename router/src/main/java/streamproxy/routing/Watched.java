package streamproxy.routing;

/** Something that takes turns, as its {@link Watchdog} sees it. Any thread may ask. */
interface Watched {
    /** How many turns it has taken. */
    long turns();

    /** Whether it is at work, has messages, or has rested for as long as it wanted to. */
    boolean isDue(long now);

    /** Its thread; null before it has one. */
    Thread thread();

    /** Messages that found no room. */
    long turnedAway();
}
