package pepperdock.config;

import com.google.gson.JsonElement;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/**
 * The configuration of a gatherer, checked and with defaults. Immutable. Environment variables take precedence over the file.
 *
 * @param name of this gatherer
 * @param listen where clients connect; null where only the OpenSearch-style front serves
 * @param discovery where the endpoint list is polled; null where it is fixed or comes from DNS
 * @param seed of the random generator
 * @param known the endpoint list to begin with
 * @param site the deployment's settings
 * @param openSearch null where the file has no such front
 * @param dnsSd null where the endpoint list does not come from DNS
 * @param plan null where shares are not planned
 * @param operator where operators connect; null for no such address
 */
public record Config(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        HostList known,
        DeploymentSettings site,
        OpenSearchConfig openSearch,
        DnsSdConfig dnsSd,
        PlanConfig plan,
        InetSocketAddress operator) {

    /** Names the configuration file. */
    private static final String FILE_VARIABLE = "EDGE_CONFIG";

    private static final String NAME_VARIABLE = "EDGE_NAME";
    private static final String LISTEN_VARIABLE = "EDGE_LISTEN";
    private static final String DISCOVERY_VARIABLE = "EDGE_DISCOVERY";
    private static final String OPERATOR_VARIABLE = "EDGE_OPERATOR";

    private static final String NAME = "name";
    private static final String DEFAULT_NAME = "pepperdock";
    private static final String LISTEN = "listen";
    private static final String DISCOVERY = "discovery";
    private static final String OPERATOR = "operator";
    private static final String SEED = "seed";
    private static final String SETTINGS = "settings";
    private static final String KNOWN = "known";
    private static final String MEMBERS = "members";
    private static final String STORE = "store";
    private static final String OPEN_SEARCH = "opensearch";
    private static final String DNS_SD = "dnssd";
    private static final String PLAN = "plan";
    private static final String EVENTS = "events";
    private static final String LIMITS = "limits";
    private static final String SOCKETS = "sockets";
    private static final int MIN_SOCKETS = 160;
    private static final int MAX_SOCKETS = 1 << 24;
    private static final int DEFAULT_SOCKETS = 1024;

    /** The file that {@code EDGE_CONFIG} names. */
    public static ConfigReader file(Map<String, String> env) {
        String file = env.get(FILE_VARIABLE);
        if (file == null) {
            throw new ConfigException(FILE_VARIABLE, "not set");
        }
        try {
            return ConfigReader.of("", parse(Files.readString(Path.of(file)), FILE_VARIABLE));
        } catch (IOException e) {
            throw new ConfigException(FILE_VARIABLE, "can't read " + file);
        }
    }

    /** The store's part of a file, which is needed before the rest; null where there is none. */
    public static StoreConfig store(ConfigReader file) {
        return file.has(STORE) ? StoreConfig.read(file.needed(STORE), AddressTranslation.read(file)) : null;
    }

    /** Whether events are written, for tests that judge several gatherers together. */
    public static boolean events(ConfigReader file) {
        return file.flag(EVENTS, false);
    }

    /** How many descriptors this process may have open. */
    public static int sockets(ConfigReader file) {
        return file.within(LIMITS).whole(SOCKETS, MIN_SOCKETS, MAX_SOCKETS, DEFAULT_SOCKETS);
    }

    /** Reads and checks a whole file; the environment's variables take precedence over what stands in it. */
    public static Config read(ConfigReader file, Map<String, String> env) {
        sockets(file);
        events(file);
        if (file.has(MEMBERS)) {
            MembersConfig.read(file);
        }
        DeploymentSettings site = DeploymentSettingsReader.read(file.needed(SETTINGS));
        HostList known = file.has(KNOWN) ? HostList.read(file.needed(KNOWN), site) : HostList.none();
        OpenSearchConfig openSearch =
                file.has(OPEN_SEARCH) ? OpenSearchConfig.read(file.needed(OPEN_SEARCH), site) : null;
        boolean listens = openSearch == null || file.has(LISTEN);
        return new Config(
                env.getOrDefault(NAME_VARIABLE, file.text(NAME, DEFAULT_NAME)),
                addressOf(env, LISTEN_VARIABLE, file, LISTEN, listens),
                addressOf(env, DISCOVERY_VARIABLE, file, DISCOVERY, file.has(DISCOVERY)),
                seed(file),
                known,
                openSearch != null && openSearch.backend() ? site.withoutIdempotencyKeys() : site,
                openSearch,
                file.has(DNS_SD) ? DnsSdConfig.read(file.needed(DNS_SD)) : null,
                file.has(PLAN) ? PlanConfig.read(file.needed(PLAN)) : null,
                addressOf(env, OPERATOR_VARIABLE, file, OPERATOR, file.has(OPERATOR)));
    }

    /** The variable's address where it is set, else the file's where it is wanted, else null. */
    private static InetSocketAddress addressOf(
            Map<String, String> env, String variable, ConfigReader file, String key, boolean wanted) {
        if (env.containsKey(variable)) {
            return address(variable, env.get(variable));
        }
        return wanted ? address(key, file.text(key)) : null;
    }

    /** Parses JSON; where it is none, the key is named as faulty. */
    public static JsonElement parse(String json, String key) {
        try {
            return JsonParser.parseString(json);
        } catch (JsonParseException e) {
            throw new ConfigException(key, "not JSON");
        }
    }

    private static long seed(ConfigReader file) {
        if (!file.has(SEED)) {
            return System.nanoTime();
        }
        try {
            return Long.parseUnsignedLong(file.text(SEED), 16);
        } catch (NumberFormatException e) {
            throw new ConfigException(file.key(SEED), "not 16 hex digits");
        }
    }

    /** An address as text, as {@link #address} reads it. */
    public static String text(InetSocketAddress address) {
        String host = address.getAddress().getHostAddress();
        return (host.indexOf(':') < 0 ? host : '[' + host + ']') + ':' + address.getPort();
    }

    /** Parses an address and port in digits: no name is looked up. */
    public static InetSocketAddress address(String key, String text) {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            String host = text.substring(0, Math.max(0, colon));
            if (!host.matches("[0-9.]+|\\[?[0-9A-Fa-f:.]+]?")) {
                throw new ConfigException(key, "not ADDRESS:PORT: " + text);
            }
            return new InetSocketAddress(host, port);
        } catch (IllegalArgumentException e) {
            throw new ConfigException(key, "not ADDRESS:PORT: " + text);
        }
    }
}
