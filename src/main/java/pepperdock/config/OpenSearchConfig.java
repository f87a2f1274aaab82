package pepperdock.config;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The configuration of the OpenSearch-style front, read from the key {@code opensearch} of the file. Immutable.
 *
 * @param listen the address that clients connect to
 * @param indices the number of the query class that each index name stands for
 * @param backend whether the workers speak the same API rather than the platform's frames
 * @param connectionsPerWorker the maximum number of connections to one worker
 * @param scrollContexts the maximum number of scroll contexts open at a time
 * @param scrollMostS the longest time for which a client may keep a scroll context, in seconds
 */
public record OpenSearchConfig(
        InetSocketAddress listen,
        Map<String, Integer> indices,
        boolean backend,
        int connectionsPerWorker,
        int scrollContexts,
        double scrollMostS) {

    private static final String LISTEN = "listen";
    private static final String INDICES = "indices";
    private static final String INDEX_NAME = "index";
    private static final String INDEX_CLASS = "class";
    private static final String INDEX_NAME_PATTERN = "[a-z0-9][a-z0-9._-]*";
    private static final String BACKEND = "backend";
    private static final String BACKEND_OPENSEARCH = "opensearch";
    private static final String BACKEND_FRAMES = "frames";
    private static final String CONNECTIONS_PER_WORKER = "connections_per_worker";
    private static final int MAX_CONNECTIONS_PER_WORKER = 1024;
    private static final int DEFAULT_CONNECTIONS_PER_WORKER = 8;
    private static final String SCROLL_CONTEXTS = "scroll_contexts";
    private static final int MAX_SCROLL_CONTEXTS = 100_000;
    private static final int DEFAULT_SCROLL_CONTEXTS = 500;
    private static final String SCROLL_MOST_S = "scroll_most_s";
    private static final int MAX_SCROLL_MOST_S = 86_400;
    private static final int DEFAULT_SCROLL_MOST_S = 300;

    /** Returns whether the workers are servers of this API, which know no idempotency keys. */
    static boolean usesBackend(ConfigReader keys) {
        return keys.text(BACKEND, BACKEND_OPENSEARCH).equals(BACKEND_OPENSEARCH);
    }

    static OpenSearchConfig read(ConfigReader keys, DeploymentSettings site) {
        Map<String, Integer> indices = readIndices(keys, site);
        String backend = keys.text(BACKEND, BACKEND_OPENSEARCH);
        if (!List.of(BACKEND_OPENSEARCH, BACKEND_FRAMES).contains(backend)) {
            throw new ConfigException(keys.key(BACKEND), "must be opensearch or frames, but is " + backend);
        }
        return new OpenSearchConfig(
                Config.parseAddress(keys.key(LISTEN), keys.text(LISTEN)),
                indices,
                usesBackend(keys),
                keys.integer(CONNECTIONS_PER_WORKER, 1, MAX_CONNECTIONS_PER_WORKER, DEFAULT_CONNECTIONS_PER_WORKER),
                keys.integer(SCROLL_CONTEXTS, 1, MAX_SCROLL_CONTEXTS, DEFAULT_SCROLL_CONTEXTS),
                keys.integer(SCROLL_MOST_S, 1, MAX_SCROLL_MOST_S, DEFAULT_SCROLL_MOST_S));
    }

    private static Map<String, Integer> readIndices(ConfigReader keys, DeploymentSettings site) {
        Map<String, Integer> indices = new LinkedHashMap<>();
        for (ConfigReader index : keys.objects(INDICES)) {
            int queryClass = site.classes().indexOf(index.text(INDEX_CLASS));
            if (queryClass < 0) {
                throw new ConfigException(
                        index.key(INDEX_CLASS), "must be the name of a query class, but is " + index.text(INDEX_CLASS));
            }
            if (!index.text(INDEX_NAME).matches(INDEX_NAME_PATTERN)) {
                throw new ConfigException(
                        index.key(INDEX_NAME),
                        "must be an index name: lower-case letters, digits, dots, hyphens and underscores");
            }
            indices.put(index.text(INDEX_NAME), queryClass);
        }
        if (indices.isEmpty()) {
            throw new ConfigException(keys.key(INDICES), "must have at least one index");
        }
        return indices;
    }
}
