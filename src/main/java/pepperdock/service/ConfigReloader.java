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
import pepperdock.config.EndpointListJson;
import pepperdock.core.WorkerEndpoint;

/**
 * Reloads the configuration file on SIGHUP, in place of the JVM's default, which is to exit. The whole file is read and
 * checked on the thread "reload" and then applied on the loop's thread; a faulty file changes nothing. Changed keys
 * that need a restart are logged.
 */
final class ConfigReloader {

    private static final System.Logger LOG = System.getLogger("pepperdock");
    /**
     * Changed keys that are not logged as needing a restart: the seed is new in each file, and the file's endpoint list
     * is older than the current one.
     */
    private static final List<String> IGNORED = List.of("seed", "known");
    /**
     * Keys that files of the platform have. If one that was present is missing, the file is taken to be truncated, and
     * not to switch a feature off.
     */
    private static final List<String> PLATFORM_KEYS =
            List.of("name", "listen", "discovery", "seed", "limits", "known", "settings");

    /** Functions that apply new values while the program runs; null for a feature that is not in use. */
    record ReloadTargets(
            Consumer<InetSocketAddress> discovery,
            Consumer<List<WorkerEndpoint>> known,
            Consumer<Integer> sockets,
            Consumer<Config> settings) {}

    /** The environment without the discovery address, which overrides the file at the start but not at a reload. */
    private final Map<String, String> env;

    private final Consumer<Runnable> loop;
    private final ReloadTargets targets;
    private final Consumer<Boolean> reloadListener;
    private final boolean settingsFromStore;
    /** The file that the program was started with; much of it stays in use until a restart. */
    private final ConfigReader started;

    private ConfigReader current;

    /**
     * Creates a reloader, which does nothing until {@link #installSignalHandler}.
     *
     * @param current the file in use, including the settings in use
     * @param settingsFromStore whether the settings came from the store, so that the file may lack them
     * @param loop runs a task on the loop's thread
     * @param reloadListener is told, on the loop's thread, whether a file was put into use
     */
    ConfigReloader(
            Map<String, String> env,
            ConfigReader current,
            boolean settingsFromStore,
            Consumer<Runnable> loop,
            ReloadTargets targets,
            Consumer<Boolean> reloadListener) {
        this.reloadListener = reloadListener;
        this.settingsFromStore = settingsFromStore;
        this.env = new HashMap<>(env);
        this.env.remove("EDGE_DISCOVERY");
        this.current = current;
        started = current;
        this.loop = loop;
        this.targets = targets;
    }

    /** Installs the SIGHUP handler. Signals in quick succession are handled one after the other. */
    void installSignalHandler() {
        ExecutorService reader = Executors.newSingleThreadExecutor(task -> {
            Thread thread = new Thread(task, "reload");
            thread.setDaemon(true);
            return thread;
        });
        SignalHandlers.on("HUP", () -> reader.execute(this::reload));
    }

    /** Reloads the file. If it has any fault, the program keeps the file in use. */
    void reload() {
        try {
            ConfigReader newFile = Config.readFile(env);
            ConfigReader file =
                    newFile.has("settings") || !settingsFromStore ? newFile : newFile.with("settings", current);
            checkComplete(file);
            Config config = Config.read(file, env, started);
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
                        "configuration: changed keys that take effect only after a restart: {0}",
                        String.join(", ", keysForRestart));
            }
        } catch (ConfigException e) {
            LOG.log(
                    System.Logger.Level.ERROR,
                    "configuration not reloaded, keeping the one in use: {0}",
                    e.getMessage());
            loop.accept(() -> reloadListener.accept(false));
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "configuration not reloaded, keeping the one in use", e);
            loop.accept(() -> reloadListener.accept(false));
        }
    }

    /** Rejects a file that lacks keys of the file in use, since it may be truncated. */
    private void checkComplete(ConfigReader file) {
        for (String key : PLATFORM_KEYS) {
            if (current.has(key) && !file.has(key)) {
                throw new ConfigException(key, "missing");
            }
        }
        String missingKey = current.has("settings")
                ? current.requiredObject("settings").firstMissingKey(file.requiredObject("settings"))
                : null;
        if (missingKey != null) {
            throw new ConfigException(missingKey, "missing, but present in the file in use");
        }
    }

    /** Collects, from the keys that differ, the changes to apply now and the keys that need a restart. */
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

    /** Returns a task that applies a key's new value; null if that needs a restart. */
    private Runnable change(String key, Config config, ConfigReader file) {
        if (key.equals("discovery") && targets.discovery() != null && config.discovery() != null) {
            return () -> targets.discovery().accept(config.discovery());
        }
        if (key.equals("known") && targets.known() != null) {
            // Zones and kinds of the new file wait for a restart, so the list is read by those in use.
            EndpointListJson known = EndpointListJson.read(
                    file.requiredObject("known"), DeploymentSettingsReader.read(started.optionalObject("settings")));
            return () -> targets.known().accept(known.hosts());
        }
        if (key.equals("settings") && targets.settings() != null) {
            return () -> targets.settings().accept(config);
        }
        if (key.equals("limits")) {
            int sockets = Config.sockets(file);
            return () -> targets.sockets().accept(sockets);
        }
        return null;
    }
}
