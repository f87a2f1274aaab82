package pepperdock.service;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Consumer;
import pepperdock.config.Config;
import pepperdock.core.EndpointDiscovery;
import pepperdock.core.Gatherer;
import pepperdock.core.StaticEndpointList;
import pepperdock.core.WorkerEndpoint;
import pepperdock.dnssd.DnsSdDiscovery;
import pepperdock.platform.EndpointWatch;
import pepperdock.transport.EventLoop;

/**
 * Where the endpoint list comes from: DNS records, the platform's discovery, or the configuration; and what of it can change
 * while the program runs. Immutable; its functions are called on the loop's thread.
 *
 * @param discovery as the core sees it
 * @param pushed whether an agent pushes the list, so that what it has counts as known from the start
 * @param start begins to poll, for this core
 * @param move changes the address of discovery; null where none is polled
 * @param replace replaces the configuration's list; null where that is not in use
 */
record EndpointSource(
        EndpointDiscovery discovery,
        boolean pushed,
        Consumer<Gatherer> start,
        Consumer<InetSocketAddress> move,
        Consumer<List<WorkerEndpoint>> replace) {

    /** The one that the configuration names. */
    static EndpointSource open(Config config, EventLoop loop) {
        if (config.dnsSd() != null) {
            DnsSdDiscovery dnsSd = new DnsSdDiscovery(config.dnsSd(), config.site(), loop, loop::execute);
            return new EndpointSource(dnsSd, false, dnsSd::start, null, null);
        }
        if (config.discovery() != null) {
            EndpointWatch watch = new EndpointWatch(
                    loop, config.discovery(), config.site(), config.known().seq());
            return new EndpointSource(
                    watch, !config.site().scheduler().pollsEndpointList(), watch::start, watch::changeAddress, null);
        }
        StaticEndpointList fixed = new StaticEndpointList(loop, config.known().hosts());
        return new EndpointSource(fixed, false, fixed::start, null, fixed::replace);
    }
}
