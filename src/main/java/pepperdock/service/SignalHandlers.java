package pepperdock.service;

import java.lang.reflect.Proxy;

/**
 * Handles signals of the system in place of the JVM's default, which is to end. By reflection: the compiler warns of the JDK's
 * unsupported module that holds them, and has no switch for it. Stateless.
 */
final class SignalHandlers {

    private static final System.Logger LOG = System.getLogger("pepperdock");

    private SignalHandlers() {}

    /** Runs a task, on a thread of the JVM's own, whenever the signal comes. */
    static void on(String name, Runnable then) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object ours = Proxy.newProxyInstance(
                    SignalHandlers.class.getClassLoader(), new Class<?>[] {handler}, (proxy, method, args) -> {
                        switch (method.getName()) {
                            case "handle" -> then.run();
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
                    .invoke(null, signal.getConstructor(String.class).newInstance(name), ours);
        } catch (ReflectiveOperationException e) {
            LOG.log(System.Logger.Level.WARNING, "no handler for SIG{0}: {1}", name, e);
        }
    }
}
