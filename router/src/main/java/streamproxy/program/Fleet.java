package streamproxy.program;

import java.io.IOException;
import java.util.function.Consumer;
import streamproxy.records.Event;

/** What a router asks of the others of its fleet. Alone it has none, and nothing of this costs anything. */
public interface Fleet {
    /** A router by itself, as the platform runs it. */
    Fleet ALONE = new Fleet() { };

    /** Comes back once this router may leave, or has waited for its turn for as long as it does. */
    default void awaitTurnToLeave() throws InterruptedException { }

    /** All that was taken is answered, and the process is about to end. */
    default void left() throws IOException, InterruptedException { }

    /**
     * Answers an operator's call of a path under {@code /admin/fleet} within half a second; null where there is no such
     * call, as for a router alone.
     */
    default Reply call(String method, String path) { return null; }

    /** Whom to tell what becomes of duties: once, before the router starts. Null where nobody wants records. */
    default void tell(Consumer<Event> records) { }

    /** An answer to an operator: a status of HTTP and JSON. */
    record Reply(int status, String json) { }
}
