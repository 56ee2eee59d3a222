package streamproxy.lab.soak;

import java.util.SplittableRandom;

/**
 * How a router's process comes to be.
 *
 * @param killAfterMs  so long after its first start it is killed (SIGKILL) and started anew; 0: it is not
 * @param threadsMost  more threads than that cannot be made at first; 0: any number can
 * @param shortForMs   for so long
 */
record Birth(long killAfterMs, int threadsMost, long shortForMs) {
    /** One start, with all that it needs. */
    static final Birth PLAIN = new Birth(0, 0, 0);

    /** When monitoring saw the kills of the incident. */
    private static final int KILL_MS = 1_300;
    private static final int KILL_MOST_MS = 2_000;
    /** Fewer than a router has threads of its own, and more than the JVM alone has. */
    private static final int THREADS_LEAST = 16;
    private static final int THREADS_END = 34;
    private static final int SHORT_MOST_MS = 3_000;

    /** What a seed draws: kills at the incident's time or at any moment of the start, and a shortage of threads meanwhile. */
    static Birth of(long seed) {
        SplittableRandom random = new SplittableRandom(seed ^ 0xB127L);
        long kill = switch (random.nextInt(3)) {
            case 0 -> 0;
            case 1 -> KILL_MS;
            default -> random.nextInt(1, KILL_MOST_MS);
        };
        boolean isShort = random.nextInt(3) == 0;
        return new Birth(kill, isShort ? random.nextInt(THREADS_LEAST, THREADS_END) : 0, isShort ? random.nextInt(1, SHORT_MOST_MS) : 0);
    }
}
