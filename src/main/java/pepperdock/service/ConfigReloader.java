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
import pepperdock.config.ConfigReader;
import pepperdock.config.DeploymentSettingsReader;
import pepperdock.core.WorkerEndpoint;

/**
 * Reloads the configuration file on SIGHUP, in place of the JVM's default, which is to end. The file is read and checked whole on
 * the thread "reload", and only then put in use, on the loop's thread; a faulty one leaves all as it was. What can't change
 * while the program runs is named in the log.
 */
final class ConfigReloader {

    private static final System.Logger LOG = System.getLogger("pepperdock");
    /** Ignored by a running program: the seed is new in each file, and its endpoint list is older than the current one. */
    private static final List<String> IGNORED = List.of("seed", "known");
    /** Keys of the platform's files: one of these that is missing means a truncated file, not a part switched off. */
    private static final List<String> PLATFORM_KEYS =
            List.of("name", "listen", "discovery", "seed", "limits", "known", "settings");

    /** How to put in use what can change while the program runs; null where that is not in use. */
    record Live(
            Consumer<InetSocketAddress> discovery,
            Consumer<List<WorkerEndpoint>> known,
            Consumer<Integer> sockets,
            Consumer<Config> settings) {}

    /** Without the address of discovery: at the start it takes precedence over the file, but a reload follows the file. */
    private final Map<String, String> env;

    private final Consumer<Runnable> loop;
    private final Live live;
    private final Consumer<Boolean> reloadListener;
    private final boolean stored;
    private ConfigReader current;

    /**
     * Waits for {@link #onSignal}.
     *
     * @param current the file in use, with the settings in use
     * @param stored whether the settings came from the store, so that the file need not have any
     * @param loop runs a task on the loop's thread
     * @param reloadListener gets, on the loop's thread, whether a file was put in use
     */
    ConfigReloader(
            Map<String, String> env,
            ConfigReader current,
            boolean stored,
            Consumer<Runnable> loop,
            Live live,
            Consumer<Boolean> reloadListener) {
        this.reloadListener = reloadListener;
        this.stored = stored;
        this.env = new HashMap<>(env);
        this.env.remove("EDGE_DISCOVERY");
        this.current = current;
        this.loop = loop;
        this.live = live;
    }

    /** Reloads on SIGHUP from now on; signals that come close together are handled in turn. */
    void onSignal() {
        ExecutorService reader = Executors.newSingleThreadExecutor(task -> {
            Thread thread = new Thread(task, "reload");
            thread.setDaemon(true);
            return thread;
        });
        SignalHandlers.on("HUP", () -> reader.execute(this::reload));
    }

    /** Reloads the file; whatever is wrong with it, the program goes on with the one in use. */
    void reload() {
        try {
            ConfigReader read = Config.readFile(env);
            ConfigReader file = read.has("settings") || !stored ? read : read.with("settings", current);
            checkComplete(file);
            Config config = Config.read(file, env);
            List<Runnable> changes = new ArrayList<>();
            List<String> keysForRestart = new ArrayList<>();
            collectChanges(file, config, changes, keysForRestart);
            current = file;
            loop.accept(() -> {
                changes.forEach(Runnable::run);
                reloadListener.accept(true);
            });
            LOG.log(System.Logger.Level.INFO, "configuration reloaded");
            if (!keysForRestart.isEmpty()) {
                LOG.log(
                        System.Logger.Level.WARNING,
                        "configuration: changed, but in use only after a restart: {0}",
                        String.join(", ", keysForRestart));
            }
        } catch (ConfigException e) {
            LOG.log(System.Logger.Level.ERROR, "configuration not reloaded, the old one stays: {0}", e.getMessage());
            loop.accept(() -> reloadListener.accept(false));
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "configuration not reloaded, the old one stays", e);
            loop.accept(() -> reloadListener.accept(false));
        }
    }

    /** Rejects a file that lacks what the one in use has: it may be truncated. */
    private void checkComplete(ConfigReader file) {
        for (String key : PLATFORM_KEYS) {
            if (current.has(key) && !file.has(key)) {
                throw new ConfigException(key, "missing");
            }
        }
        String lost = current.has("settings")
                ? current.requiredObject("settings").firstMissingKey(file.requiredObject("settings"))
                : null;
        if (lost != null) {
            throw new ConfigException(lost, "missing, but in the file in use");
        }
    }

    /** Sorts the keys that differ into changes to make now and keys that need a restart. */
    private void collectChanges(ConfigReader file, Config config, List<Runnable> changes, List<String> keysForRestart) {
        for (String key : current.differingNames(file)) {
            Runnable change = change(key, config, file);
            if (change != null) {
                changes.add(change);
                if (key.equals("settings")) {
                    keysForRestart.addAll(DeploymentSettingsReader.keysForRestart(
                            current.requiredObject(key), file.requiredObject(key)));
                }
            } else if (!IGNORED.contains(key)) {
                keysForRestart.add(key);
            }
        }
    }

    /** Puts a key's new value in use; null where that needs a restart. */
    private Runnable change(String key, Config config, ConfigReader file) {
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
