package streamproxy.transport;

import java.io.IOException;

/** Why a connection could not be accepted: what this process holds, or a state of the machine or of one connection that passes. */
enum AcceptFailure {
    /** EMFILE: this process holds as many descriptors as it may. */
    PROCESS_DESCRIPTORS,
    /** ENFILE, ENOBUFS, ENOMEM, ECONNABORTED, EPROTO and the network's errors: the next try may succeed. */
    PASSING;

    /** The system's text for EMFILE; that for ENFILE goes on with "in system". */
    private static final String EMFILE = "Too many open files";

    static AcceptFailure of(IOException failure) {
        return EMFILE.equals(failure.getMessage()) ? PROCESS_DESCRIPTORS : PASSING;
    }
}
