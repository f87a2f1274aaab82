package pepperdock.dnssd;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.xbill.DNS.AAAARecord;
import org.xbill.DNS.ARecord;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.PTRRecord;
import org.xbill.DNS.RRset;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.Resolver;
import org.xbill.DNS.SRVRecord;
import org.xbill.DNS.Section;
import org.xbill.DNS.SimpleResolver;
import org.xbill.DNS.TXTRecord;
import org.xbill.DNS.TextParseException;
import org.xbill.DNS.Type;
import pepperdock.config.ConfigException;
import pepperdock.config.DeploymentSettings;
import pepperdock.config.DnsSdConfig;
import pepperdock.core.Clock;
import pepperdock.core.EndpointDiscovery;
import pepperdock.core.EndpointListSharing;
import pepperdock.core.EndpointListSnapshot;
import pepperdock.core.Gatherer;
import pepperdock.core.WorkerEndpoint;
import pepperdock.scheduler.EndpointListKind;
import pepperdock.scheduler.EndpointState;

/**
 * Discovers the endpoint list from DNS-SD records (RFC 6763) over unicast DNS: instances are browsed by PTR records and
 * resolved by SRV, TXT and address records. Records are cached for their TTL and queried again when it is over, but no
 * sooner than the configured minimum interval. All state is owned by the clock's thread; the library's own threads only
 * carry datagrams.
 */
public final class DnsSdDiscovery implements EndpointDiscovery, EndpointListSharing {

    private static final System.Logger LOG = System.getLogger("pepperdock.dnssd");

    /** Precedes the name of the service in the source of a list. */
    private static final String SOURCE_PREFIX = "dns-sd:";

    private static final double MS_PER_S = 1e3;

    private record RecordKey(Name name, int type) {}

    private record CachedRecords(List<Record> records, double expiresAt) {}

    private final DnsSdConfig config;
    private final DeploymentSettings settings;
    private final Clock clock;
    private final Executor ioThread;
    private final Resolver resolver;
    private final Name service;
    private final Map<RecordKey, CachedRecords> cache = new HashMap<>();
    private Gatherer gatherer;
    private boolean running;
    /** Whether the server has answered this process; until then it may use what another process was told. */
    private boolean answered;
    /** The last list that was reported or adopted, and when its content changed, in milliseconds since the epoch. */
    private List<WorkerEndpoint> lastEndpoints = List.of();

    private long lastChangeMs;
    /** Until when failed browsing is repeated without waiting for the scheduler, by the clock. */
    private double promptRetriesUntilS;
    /**
     * Creates a discovery with the given configuration; callbacks run on {@code ioThread}, and nothing is sent before
     * {@link #start}.
     */
    public DnsSdDiscovery(DnsSdConfig config, DeploymentSettings settings, Clock clock, Executor ioThread) {
        this.config = config;
        this.settings = settings;
        this.clock = clock;
        this.ioThread = ioThread;
        SimpleResolver simpleResolver = new SimpleResolver(config.server());
        simpleResolver.setTimeout(Duration.ofMillis((long) (config.timeoutS() * 1e3)));
        resolver = simpleResolver;
        try {
            service = Name.concatenate(Name.fromString(config.service()), Name.fromString(config.domain(), Name.root));
        } catch (TextParseException | org.xbill.DNS.NameTooLongException e) {
            throw new ConfigException("dnssd.service", e.getMessage());
        }
    }
    /**
     * Sets the gatherer that receives the endpoint lists; called once, before {@link #watch}. Begins at once where the
     * settings say that lists are pushed: the scheduler asks for none then, and records are never pushed.
     */
    public void start(Gatherer gatherer) {
        this.gatherer = gatherer;
        if (!settings.scheduler().pollsEndpointList()) {
            watch();
        }
    }

    @Override
    public void watch() {
        if (!running) {
            running = true;
            browse();
        }
    }

    /**
     * {@inheritDoc}
     *
     * <p>The version is the time at which the content last changed, which both processes read from one clock.
     */
    @Override
    public EndpointListSnapshot snapshot(Collection<WorkerEndpoint> endpoints) {
        return new EndpointListSnapshot(SOURCE_PREFIX + service, lastChangeMs, List.copyOf(endpoints));
    }

