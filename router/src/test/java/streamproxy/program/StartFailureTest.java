package streamproxy.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.io.IOException;
import org.junit.jupiter.api.Test;
import streamproxy.protocol.NodeConfig;
import streamproxy.transport.ResourceShortageException;

class StartFailureTest {
    private static void assertSays(int code, String line, Throwable e) { assertEquals(new StartFailure(code, line), StartFailure.of(e)); }

    @Test void aWantOfTheMachineHasALineAndACodeOfItsOwn() {
        assertSays(4, "streamproxy: cannot start: no thread for module",
                new ResourceShortageException("no thread for module", new OutOfMemoryError("unable to create native thread")));
        assertSays(4, "streamproxy: cannot start: java.lang.OutOfMemoryError: Java heap space", new OutOfMemoryError("Java heap space"));
        assertSays(4, "streamproxy: cannot start: java.io.IOException: socketpair failed",
                new ExceptionInInitializerError(new IOException("socketpair failed")));
    }

    @Test void aConfigurationThatCannotBeUsedIsSaidInOneLine() {
        assertSays(3, "streamproxy: NODE_NAME is not set", new NodeConfig.Unusable("NODE_NAME is not set"));
        assertSays(3, "streamproxy: two lines", new IOException("two\nlines"));
    }

    @Test void aFaultOfTheProgramIsNoFailureOfAStart() { assertNull(StartFailure.of(new IllegalStateException("fault"))); }
}
