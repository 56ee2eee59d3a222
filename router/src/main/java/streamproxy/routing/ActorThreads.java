package streamproxy.routing;

/** The few threads that run all replicas, however many there are; each replica has always the same one. */
public final class ActorThreads {
    /** Two, so that one that waits for room in the module's mailbox does not hold up all. */
    private static final int COUNT = 2;

    private final ActorThread[] threads = new ActorThread[COUNT];
    private final Watchdog watchdog;
    private boolean started;

    public ActorThreads(Watchdog watchdog) {
        this.watchdog = watchdog;
        for (int i = 0; i < COUNT; i++) {
            threads[i] = new ActorThread("replicas " + i);
        }
    }

    /** Starts them, once; what was left to actors before is taken then. */
    public synchronized void start() {
        if (!started) {
            started = true;
            for (ActorThread thread : threads) {
                thread.start(watchdog);
            }
        }
    }

    /** The thread of the actor with that id. */
    ActorThread of(long id) { return threads[(int) Long.remainderUnsigned(id, COUNT)]; }
}
