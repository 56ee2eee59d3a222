package streamproxy.transport;

import java.util.concurrent.atomic.AtomicInteger;

/** How many sockets the program may hold at once; whoever opens one takes a place and gives it back. */
public final class DescriptorBudget {
    private final AtomicInteger left;

    public DescriptorBudget(int places) { left = new AtomicInteger(places); }

    /** Takes a place, if more than {@code spare} are left; the spare ones are kept for others. */
    public boolean tryTake(int spare) {
        while (true) {
            int now = left.get();
            if (now <= spare) {
                return false;
            }
            if (left.compareAndSet(now, now - 1)) {
                return true;
            }
        }
    }

    public void giveBack() { left.incrementAndGet(); }

    public int left() { return left.get(); }
}
