package pepperdock.platform;

import java.nio.charset.StandardCharsets;
import pepperdock.codec.http.HttpMessage;
import pepperdock.config.ConfigException;
import pepperdock.config.DeploymentSettings;
import pepperdock.config.EndpointListJson;

/**
 * Builds the requests of the discovery protocol (protocol, section "Discovery") and parses the answers. The entries of
 * a list are parsed by {@link EndpointListJson}, because the configuration and the store use the same format. Stateless
 * and thread-safe.
 */
final class DiscoveryProtocol {

    private static final String LIST_PATH = "/api/targets";

    private DiscoveryProtocol() {}

    /** Returns the target of a request for the complete list. */
    static String listTarget() {
        return LIST_PATH;
    }

    /**
     * Returns the target of a request for the changes since a version; discovery may wait for one up to {@code waitMs}.
     */
    static String watchTarget(long version, int waitMs) {
        return LIST_PATH + "?since=" + version + "&timeout_ms=" + waitMs;
    }

    /** Parses the answer to either request; throws {@link ConfigException} if it is an error or malformed. */
    static EndpointListJson parseList(HttpMessage response, DeploymentSettings settings) {
        if (response.status() != 200) {
            throw new ConfigException("answer", "HTTP status " + response.status() + ", expected 200");
        }
        return EndpointListJson.parse(new String(response.body(), StandardCharsets.UTF_8), settings);
    }
}
