package pepperdock.service;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import pepperdock.config.Config;
import pepperdock.config.DeploymentSettings;
import pepperdock.core.Gatherer;
import pepperdock.opensearch.SearchBackend;
import pepperdock.opensearch.SearchFront;
import pepperdock.platform.PlatformFront;
import pepperdock.transport.EventLoop;
import pepperdock.transport.HttpServer;

/** Opens the configured fronts and the HTTP servers through which clients reach them. Used on the loop's thread. */
final class ClientServers {

    /**
     * Clients may use the number of descriptors divided by this; connections to workers and discovery need the rest.
     */
    private static final int CLIENT_DESCRIPTOR_DIVISOR = 3;

    private static final int MAX_BODY_BYTES = 64 << 10;
    private static final int MAX_SEARCH_BODY_BYTES = 1 << 20;

    private final Config config;
    private final EventLoop loop;
    private final PlatformFront front;
    private final SearchFront searchFront;
    private final List<HttpServer> servers = new ArrayList<>();

    /**
     * Creates the fronts without opening an address.
     *
     * @param search the search backend; null if the workers speak frames
     * @param ready whether queries are accepted
     */
    ClientServers(Config config, Gatherer core, EventLoop loop, SearchBackend search, BooleanSupplier ready) {
        this.config = config;
        this.loop = loop;
        front = config.listen() == null ? null : new PlatformFront(config.site(), core, ready);
        searchFront = config.openSearch() == null
                ? null
                : new SearchFront(config.site(), config.openSearch(), core, loop, search);
    }

    /** Returns the servers that listen; none before {@link #listen}. */
    List<HttpServer> servers() {
        return servers;
    }

    /**
     * Opens the clients' addresses; the two processes of an upgrade share them if an operators' address is configured.
     */
    void listen() {
        int fronts = front != null && searchFront != null ? 2 : 1;
        IntSupplier maxConnections =
                () -> (loop.socketCap() + Startup.OTHER_DESCRIPTORS) / CLIENT_DESCRIPTOR_DIVISOR / fronts;
        EventLoop.SocketScope scope = config.operator() == null
                ? EventLoop.SocketScope.EXCLUSIVE
                : EventLoop.SocketScope.SHARED_WITH_UPGRADE_PEER;
        try {
            if (front != null) {
                servers.add(new HttpServer(
                        loop,
                        config.listen(),
                        scope,
                        HttpServer.REQUEST_TIMEOUT_S,
                        MAX_BODY_BYTES,
                        maxConnections,
                        front));
            }
            if (searchFront != null) {
                servers.add(new HttpServer(
                        loop,
                        config.openSearch().listen(),
                        scope,
                        HttpServer.REQUEST_TIMEOUT_S,
                        MAX_SEARCH_BODY_BYTES,
                        maxConnections,
                        searchFront));
            }
        } catch (IOException e) {
            StartupFailure.exit("can't start: " + e.getMessage(), 1);
        }
    }

    /** Applies changed settings to queries from now on. */
    void applySettings(DeploymentSettings settings, Config changed) {
        if (front != null) {
            front.updateSettings(settings);
        }
        if (searchFront != null) {
            searchFront.updateSettings(settings, changed.openSearch());
        }
    }
}
