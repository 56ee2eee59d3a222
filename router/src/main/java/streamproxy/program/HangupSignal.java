package streamproxy.program;

import java.lang.reflect.Proxy;

/**
 * SIGHUP. The JDK tells of signals in {@code sun.misc.Signal} alone, a class that javac warns of and lets nobody
 * silence; so it is reached by its name.
 */
final class HangupSignal {
    private HangupSignal() { }

    /** From now on SIGHUP does not end the program but runs this, on a thread of its own. */
    static void then(Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object acts = Proxy.newProxyInstance(HangupSignal.class.getClassLoader(), new Class<?>[] {handler}, (self, method, with) -> {
                action.run();
                return null;
            });
            signal.getMethod("handle", signal, handler).invoke(null, signal.getConstructor(String.class).newInstance("HUP"), acts);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("SIGHUP cannot be handled here", e);
        }
    }
}
