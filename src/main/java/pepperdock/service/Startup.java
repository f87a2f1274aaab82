package pepperdock.service;

import java.io.IOException;
import java.util.Map;
import pepperdock.config.Config;
import pepperdock.config.ConfigException;
import pepperdock.config.ConfigReader;
import pepperdock.config.StoreConfig;
import pepperdock.events.Events;
import pepperdock.membership.transport.MembershipService;
import pepperdock.store.Store;
import pepperdock.transport.EventLoop;

/**
 * Opens what a gatherer needs before its settings: the loop, the store, events and membership. Then starts the {@link
 * GathererService} with the settings of the file, or, if it has none, once the store has settings. State belongs to the
 * loop's thread once that runs.
 */
public final class Startup {

    private static final System.Logger LOG = System.getLogger("pepperdock");
    /**
     * Descriptors reserved for uses other than connections: the jar, the selectors, the standard streams (18), and
     * spare ones.
     */
    static final int OTHER_DESCRIPTORS = 40;

    private static final int MAX_BUFFER_BYTES = 256 << 10;
    private static final int MAX_SEARCH_BUFFER_BYTES = 16 << 20;
    private static final String SETTINGS_KEY = "settings";
    private static final String ENDPOINTS_KEY = "nodes";

    /**
     * The components that are open before there are settings. {@code members} is null if the file does not configure
     * it.
     */
    public record ProcessContext(
            Map<String, String> env, EventLoop loop, Store store, Events events, MembershipService members) {}

    private final ConfigReader file;
    private final ProcessContext context;
    private boolean started;

    private Startup(ConfigReader file, ProcessContext context) {
        this.file = file;
        this.context = context;
    }

    /**
     * Opens the components of {@link ProcessContext}, the store before the gatherer: a gatherer whose file has no
     * settings uses those of the store.
     *
     * @throws pepperdock.config.ConfigException if the file can't be used
     */
    public static void open(Map<String, String> env) throws IOException {
        // The JVM's default would end a process that can't reload its configuration yet.
        SignalHandlers.hold("HUP");
        ConfigReader file = Config.readFile(env);
        StoreConfig storeConfig = Config.store(file);
        if (file.has("settings")) {
            Config.read(file, env);
        }
        EventLoop loop = new EventLoop(
                Config.sockets(file) - OTHER_DESCRIPTORS,
                file.has("opensearch") || storeConfig != null || file.has("members")
                        ? MAX_SEARCH_BUFFER_BYTES
                        : MAX_BUFFER_BYTES);
        Store store = new Store(storeConfig, loop);
        Events events = Events.of(Config.events(file));
        MembershipService membership = file.has("members") ? MembershipService.open(file, loop, events) : null;
        new Startup(file, new ProcessContext(env, loop, store, events, membership)).begin();
    }

    private void begin() throws IOException {
        Store store = context.store();
        if (file.has("settings")) {
            GathererService.start(withKnownEndpoints(file), false, context);
            context.loop().execute(this::storeSettings);
        } else if (store.get(SETTINGS_KEY) != null) {
            startFromStore();
        } else {
            LOG.log(System.Logger.Level.INFO, "the configuration file has no settings, waiting for those of the store");
            store.watch((key, value) -> {
                if (key.equals(SETTINGS_KEY) && !started) {
                    started = true;
                    context.loop().execute(this::startFromStore);
                }
            });
        }
    }

    private void storeSettings() {
        Store store = context.store();
        if (store.leads() && !file.json("settings").equals(store.get(SETTINGS_KEY))) {
            store.put(SETTINGS_KEY, file.json("settings"), held -> {});
        }
    }

    private void startFromStore() {
        try {
            ConfigReader complete =
                    file.with("settings", Config.parse(context.store().get(SETTINGS_KEY), "settings"));
            GathererService.start(withKnownEndpoints(complete), true, context);
        } catch (ConfigException e) {
            StartupFailure.exit("configuration: " + e.getMessage(), 2);
        } catch (IOException e) {
            StartupFailure.exit("can't start: " + e.getMessage(), 1);
        }
    }

    /** Returns the file, with the endpoint list of the store if it has none of its own. */
    private ConfigReader withKnownEndpoints(ConfigReader source) {
        Store store = context.store();
        return source.has("known") || store.get(ENDPOINTS_KEY) == null
                ? source
                : source.with("known", Config.parse(store.get(ENDPOINTS_KEY), "known"));
    }
}
