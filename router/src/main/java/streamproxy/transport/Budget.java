package streamproxy.transport;

import java.util.concurrent.atomic.AtomicInteger;

/** How much of something the program may hold at once: whoever takes from it gives back. */
public final class Budget {
    private final AtomicInteger left;

    public Budget(int whole) { left = new AtomicInteger(whole); }

    /** Takes so much if at least {@code spare} stays for others. */
    public boolean tryTake(int amount, int spare) {
        while (true) {
            int now = left.get();
            if (now - amount < spare) {
                return false;
            }
            if (left.compareAndSet(now, now - amount)) {
                return true;
            }
        }
    }

    public void giveBack(int amount) { left.addAndGet(amount); }

    public int left() { return left.get(); }
}
