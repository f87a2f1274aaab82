package pepperdock.service;

import java.io.IOException;
import java.util.Map;
import pepperdock.config.Config;
import pepperdock.config.ConfigException;
import pepperdock.config.Keys;
import pepperdock.config.StoreConfig;
import pepperdock.events.Events;
import pepperdock.membership.transport.Members;
import pepperdock.store.Store;
import pepperdock.transport.Loop;

/**
 * Opens what a gatherer stands on, the loop, the store, events and membership, and starts the {@link Service} once there are
 * settings: the file's, or where it has none the store's.
 */
public final class Startup {

    private static final System.Logger LOG = System.getLogger("pepperdock");
    /** Descriptors that are not ours to use: the jar, the selectors, standard streams (18 seen), and some to spare. */
    static final int OTHER_DESCRIPTORS = 40;

    private static final int BUFFER_MOST = 256 << 10;
    private static final int SEARCH_BUFFER_MOST = 16 << 20;

    /** What stands before there are settings; {@code members} is null where the file has none. */
    public record Base(Map<String, String> env, Loop loop, Store store, Events events, Members members) {}

    private final Keys file;
    private final Base base;
    private boolean begun;

    private Startup(Keys file, Base base) {
        this.file = file;
        this.base = base;
    }

    /** Opens the store first: a member whose file has no settings serves by those that the store holds. */
    public static void open(Map<String, String> env) throws IOException {
        Keys file = Config.file(env);
        StoreConfig members = Config.store(file);
        if (file.has("settings")) {
            Config.read(file, env);
        }
        Loop loop = new Loop(
                Config.sockets(file) - OTHER_DESCRIPTORS,
                file.has("opensearch") || members != null || file.has("members") ? SEARCH_BUFFER_MOST : BUFFER_MOST);
        Store store = new Store(members, loop);
        Events events = Events.of(Config.events(file));
        Members fleet = file.has("members") ? Members.open(file, loop, events) : null;
        new Startup(file, new Base(env, loop, store, events, fleet)).begin();
    }

    private void begin() throws IOException {
        Store store = base.store();
        if (file.has("settings")) {
            Service.start(withKnownNodes(file), false, base);
            base.loop().execute(this::storeSettings);
        } else if (store.get("settings") != null) {
            serveByStore();
        } else {
            LOG.log(System.Logger.Level.INFO, "no settings yet, waiting for the store");
            store.watch((key, value) -> {
                if (key.equals("settings") && !begun) {
                    begun = true;
                    base.loop().execute(this::serveByStore);
                }
            });
        }
    }

    private void storeSettings() {
        Store store = base.store();
        if (store.leads() && !file.json("settings").equals(store.get("settings"))) {
            store.put("settings", file.json("settings"), held -> {});
        }
    }

    private void serveByStore() {
        try {
            Keys whole = file.with("settings", Config.parse(base.store().get("settings"), "settings"));
            Service.start(withKnownNodes(whole), true, base);
        } catch (ConfigException e) {
            Exit.because("configuration: " + e.getMessage(), 2);
        } catch (IOException e) {
            Exit.because("can't start: " + e.getMessage(), 1);
        }
    }

    /** Where the file knows no nodes, those that the store last held. */
    private Keys withKnownNodes(Keys of) {
        Store store = base.store();
        return of.has("known") || store.get("nodes") == null
                ? of
                : of.with("known", Config.parse(store.get("nodes"), "known"));
    }
}
