package streamproxy.routing;

import java.io.IOException;
import java.net.SocketTimeoutException;
import streamproxy.decision.Routing.Outcome;
import streamproxy.protocol.BadMessage;
import streamproxy.streams.StreamDefect;

/** What it means for an attempt, and for the stream that its client gets, that something was thrown while it was carried. */
record AttemptFailure(Throwable cause) {
    /** Why a stream that has begun is not complete. */
    StreamDefect defect() {
        if (cause instanceof IncompleteStreamException incomplete) {
            return incomplete.defect();
        }
        if (cause instanceof SocketTimeoutException) {
            return StreamDefect.SILENT;
        }
        if (cause instanceof BadMessage) {
            return StreamDefect.MALFORMED;
        }
        return cause instanceof IOException ? StreamDefect.CONNECTION_ENDED : StreamDefect.ROUTER_FAILED;
    }

    /** @param written whether the last byte of the request may have gone out */
    Outcome outcome(boolean written) {
        if (defect() == StreamDefect.ERROR_EVENT) {
            return Outcome.ERROR;
        }
        return written ? Outcome.RESET : Outcome.CONNECT_FAILED;
    }

    /** Whether this router failed, and not a peer or the way to it. */
    boolean isOwn() { return !(cause instanceof IOException); }

    boolean isSilence() { return cause instanceof SocketTimeoutException; }

    /** Whether the connection ended, or did not answer, rather than said something that cannot be read. */
    boolean isConnectionsEnd() { return cause instanceof IOException && !(cause instanceof BadMessage); }
}
