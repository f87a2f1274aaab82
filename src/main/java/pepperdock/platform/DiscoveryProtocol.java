package pepperdock.platform;

import java.nio.charset.StandardCharsets;
import pepperdock.codec.http.HttpMessage;
import pepperdock.config.ConfigException;
import pepperdock.config.DeploymentSettings;
import pepperdock.config.HostList;

/**
 * The calls of the discovery protocol (protocol, section "Discovery") and their answers. The entries of a list are parsed by
 * {@link HostList}, as the configuration and the store hold them in the same form. Stateless; may be used on any thread.
 */
final class DiscoveryProtocol {

    private static final String LIST_PATH = "/api/targets";

    private DiscoveryProtocol() {}

    /** The target of a request for the complete list. */
    static String listTarget() {
        return LIST_PATH;
    }

    /** The target of a request for what changed since a version; discovery may wait so long for a change. */
    static String watchTarget(long version, int waitMs) {
        return LIST_PATH + "?since=" + version + "&timeout_ms=" + waitMs;
    }

    /** Parses the answer to either request; throws {@link ConfigException} where it is an error or malformed. */
    static HostList parseList(HttpMessage response, DeploymentSettings site) {
        if (response.status() != 200) {
            throw new ConfigException("answer", "status " + response.status());
        }
        return HostList.parse(new String(response.body(), StandardCharsets.UTF_8), site);
    }
}
