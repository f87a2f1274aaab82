package pepperdock.service;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;
import pepperdock.config.Config;
import pepperdock.config.ConfigException;
import pepperdock.config.Keys;
import pepperdock.config.Site;
import pepperdock.core.WorkerEndpoint;

/**
 * Reads the configuration file anew on SIGHUP. Guards against the JVM's own handling of that signal, which is to end.
 * The file is read and checked whole on a thread of its own and only then put into use, on the loop; a faulty one leaves
 * all as it was. What can't change while the program runs is named in the log.
 */
final class Reload {

    private static final System.Logger LOG = System.getLogger("pepperdock");
    /** Of no concern to a running program: the seed is new in each file, the list held is older than our own. */
    private static final List<String> PASSED_OVER = List.of("seed", "known");
    /** What the platform's files have: one of these that is gone is a file cut short, not a part switched off. */
    private static final List<String> PLATFORM =
            List.of("name", "listen", "discovery", "seed", "limits", "known", "settings");

    /** What can change live; an absent one is null. */
    record Live(
            Consumer<InetSocketAddress> discovery,
            Consumer<List<WorkerEndpoint>> known,
            Consumer<Integer> sockets,
            Consumer<Config> settings) {}

    /** Without the address of discovery: that of a start goes before the file, but can't be changed since. */
    private final Map<String, String> env;

    private final Consumer<Runnable> loop;
    private final Live live;
    private final Consumer<Boolean> told;
    private final boolean stored;
    private Keys current;

    /**
     * {@code current} is the file now in use, with the settings in use; {@code stored} says that these came from the store and
     * that the file need not have any; {@code told} is told of each file, on the loop.
     */
    Reload(
            Map<String, String> env,
            Keys current,
            boolean stored,
            Consumer<Runnable> loop,
            Live live,
            Consumer<Boolean> told) {
        this.told = told;
        this.stored = stored;
        this.env = new HashMap<>(env);
        this.env.remove("EDGE_DISCOVERY");
        this.current = current;
        this.loop = loop;
        this.live = live;
    }

    /** From here on SIGHUP reloads; signals that come close together are served in turn. */
    void onSignal() {
        ExecutorService reader = Executors.newSingleThreadExecutor(task -> {
            Thread t = new Thread(task, "reload");
            t.setDaemon(true);
            return t;
        });
        Signals.on("HUP", () -> reader.execute(this::reload));
    }

    /** Whatever is wrong with the file, the program goes on with the one it has. */
    void reload() {
        try {
            Keys read = Config.file(env);
            Keys file = read.has("settings") || !stored ? read : read.with("settings", current);
            for (String key : PLATFORM) {
                if (current.has(key) && !file.has(key)) {
                    throw new ConfigException(key, "missing");
                }
            }
            String lost = current.has("settings") ? current.needed("settings").lost(file.needed("settings")) : null;
            if (lost != null) {
                throw new ConfigException(lost, "missing, but in the file in use");
            }
            Config config = Config.read(file, env);
            List<Runnable> changes = new ArrayList<>();
            List<String> later = new ArrayList<>();
            for (String key : current.differing(file)) {
                Runnable change = change(key, config, file);
                if (change != null) {
                    changes.add(change);
                    if (key.equals("settings")) {
                        later.addAll(Site.laterKeys(current.needed(key), file.needed(key)));
                    }
                } else if (!PASSED_OVER.contains(key)) {
                    later.add(key);
                }
            }
            current = file;
            loop.accept(() -> {
                changes.forEach(Runnable::run);
                told.accept(true);
            });
            LOG.log(System.Logger.Level.INFO, "configuration reloaded");
            if (!later.isEmpty()) {
                LOG.log(
                        System.Logger.Level.WARNING,
                        "configuration: changed, but in use only after a restart: {0}",
                        String.join(", ", later));
            }
        } catch (ConfigException e) {
            LOG.log(System.Logger.Level.ERROR, "configuration not reloaded, the old one stays: {0}", e.getMessage());
            loop.accept(() -> told.accept(false));
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "configuration not reloaded, the old one stays", e);
            loop.accept(() -> told.accept(false));
        }
    }

    private Runnable change(String key, Config config, Keys file) {
        if (key.equals("discovery") && live.discovery() != null && config.discovery() != null) {
            return () -> live.discovery().accept(config.discovery());
        }
        if (key.equals("known") && live.known() != null) {
            return () -> live.known().accept(config.known().hosts());
        }
        if (key.equals("settings") && live.settings() != null) {
            return () -> live.settings().accept(config);
        }
        if (key.equals("limits")) {
            int sockets = Config.sockets(file);
            return () -> live.sockets().accept(sockets);
        }
        return null;
    }
}
