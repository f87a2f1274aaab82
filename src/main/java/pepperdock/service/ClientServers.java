package pepperdock.service;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import pepperdock.config.Config;
import pepperdock.config.Site;
import pepperdock.core.Gatherer;
import pepperdock.opensearch.SearchBackend;
import pepperdock.opensearch.SearchFront;
import pepperdock.platform.Front;
import pepperdock.transport.HttpServer;
import pepperdock.transport.Loop;

/** The fronts that the configuration names, and the servers on which clients reach them. */
final class ClientServers {

    /** Of all descriptors, clients may hold one in so many: connections to workers and discovery need theirs. */
    private static final int CLIENTS_SHARE = 3;

    private static final int BODY_MOST = 64 << 10;
    private static final int SEARCH_BODY_MOST = 1 << 20;

    private final Config config;
    private final Loop loop;
    private final Front front;
    private final SearchFront searchFront;
    private final List<HttpServer> servers = new ArrayList<>();

    /** {@code search} is null where the workers speak frames; {@code ready} says whether queries are taken. */
    ClientServers(Config config, Gatherer core, Loop loop, SearchBackend search, BooleanSupplier ready) {
        this.config = config;
        this.loop = loop;
        front = config.listen() == null ? null : new Front(config.site(), core, ready);
        searchFront = config.openSearch() == null
                ? null
                : new SearchFront(config.site(), config.openSearch(), core, loop, search);
    }

    /** Those that listen; empty until {@link #listen}. */
    List<HttpServer> servers() {
        return servers;
    }

    /** Where clients connect; shared with another process where operators may upgrade this one. */
    void listen() {
        int fronts = front != null && searchFront != null ? 2 : 1;
        IntSupplier clients = () -> (loop.sockets() + Startup.OTHER_DESCRIPTORS) / CLIENTS_SHARE / fronts;
        Loop.Kind kind = config.operator() == null ? Loop.Kind.OWN : Loop.Kind.SHARED;
        try {
            if (front != null) {
                servers.add(
                        new HttpServer(loop, config.listen(), kind, HttpServer.REQUEST_S, BODY_MOST, clients, front));
            }
            if (searchFront != null) {
                servers.add(new HttpServer(
                        loop,
                        config.openSearch().listen(),
                        kind,
                        HttpServer.REQUEST_S,
                        SEARCH_BODY_MOST,
                        clients,
                        searchFront));
            }
        } catch (IOException e) {
            Exit.because("can't start: " + e.getMessage(), 1);
        }
    }

    /** Changed settings, for queries from now on. */
    void use(Site site, Config changed) {
        if (front != null) {
            front.updateSettings(site);
        }
        if (searchFront != null) {
            searchFront.use(site, changed.openSearch());
        }
    }
}
