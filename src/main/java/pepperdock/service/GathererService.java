package pepperdock.service;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import pepperdock.config.Config;
import pepperdock.config.ConfigReader;
import pepperdock.config.DeploymentSettings;
import pepperdock.config.EndpointListJson;
import pepperdock.core.EndpointListSharing;
import pepperdock.core.Gatherer;
import pepperdock.core.PooledBackend;
import pepperdock.core.WorkerEndpoint;
import pepperdock.opensearch.SearchBackend;
import pepperdock.operator.OperatorService;
import pepperdock.operator.UpgradePeer;
import pepperdock.plan.background.PlannerThread;
import pepperdock.platform.FrameBackend;
import pepperdock.platform.JvmWarmup;
import pepperdock.scheduler.EndpointListKind;
import pepperdock.store.Store;
import pepperdock.transport.EventLoop;
import pepperdock.transport.HttpServer;

/**
 * Runs one gatherer: opens each component that the configuration names, connects it to the others, and starts serving
 * once the endpoint list has been received or a timeout has passed. State belongs to the loop's thread.
 */
public final class GathererService {

    private static final System.Logger LOG = System.getLogger("pepperdock");
    /**
     * Maximum time that a process waits for its first endpoint list before it takes over from another process of the
     * same gatherer, which serves meanwhile. With the start before it and the announcement after it, this fits into the
     * 6 s in which a new process has to be ready.
     */
    private static final double LIST_TIMEOUT_S = 4;
    /**
     * Time for which a process that replaces another retries failed requests for the list on its own pace: until what
     * discovery has counts as delivered in any case.
     */
    private static final double PROMPT_RETRIES_S = LIST_TIMEOUT_S + 6;
    /** Maximum time that a process which is ready to serve waits for the disk to announce it to the other process. */
    private static final double ANNOUNCE_TIMEOUT_S = 0.5;
    /**
     * Maximum time that a process waits for its first endpoint list if an agent pushes lists. The process is expected
     * to know the agent's list from the start, so it is ready once the list is received. An agent that sends nothing in
     * this time has no list.
     */
    static final double PUSHED_LIST_TIMEOUT_S = 1.5;

    private final Startup.ProcessContext context;
    private final EventLoop loop;
    private final Config config;
    private final JvmWarmup warmup;
    private final EndpointSource endpointSource;
    private final Gatherer core;
    /** Null if the file has no address for operators. */
    private final OperatorService operator;

    private final ClientServers clients;
    private final EndpointListWaiter listWaiter;
    private DeploymentSettings settings;
    /** The endpoints of the last list from the source; null before the first. */
    private Collection<WorkerEndpoint> lastEndpoints;
    /** Whether lists are passed on to the other process of an upgrade. */
    private boolean sharesLists;

    private boolean ready;

