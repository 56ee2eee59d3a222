package streamproxy.program;

import java.lang.reflect.Field;
import java.lang.reflect.Proxy;
import java.util.HashMap;
import java.util.Hashtable;
import java.util.Map;
import org.tinylog.Logger;

/**
 * Signals. The JDK tells of them in {@code sun.misc.Signal} alone, a class that javac warns of and lets nobody silence; so
 * it is reached by its name.
 *
 * <p>The JDK starts a thread for each signal, and forgets the signal where none can be had. Before that it looks the handler
 * up in a table, on a thread that always exists; where the program may reach that table ({@code Add-Opens} in the jar's
 * manifest) the look-up itself runs the action.
 */
final class Signals {
    private static final String JDK_SIGNAL = "jdk.internal.misc.Signal";
    private static final String JDK_TABLE = "handlers";

    /** The JDK's table of handlers, which runs a signal's action when it is asked for its handler. */
    private static final class TellingTable extends Hashtable<Object, Object> {
        private static final long serialVersionUID = 1L;

        private final transient Map<Object, Runnable> actions = new HashMap<>();

        TellingTable(Hashtable<?, ?> handlers, Map<String, Runnable> byName) {
            super(handlers);
            handlers.forEach((signal, handler) -> {
                Runnable action = byName.get(signal.toString());
                if (action != null) {
                    actions.put(signal, action);
                }
            });
        }

        @Override public Object get(Object signal) {
            Runnable action = actions.get(signal);
            if (action != null) {
                action.run();
            }
            return super.get(signal);
        }

        @Override public boolean equals(Object other) { return this == other; }

        @Override public int hashCode() { return System.identityHashCode(this); }
    }

    private Signals() { }

    /**
     * From now on each of these signals runs its action, and does nothing else. An action may be run twice for one signal, on
     * threads of the JVM; it must not wait.
     *
     * @param byName the actions by the signals' names, such as SIGHUP
     */
    static void handle(Map<String, Runnable> byName) {
        byName.forEach(Signals::handle);
        tellBeforeThreadStarts(byName);
    }

    private static void handle(String name, Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object acts = Proxy.newProxyInstance(Signals.class.getClassLoader(), new Class<?>[] {handler}, (self, method, with) -> {
                action.run();
                return null;
            });
            String shortName = name.substring("SIG".length());
            signal.getMethod("handle", signal, handler).invoke(null, signal.getConstructor(String.class).newInstance(shortName), acts);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(name + " cannot be handled here", e);
        }
    }

    private static void tellBeforeThreadStarts(Map<String, Runnable> byName) {
        try {
            Field table = Class.forName(JDK_SIGNAL).getDeclaredField(JDK_TABLE);
            table.setAccessible(true);
            table.set(null, new TellingTable((Hashtable<?, ?>) table.get(null), byName));
        } catch (ReflectiveOperationException | RuntimeException e) {
            Logger.debug("a signal needs a thread that can be had: {}", e.getMessage());
        }
    }
}
