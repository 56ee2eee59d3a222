package streamproxy.transport;

/** What one holder has taken of a {@link Budget}, to be given back by closing it. One thread uses it. */
public final class Reservation implements AutoCloseable {
    private final Budget budget;
    private int held;

    private Reservation(Budget budget, int held) {
        this.budget = budget;
        this.held = held;
    }

    /** Takes so much; null where the budget has not as much left. */
    public static Reservation of(Budget budget, int amount) { return budget.tryTake(amount, 0) ? new Reservation(budget, amount) : null; }

    /** Gives back what is held beyond that. */
    public void shrinkTo(int amount) {
        if (amount < held) {
            budget.giveBack(held - amount);
            held = amount;
        }
    }

    @Override public void close() { shrinkTo(0); }
}
