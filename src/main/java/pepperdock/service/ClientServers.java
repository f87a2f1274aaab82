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

/** The fronts that the configuration names, and the HTTP servers on which clients reach them. On the loop's thread. */
final class ClientServers {

    /** Clients may use one in so many of all descriptors: connections to workers and discovery need the rest. */
    private static final int DESCRIPTORS_PER_CLIENT = 3;

    private static final int MAX_BODY_BYTES = 64 << 10;
    private static final int MAX_SEARCH_BODY_BYTES = 1 << 20;

    private final Config config;
    private final EventLoop loop;
    private final PlatformFront front;
    private final SearchFront searchFront;
    private final List<HttpServer> servers = new ArrayList<>();

    /**
     * Opens the fronts, but no address yet.
     *
     * @param search null where the workers speak frames
     * @param ready whether queries are taken
     */
    ClientServers(Config config, Gatherer core, EventLoop loop, SearchBackend search, BooleanSupplier ready) {
        this.config = config;
        this.loop = loop;
        front = config.listen() == null ? null : new PlatformFront(config.site(), core, ready);
        searchFront = config.openSearch() == null
                ? null
                : new SearchFront(config.site(), config.openSearch(), core, loop, search);
    }

    /** The servers that listen; none until {@link #listen}. */
    List<HttpServer> servers() {
        return servers;
    }

    /** Opens the clients' addresses; shared with another process where operators may upgrade this one. */
    void listen() {
        int fronts = front != null && searchFront != null ? 2 : 1;
        IntSupplier clients = () -> (loop.socketCap() + Startup.OTHER_DESCRIPTORS) / DESCRIPTORS_PER_CLIENT / fronts;
        EventLoop.SocketScope kind = config.operator() == null
                ? EventLoop.SocketScope.EXCLUSIVE
                : EventLoop.SocketScope.SHARED_WITH_UPGRADE_PEER;
        try {
            if (front != null) {
                servers.add(new HttpServer(
                        loop, config.listen(), kind, HttpServer.REQUEST_TIMEOUT_S, MAX_BODY_BYTES, clients, front));
            }
            if (searchFront != null) {
                servers.add(new HttpServer(
                        loop,
                        config.openSearch().listen(),
                        kind,
                        HttpServer.REQUEST_TIMEOUT_S,
                        MAX_SEARCH_BODY_BYTES,
                        clients,
                        searchFront));
            }
        } catch (IOException e) {
            StartupFailure.exit("can't start: " + e.getMessage(), 1);
        }
    }

    /** Puts changed settings in use, for queries from now on. */
    void applySettings(DeploymentSettings site, Config changed) {
        if (front != null) {
            front.updateSettings(site);
        }
        if (searchFront != null) {
            searchFront.updateSettings(site, changed.openSearch());
        }
    }
}
