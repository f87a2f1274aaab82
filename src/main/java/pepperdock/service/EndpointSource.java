package pepperdock.service;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Consumer;
import pepperdock.config.Config;
import pepperdock.core.EndpointDiscovery;
import pepperdock.core.EndpointListSharing;
import pepperdock.core.Gatherer;
import pepperdock.core.StaticEndpointList;
import pepperdock.core.WorkerEndpoint;
import pepperdock.dnssd.DnsSdDiscovery;
import pepperdock.platform.EndpointWatch;
import pepperdock.transport.EventLoop;

/**
 * The source of the endpoint list: DNS records, the platform's discovery, or the configuration; with the functions that
 * change it while the program runs. Immutable; its functions are called on the loop's thread.
 *
 * @param discovery the discovery that the gatherer uses
 * @param pushed whether an agent pushes the list, so that the gatherer waits for it before it is ready
 * @param start starts to deliver endpoint lists to a gatherer
 * @param sharing passes lists between the processes of an upgrade; null if the source has no versions to compare
 * @param changeAddress changes the address of discovery; null if the source has no such address
 * @param replace replaces the list of the configuration; null if that list is not in use
 */
record EndpointSource(
        EndpointDiscovery discovery,
        boolean pushed,
        Consumer<Gatherer> start,
        EndpointListSharing sharing,
        Consumer<InetSocketAddress> changeAddress,
        Consumer<List<WorkerEndpoint>> replace) {

    /** Returns the source that the configuration names. */
    static EndpointSource open(Config config, EventLoop loop) {
        if (config.dnsSd() != null) {
            DnsSdDiscovery dnsSd = new DnsSdDiscovery(config.dnsSd(), config.site(), loop, loop::execute);
            return new EndpointSource(dnsSd, false, dnsSd::start, dnsSd, null, null);
        }
        if (config.discovery() != null) {
            EndpointWatch watch = new EndpointWatch(
                    loop, config.discovery(), config.site(), config.known().seq());
            return new EndpointSource(
                    watch,
                    !config.site().scheduler().pollsEndpointList(),
                    watch::start,
                    watch,
                    watch::changeAddress,
                    null);
        }
        StaticEndpointList staticList =
                new StaticEndpointList(loop, config.known().hosts());
        return new EndpointSource(staticList, false, staticList::start, null, null, staticList::replace);
    }
}
