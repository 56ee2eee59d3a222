package streamproxy.program;

import java.lang.reflect.Proxy;

/**
 * Signals. The JDK tells of them in {@code sun.misc.Signal} alone, a class that javac warns of and lets nobody silence; so
 * it is reached by its name.
 */
final class Signals {
    private Signals() { }

    /** From now on the signal of that name, such as HUP, runs this, each time on a thread of its own, and does nothing else. */
    static void handle(String name, Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object acts = Proxy.newProxyInstance(Signals.class.getClassLoader(), new Class<?>[] {handler}, (self, method, with) -> {
                action.run();
                return null;
            });
            signal.getMethod("handle", signal, handler).invoke(null, signal.getConstructor(String.class).newInstance(name), acts);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("SIG" + name + " cannot be handled here", e);
        }
    }
}
