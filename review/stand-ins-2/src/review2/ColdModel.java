package review2;

import java.util.ArrayDeque;
import java.util.Locale;

/**
 * How an engine fares: it reads one prompt at a time, as fast as it can by then. While it is cold it counts what it is sent, and
 * finds out whether that is more than it bears by the rule of the pages.
 */
public final class ColdModel {
    /** What a warm engine can do, requests a second, and the figures of the settings. */
    public record Terms(double capacity, double start, double rampS, double tip, double fallS) { }

    private static final int WAITING_MOST = 40;
    private final Rig rig;
    public final Engine engine;
    private final Terms terms;
    private final ArrayDeque<Double> arrivals = new ArrayDeque<>();
    private double worst;
    private String worstSaid = "";
    private boolean fallen;
    private double freeAt;

    public ColdModel(Rig rig, Engine engine, Terms terms) {
        this.rig = rig;
        this.engine = engine;
        this.terms = terms;
    }

    /** What it can do now, as a share of what it can once it is warm; its capacity rises evenly. */
    public double can() {
        return engine.bootMs == 0 ? 1
                : Math.min(1, terms.start + (1 - terms.start) * (System.currentTimeMillis() - engine.bootMs) / 1e3 / terms.rampS);
    }

    /** The most that it was sent within the rule's time, as a share of what it bears. */
    public synchronized double worst() { return worst; }

    public synchronized String worstSaid() { return worstSaid; }

    /** A request has come. */
    public synchronized void arrives() {
        double now = rig.ms();
        if (can() >= 1) {
            return;
        }
        arrivals.add(now);
        while (arrivals.peekFirst() < now - terms.fallS * 1e3) {
            arrivals.pollFirst();
        }
        double n = terms.tip * can() * terms.capacity * terms.fallS;
        double most = n < 30 ? n + 3 * Math.sqrt(n) + 3 : n + 2 * Math.sqrt(n) + 2;
        double share = arrivals.size() / most;
        if (share > worst) {
            worst = share;
            worstSaid = String.format(Locale.ROOT, "%s: %d requests in %.1f s at %.2f of its capacity, where it bears %.1f (N = %.1f)", engine.uid,
                    arrivals.size(), terms.fallS, can(), most, n);
        }
        if (share > 1 && !fallen) {
            fallen = true;
            rig.broken(worstSaid);
        }
    }

    /** Waits until its prompt is read; false where too many wait. */
    public boolean read() throws InterruptedException {
        double wait;
        synchronized (this) {
            double now = rig.ms();
            double work = 1e3 / (terms.capacity * can());
            if (freeAt - now > WAITING_MOST * work) {
                return false;
            }
            freeAt = Math.max(freeAt, now) + work;
            wait = freeAt - now;
        }
        Rig.sleep((long) Math.max(1, wait));
        return true;
    }

    /** Its load report. */
    public synchronized String load() {
        double work = 1e3 / (terms.capacity * can());
        double waiting = Math.max(0, (freeAt - rig.ms()) / work);
        return String.format(Locale.ROOT, "{\"lat_ms\":%.1f,\"rif\":%d,\"q\":%d,\"x1\":%.3f}", work + 5, engine.inFlight(), (int) Math.max(0, waiting - 1),
                waiting * 0.4);
    }
}
