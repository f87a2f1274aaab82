package pepperdock.service;

import java.lang.reflect.Proxy;

/**
 * Handles signals of the operating system in place of the JVM's default, which is to exit. It uses reflection because
 * the compiler warns of the JDK's unsupported module with the signal API, and has no option to suppress that.
 * Stateless.
 */
final class SignalHandlers {

    private static final System.Logger LOG = System.getLogger("pepperdock");

    private SignalHandlers() {}

    /** Runs a task on a thread of the JVM whenever the signal arrives. */
    static void on(String name, Runnable task) {
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
