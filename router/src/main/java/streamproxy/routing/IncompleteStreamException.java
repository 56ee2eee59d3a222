package streamproxy.routing;

import java.io.IOException;
import streamproxy.streams.StreamDefect;

/** A replica's stream has ended, or can never end, as a complete one. */
final class IncompleteStreamException extends IOException {
    private static final long serialVersionUID = 1L;

    private final StreamDefect defect;

    IncompleteStreamException(StreamDefect defect) {
        super("incomplete stream: " + defect);
        this.defect = defect;
    }

    StreamDefect defect() { return defect; }
}
