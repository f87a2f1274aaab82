package pepperdock.service;

import java.lang.reflect.Proxy;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Handles signals of the operating system in place of the JVM's default, which is to exit. It uses reflection because
 * the compiler warns of the JDK's unsupported module with the signal API, and has no option to suppress that.
 * Thread-safe.
 */
final class SignalHandlers {

    private static final System.Logger LOG = System.getLogger("pepperdock");

    /** Names of signals that have arrived while they were held. */
    private static final Set<String> ARRIVED_WHILE_HELD = ConcurrentHashMap.newKeySet();

    private SignalHandlers() {}

    /** Holds a signal until {@link #on} is called for it: it is handled then, and does not end the process before. */
    static void hold(String name) {
        install(name, () -> ARRIVED_WHILE_HELD.add(name));
    }

    /** Runs a task on a thread of the JVM whenever the signal arrives, and at once if it arrived while it was held. */
    static void on(String name, Runnable task) {
        install(name, task);
        if (ARRIVED_WHILE_HELD.remove(name)) {
            task.run();
        }
    }

    private static void install(String name, Runnable task) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object signalHandler = Proxy.newProxyInstance(
                    SignalHandlers.class.getClassLoader(), new Class<?>[] {handler}, (proxy, method, args) -> {
                        switch (method.getName()) {
                            case "handle" -> task.run();
                            case "hashCode" -> {
                                return System.identityHashCode(proxy);
                            }
                            case "equals" -> {
                                return proxy == args[0];
                            }
                            default -> {
                                return name;
                            }
                        }
                        return null;
                    });
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance(name), signalHandler);
        } catch (ReflectiveOperationException e) {
            LOG.log(System.Logger.Level.WARNING, "cannot install a handler for SIG{0}: {1}", name, e);
        }
    }
}
