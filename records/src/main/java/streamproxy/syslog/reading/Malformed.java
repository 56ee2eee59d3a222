package streamproxy.syslog.reading;

/** A message that the grammar does not allow; {@link #column} counts its bytes from 1. */
public final class Malformed extends Exception {
    private static final long serialVersionUID = 1L;

    private final int column;

    public Malformed(int column, String why) {
        super(why);
        this.column = column;
    }

    public int column() { return column; }
}
