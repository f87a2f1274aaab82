package pepperdock.config;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The operator's part for the OpenSearch-style front: where it listens, which index stands for which class, whether the
 * workers are asked in the same API, and the limits on scrolls and connections.
 */
public record OpenSearchConfig(
        InetSocketAddress listen,
        Map<String, Integer> indices,
        boolean backend,
        int connectionsPerWorker,
        int scrollContexts,
        double scrollMostS) {

    static OpenSearchConfig read(Keys keys, Site site) {
        Map<String, Integer> indices = new LinkedHashMap<>();
        for (Keys index : keys.objects("indices")) {
            int queryClass = site.classes().indexOf(index.text("class"));
            if (queryClass < 0) {
                throw new ConfigException(index.key("class"), "unknown class " + index.text("class"));
            }
            if (!index.text("index").matches("[a-z0-9][a-z0-9._-]*")) {
                throw new ConfigException(index.key("index"), "not an index name");
            }
            indices.put(index.text("index"), queryClass);
        }
        if (indices.isEmpty()) {
            throw new ConfigException(keys.key("indices"), "missing or empty");
        }
        String backend = keys.text("backend", "opensearch");
        if (!List.of("opensearch", "frames").contains(backend)) {
            throw new ConfigException(keys.key("backend"), "neither opensearch nor frames");
        }
        return new OpenSearchConfig(
                Config.address(keys.key("listen"), keys.text("listen")),
                indices,
                backend.equals("opensearch"),
                keys.whole("connections_per_worker", 1, 1024, 8),
                keys.whole("scroll_contexts", 1, 100_000, 500),
                keys.whole("scroll_most_s", 1, 86_400, 300));
    }
}
