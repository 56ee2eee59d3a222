package streamproxy.transport;

import streamproxy.timing.TimerWheel;

/** A timing wheel for all threads, with one of its own on which timers go off; what goes off must not keep it. */
public final class Timers {
    private static final int TICK_SHIFT = 20;
    private static final long MS = 1_000_000L;

    private final TimerWheel wheel = new TimerWheel(TICK_SHIFT, System.nanoTime());
    private long wakesAt = Long.MAX_VALUE;

    public void start() { Threads.startAtStart("timers", this::run); }

    /** Sets the timer to go off so long from now; one that is set is moved. */
    public synchronized void set(TimerWheel.Timer timer, long afterNs) {
        wheel.set(timer, System.nanoTime() + afterNs);
        if (wheel.nextAt() < wakesAt) {
            notifyAll();
        }
    }

    /** Ends the timer; false where it was not set. */
    public synchronized boolean end(TimerWheel.Timer timer) { return wheel.end(timer); }

    private synchronized void run() {
        try {
            while (true) {
                long now = System.nanoTime();
                try {
                    wheel.advance(now);
                } catch (RuntimeException | Error e) { // without this thread no timer of the process would go off any more
                    SafeLog.error(e, "the timers go on after");
                }
                wakesAt = wheel.nextAt();
                if (wakesAt == Long.MAX_VALUE) {
                    wait();
                } else if (wakesAt > now) {
                    wait((wakesAt - now + MS - 1) / MS);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