    private GathererService(ConfigReader file, Startup.ProcessContext context) throws IOException {
        this.context = context;
        loop = context.loop();
        config = Config.read(file, context.env());
        settings = config.site();
        if (!settings.defaultsUsed().isEmpty()) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "configuration: settings not given, defaults in use: {0}",
                    String.join(", ", settings.defaultsUsed()));
        }
        warmup = new JvmWarmup(settings);
        warmup.runQueries(JvmWarmup.QUERIES_BEFORE_READY);
        SearchBackend search =
                config.openSearch() != null && config.openSearch().backend()
                        ? new SearchBackend(loop, settings, config.openSearch())
                        : null;
        PooledBackend<?> backend = search == null ? new FrameBackend(loop, settings) : search;
        endpointSource = EndpointSource.open(config, loop);
        core = new Gatherer(settings.scheduler(), config.seed(), loop, backend, endpointSource.discovery());
        core.setClassNames(settings.classes());
        backend.start(core);
        listWaiter = new EndpointListWaiter(core, loop);
        core.addEndpointListListener(this::onEndpointList);
        storeEndpointLists();
        startPlanner();
        loop.execute(this::startDiscovery);
        operator = config.operator() == null
                ? null
                : new OperatorService(stateFolder(context.env()), settings, loop, core, this::acceptsQueries);
        clients = new ClientServers(config, core, loop, search, () -> ready);
    }

    /**
     * Opens all components and starts serving.
     *
     * @param settingsFromStore whether the settings come from the store instead of the file
     * @return the servers that listen; filled later if another process still serves
     */
    public static List<HttpServer> start(ConfigReader file, boolean settingsFromStore, Startup.ProcessContext context)
            throws IOException {
        GathererService service = new GathererService(file, context);
        if (!service.otherProcessExists()) {
            service.clients.listen();
        }
        service.handleSignals(file, settingsFromStore);
        // Runs after the signal handlers are installed: a supervisor may send a signal as soon as the process is ready,
        // and without a handler the signal would end it.
        service.loop.execute(service::begin);
        return service.clients.servers();
    }

    private boolean acceptsQueries() {
        return ready && clients.servers().stream().allMatch(HttpServer::isListening);
    }

    private boolean otherProcessExists() {
        return operator != null && operator.otherProcessIsAlive();
    }

    private static Path stateFolder(Map<String, String> env) {
        String folder = env.get("TMPDIR");
        return folder == null || folder.isEmpty() ? null : Path.of(folder);
    }

    /**
     * Saves each endpoint list if this is the store's leader. A starting gatherer uses the saved list until its first
     * poll.
     */
    private void storeEndpointLists() {
        if (context.store().leads()) {
            core.addEndpointListListener(this::storeEndpointList);
        }
    }

    private void storeEndpointList(Collection<WorkerEndpoint> endpoints) {
        Store store = context.store();
        String list = EndpointListJson.write(
                endpoints.stream()
                        .sorted(Comparator.comparing(WorkerEndpoint::id))
                        .toList(),
                config.site());
        if (!list.equals(store.get("nodes"))) {
            store.put("nodes", list, held -> {});
        }
    }

    /**
     * Applies the file's list before starting discovery: a pushed list may arrive at once and must not be replaced by
     * it.
     */
    private void startDiscovery() {
        core.onEndpointList(EndpointListKind.CACHED, config.known().hosts());
        endpointSource.start().accept(core);
    }

    /** Adopts what another process of this gatherer was told, and passes on what this one is told. */
    private void shareEndpointLists() {
        EndpointListSharing sharing = endpointSource.sharing();
        if (operator == null || sharing == null) {
            return;
        }
        sharesLists = true;
        if (lastEndpoints != null) {
            operator.publish(sharing.snapshot(lastEndpoints));
        } else if (operator.otherProcessIsAlive()) {
            sharing.retryPromptly(PROMPT_RETRIES_S);
        }
        operator.whenListReceivedByOther(list -> sharing.adopt(list, operator.otherProcessIsAlive()));
    }

    private void onEndpointList(Collection<WorkerEndpoint> endpoints) {
        lastEndpoints = endpoints;
        if (sharesLists) {
            operator.publish(endpointSource.sharing().snapshot(endpoints));
        }
    }

    private void startPlanner() {
        if (config.plan() != null) {
            PlannerThread planner = new PlannerThread(
                    config.plan(),
                    config.site().scheduler().layout(),
                    loop,
                    core,
                    PlannerThread.thread(),
                    loop::execute);
            loop.execute(planner::start);
        }
    }

    private void handleSignals(ConfigReader file, boolean settingsFromStore) {
        Consumer<Boolean> reloadListener = operator == null ? applied -> {} : operator::countReload;
        ConfigReloader.ReloadTargets targets = new ConfigReloader.ReloadTargets(
                endpointSource.changeAddress(),
                endpointSource.replace(),
                sockets -> loop.setSocketCap(sockets - Startup.OTHER_DESCRIPTORS),
                this::applySettings);
        new ConfigReloader(context.env(), file, settingsFromStore, loop::execute, targets, reloadListener)
                .installSignalHandler();
        UpgradePeer peer = operator == null ? UpgradePeer.NONE : operator;
        Runnable announceLeave = context.members() == null ? () -> {} : context.members()::leave;
        new GracefulShutdown(loop, clients.servers(), core, peer, announceLeave).installSignalHandlers();
    }

    /** Applies changed settings to queries from now on. */
    private void applySettings(Config changed) {
        settings = settings.withReloadable(changed.site());
        core.updateSettings(settings.scheduler(), settings.classes());
        clients.applySettings(settings, changed);
    }

    private void begin() {
        shareEndpointLists();
        if (operator != null) {
            startOperator();
        }
        if (otherProcessExists()) {
            operator.whenOtherProcessChanges(alive -> {
                if (!alive) {
                    listWaiter.stopWaiting();
                }
            });
            listWaiter.runWithin(LIST_TIMEOUT_S, this::takeOver);
        } else if (endpointSource.pushed()) {
            listWaiter.runWithin(PUSHED_LIST_TIMEOUT_S, this::serve);
        } else {
            serve();
        }
    }

    /** Sets up capacity sharing with another process of this gatherer and opens the operators' address. */
    private void startOperator() {
        operator.whenOtherServingChanges(core::setUpgradePeerActive);
        operator.whenOtherProcessChanges(another ->
                loop.shareSocketsWithUpgradePeer(another, (loop.unsharedSocketCap() - Startup.OTHER_DESCRIPTORS) / 2));
        try {
            operator.start(config.operator());
        } catch (IOException e) {
            StartupFailure.exit("can't start: opening the operators' address failed: " + e.getMessage(), 1);
        }
    }

    /** Starts to take over from another process: both processes serve from then on. */
    private void takeOver() {
        operator.startServing(this::listenAndServe);
        loop.after(ANNOUNCE_TIMEOUT_S, this::listenAndServe);
    }

    private void listenAndServe() {
        if (!ready) {
            clients.listen();
            serve();
        }
    }

    private void serve() {
        ready = true;
        context.events().write("ready");
        clients.servers()
                .forEach(server ->
                        LOG.log(System.Logger.Level.INFO, "{0} serves on {1}", config.name(), server.address()));
        LOG.log(
                System.Logger.Level.INFO,
                "ready with endpoint list version {0}, {1} workers, {2}",
                Long.toString(core.metrics().endpointListVersion()),
                core.listedEndpointCount(),
                listWaiter.hasReceived() ? "received from its source" : "none received from its source yet");
        warmup.runRemainingQueries(loop, () -> core.inFlightQueries() == 0);
    }
}