    /**
     * {@inheritDoc}
     *
     * <p>Only a process that the server has not answered yet adopts a list, and only from one that is alive: records
     * that this process has asked for itself may be newer than those that the other one still has in its cache.
     */
    @Override
    public void adopt(EndpointListSnapshot list, boolean otherProcessAlive) {
        if (answered || !otherProcessAlive || !list.source().equals(SOURCE_PREFIX + service)) {
            return;
        }
        LOG.log(
                System.Logger.Level.INFO,
                "endpoint list of {0}, {1} entries, received by another process",
                service,
                list.endpoints().size());
        lastEndpoints = list.endpoints();
        lastChangeMs = list.version();
        gatherer.onEndpointList(EndpointListKind.CACHED, list.endpoints());
    }

    @Override
    public void retryPromptly(double seconds) {
        promptRetriesUntilS = clock.now() + seconds;
        watch();
    }

    private void useList(List<WorkerEndpoint> endpoints) {
        if (!endpoints.equals(lastEndpoints)) {
            lastEndpoints = endpoints;
            lastChangeMs = (long) (clock.now() * MS_PER_S);
        }
    }

    /**
     * Browses and resolves all instances, querying what is no longer cached; reports the list and schedules the next
     * round.
     */
    private void browse() {
        CompletableFuture<?> unused = lookup(service, Type.PTR)
                .thenCompose(instances -> {
                    List<CompletableFuture<WorkerEndpoint>> endpoints = new ArrayList<>();
                    for (Record record : instances) {
                        if (record instanceof PTRRecord ptr) {
                            endpoints.add(resolve(ptr.getTarget()));
                        }
                    }
                    return CompletableFuture.allOf(endpoints.toArray(new CompletableFuture<?>[0]))
                            .thenApply(done -> endpoints.stream()
                                    .map(CompletableFuture::join)
                                    .filter(Objects::nonNull)
                                    .sorted(Comparator.comparing(WorkerEndpoint::id))
                                    .toList());
                })
                .whenCompleteAsync(this::onBrowsed, ioThread);
    }

    private void onBrowsed(List<WorkerEndpoint> endpoints, Throwable failure) {
        if (failure != null) {
            // The last reported list stays in force; the scheduler decides when to ask again, unless lists are pushed.
            running = false;
            if (!settings.scheduler().pollsEndpointList() || clock.now() < promptRetriesUntilS) {
                clock.after(config.leastS(), this::watch);
            }
            LOG.log(System.Logger.Level.WARNING, "DNS-SD browsing of {0} failed: {1}", service, failure.getMessage());
            gatherer.onEndpointList(EndpointListKind.FAILED, List.of());
            return;
        }
        answered = true;
        useList(endpoints);
        gatherer.onEndpointList(EndpointListKind.COMPLETE, endpoints);
        double delayS = cache.values().stream()
                        .mapToDouble(CachedRecords::expiresAt)
                        .min()
                        .orElse(clock.now())
                - clock.now();
        clock.after(Math.max(config.leastS(), delayS), this::browse);
    }

    /** Resolves one instance; the result is null if its records are gone, or are not sufficient to send calls to it. */
    private CompletableFuture<WorkerEndpoint> resolve(Name instance) {
        return lookup(instance, Type.SRV).thenCompose(srvRecords -> {
            SRVRecord srv = srvRecords.stream()
                    .filter(SRVRecord.class::isInstance)
                    .map(SRVRecord.class::cast)
                    .min(Comparator.comparingInt(SRVRecord::getPriority))
                    .orElse(null);
            if (srv == null || srv.getTarget().equals(Name.root)) {
                return CompletableFuture.completedFuture(null);
            }
            return lookup(instance, Type.TXT)
                    .thenCompose(txt ->
                            address(srv.getTarget()).thenApply(address -> endpoint(instance, srv, txt, address)));
        });
    }

