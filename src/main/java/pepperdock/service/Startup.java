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
 * Opens what a gatherer needs before its settings: the loop, the store, events and membership; then starts the {@link GathererService}
 * once there are settings, the file's, or where it has none the store's. State belongs to the loop's thread once it runs.
 */
public final class Startup {

    private static final System.Logger LOG = System.getLogger("pepperdock");
    /** Descriptors that are not for connections: the jar, the selectors, the standard streams (18), and some spare ones. */
    static final int OTHER_DESCRIPTORS = 40;

    private static final int MAX_BUFFER_BYTES = 256 << 10;
    private static final int MAX_SEARCH_BUFFER_BYTES = 16 << 20;
    private static final String SETTINGS_KEY = "settings";
    private static final String ENDPOINTS_KEY = "nodes";

    /** What is open before there are settings; {@code members} is null where the file has none. */
    public record ProcessContext(
            Map<String, String> env, EventLoop loop, Store store, Events events, MembershipService members) {}

    private final ConfigReader file;
    private final ProcessContext context;
    private boolean begun;

    private Startup(ConfigReader file, ProcessContext context) {
        this.file = file;
        this.context = context;
    }

    /**
     * Opens the store first: a member whose file has no settings uses those that the store holds.
     *
     * @throws pepperdock.config.ConfigException where the file can't be used
     */
    public static void open(Map<String, String> env) throws IOException {
        ConfigReader file = Config.readFile(env);
        StoreConfig members = Config.store(file);
        if (file.has("settings")) {
            Config.read(file, env);
        }
        EventLoop loop = new EventLoop(
                Config.sockets(file) - OTHER_DESCRIPTORS,
                file.has("opensearch") || members != null || file.has("members")
                        ? MAX_SEARCH_BUFFER_BYTES
                        : MAX_BUFFER_BYTES);
        Store store = new Store(members, loop);
        Events events = Events.of(Config.events(file));
        MembershipService fleet = file.has("members") ? MembershipService.open(file, loop, events) : null;
        new Startup(file, new ProcessContext(env, loop, store, events, fleet)).begin();
    }

    private void begin() throws IOException {
        Store store = context.store();
        if (file.has("settings")) {
            GathererService.start(withKnownEndpoints(file), false, context);
            context.loop().execute(this::storeSettings);
        } else if (store.get(SETTINGS_KEY) != null) {
            serveByStore();
        } else {
            LOG.log(System.Logger.Level.INFO, "no settings yet, waiting for the store");
            store.watch((key, value) -> {
                if (key.equals(SETTINGS_KEY) && !begun) {
                    begun = true;
                    context.loop().execute(this::serveByStore);
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

    private void serveByStore() {
        try {
            ConfigReader whole =
                    file.with("settings", Config.parse(context.store().get(SETTINGS_KEY), "settings"));
            GathererService.start(withKnownEndpoints(whole), true, context);
        } catch (ConfigException e) {
            StartupFailure.exit("configuration: " + e.getMessage(), 2);
        } catch (IOException e) {
            StartupFailure.exit("can't start: " + e.getMessage(), 1);
        }
    }

    /** Where the file has no endpoint list, the one that the store holds. */
    private ConfigReader withKnownEndpoints(ConfigReader of) {
        Store store = context.store();
        return of.has("known") || store.get(ENDPOINTS_KEY) == null
                ? of
                : of.with("known", Config.parse(store.get(ENDPOINTS_KEY), "known"));
    }
}
