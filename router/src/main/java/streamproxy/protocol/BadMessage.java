package streamproxy.protocol;

import java.io.IOException;

/** A message that breaks HTTP or the protocol; a client's gets {@link #status} as its answer. */
public final class BadMessage extends IOException {
    private static final long serialVersionUID = 1L;

    private final int status;

    public BadMessage(int status, String what) {
        super(what);
        this.status = status;
    }

    public int status() { return status; }
}