    private CompletableFuture<InetAddress> address(Name target) {
        return lookup(target, Type.A)
                .thenCompose(ipv4 -> ipv4.isEmpty()
                        ? lookup(target, Type.AAAA)
                                .thenApply(ipv6 -> ipv6.isEmpty() ? null : ((AAAARecord) ipv6.get(0)).getAddress())
                        : CompletableFuture.completedFuture(((ARecord) ipv4.get(0)).getAddress()));
    }

    private WorkerEndpoint endpoint(Name instance, SRVRecord srv, List<Record> txt, InetAddress address) {
        Map<String, String> attributes = new LinkedHashMap<>();
        if (!txt.isEmpty()) {
            for (byte[] raw : ((TXTRecord) txt.get(0)).getStringsAsByteArrays()) {
                String pair = new String(raw, StandardCharsets.UTF_8);
                int separator = pair.indexOf('=');
                if (separator > 0) {
                    // The first occurrence of a key counts, and keys are case-insensitive (RFC 6763, 6.4).
                    attributes.putIfAbsent(
                            pair.substring(0, separator).toLowerCase(Locale.ROOT), pair.substring(separator + 1));
                }
            }
        }
        try {
            if (address == null) {
                throw new IllegalArgumentException(
                        "the target " + srv.getTarget() + " of its SRV record has no address");
            }
            byte[] label = instance.getLabel(0);
            String id = attributes.getOrDefault("host", new String(label, 1, label.length - 1, StandardCharsets.UTF_8));
            InetSocketAddress socketAddress = new InetSocketAddress(address, srv.getPort());
            String hostAndPort = socketAddress.getAddress().getHostAddress() + ':' + socketAddress.getPort();
            if (!attributes.containsKey("block")) {
                throw new IllegalArgumentException("its TXT record has no key named block");
            }
            return new WorkerEndpoint(
                    id,
                    hostAndPort,
                    Math.max(0, settings.zones().indexOf(attributes.get("site"))),
                    Math.max(0, settings.kinds().indexOf(attributes.get("class"))),
                    Integer.parseInt(attributes.get("block")),
                    switch (attributes.getOrDefault("health", "in_service")) {
                        case "in_service" -> EndpointState.HEALTHY;
                        case "terminating" -> EndpointState.DRAINING;
                        default ->
                            throw new IllegalArgumentException("health in its TXT record is " + attributes.get("health")
                                    + ", expected in_service or terminating");
                    },
                    Double.parseDouble(attributes.getOrDefault("share", "1")),
                    Double.parseDouble(attributes.getOrDefault("born_ms", "0")) / 1e3);
        } catch (IllegalArgumentException e) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "instance {0} is left out of the endpoint list: {1}",
                    instance,
                    e.getMessage());
            return null;
        }
    }

    /**
     * Returns the records of a name from the cache or from the server; empty if the server says that there are none.
     */
    private CompletableFuture<List<Record>> lookup(Name name, int type) {
        RecordKey key = new RecordKey(name, type);
        CachedRecords cached = cache.get(key);
        if (cached != null && clock.now() < cached.expiresAt()) {
            return CompletableFuture.completedFuture(cached.records());
        }
        return resolver.sendAsync(Message.newQuery(Record.newRecord(name, type, DClass.IN)))
                .thenApplyAsync(answer -> cacheAnswer(key, answer), ioThread)
                .toCompletableFuture();
    }

    private List<Record> cacheAnswer(RecordKey key, Message answer) {
        int code = answer.getRcode();
        if (code != Rcode.NOERROR && code != Rcode.NXDOMAIN) {
            throw new IllegalStateException(key.name() + ": the DNS server answered " + Rcode.string(code));
        }
        cache.remove(key);
        cache.values().removeIf(cached -> cached.expiresAt() <= clock.now());
        // Records in the additional section need not be queried separately (RFC 6763, 12).
        for (int section : new int[] {Section.ADDITIONAL, Section.ANSWER}) {
            for (RRset set : answer.getSectionRRsets(section)) {
                if (set.getType() != Type.OPT) {
                    cache.put(
                            new RecordKey(set.getName(), set.getType()),
                            new CachedRecords(List.copyOf(set.rrs()), clock.now() + set.getTTL()));
                }
            }
        }
        CachedRecords found = cache.get(key);
        return found == null ? List.of() : found.records();
    }
}
