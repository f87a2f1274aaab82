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
 * The validated configuration of a gatherer, with defaults filled in. Immutable. Environment variables take precedence
 * over the file.
 *
 * @param name the name of this gatherer
 * @param listen the address that clients connect to; null if only the OpenSearch-style front serves clients
 * @param discovery the address that the endpoint list is polled from; null if the list is fixed or comes from DNS
 * @param seed the seed of the random generator
 * @param known the initial endpoint list
 * @param site the settings of the deployment
 * @param openSearch the OpenSearch-style front; null if the file has none
 * @param dnsSd discovery by DNS; null if the endpoint list does not come from DNS
 * @param plan the planner of shares; null if shares are not planned
 * @param operator the address that operators connect to; null if operators are not served
 */
public record Config(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        EndpointListJson known,
        DeploymentSettings site,
        OpenSearchConfig openSearch,
        DnsSdConfig dnsSd,
        PlanConfig plan,
        InetSocketAddress operator) {

    /** The environment variable that holds the path of the configuration file. */
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

    /**
     * Reads the configuration file that {@code EDGE_CONFIG} names; its values are not checked yet.
     *
     * @throws ConfigException if the variable is not set, or the file can't be read or is no JSON object
     */
    public static ConfigReader readFile(Map<String, String> env) {
        String file = env.get(FILE_VARIABLE);
        if (file == null) {
            throw new ConfigException(
                    FILE_VARIABLE, "environment variable not set; it must name the configuration file");
        }
        try {
            return ConfigReader.of("", parse(Files.readString(Path.of(file)), FILE_VARIABLE));
        } catch (IOException e) {
            throw new ConfigException(FILE_VARIABLE, "can't read the configuration file " + file);
        }
    }

    /** Reads the configuration of the store, which is needed before the rest of the file; null if the file has none. */
    public static StoreConfig store(ConfigReader file) {
        return file.has(STORE) ? StoreConfig.read(file.requiredObject(STORE), AddressTranslation.read(file)) : null;
    }

    /** Returns whether events are written, for tests that evaluate several gatherers together. */
    public static boolean events(ConfigReader file) {
        return file.flag(EVENTS, false);
    }

    /** Returns how many file descriptors this process may have open. */
    public static int sockets(ConfigReader file) {
        return file.optionalObject(LIMITS).integer(SOCKETS, MIN_SOCKETS, MAX_SOCKETS, DEFAULT_SOCKETS);
    }

    /** Reads and checks a whole file; environment variables take precedence over its values. */
    public static Config read(ConfigReader file, Map<String, String> env) {
        return read(file, env, file);
    }

    /**
     * Reads and checks a file that is put into use while the program runs.
     *
     * @param started the file that the program was started with: its backend stays in use until a restart, and decides
     *     whether the workers recognise repeats by a key
     */
    public static Config read(ConfigReader file, Map<String, String> env, ConfigReader started) {
        sockets(file);
        events(file);
        if (file.has(MEMBERS)) {
            MembersConfig.read(file);
        }
        DeploymentSettings site = DeploymentSettingsReader.read(file.requiredObject(SETTINGS));
        EndpointListJson known =
                file.has(KNOWN) ? EndpointListJson.read(file.requiredObject(KNOWN), site) : EndpointListJson.none();
        OpenSearchConfig openSearch =
                file.has(OPEN_SEARCH) ? OpenSearchConfig.read(file.requiredObject(OPEN_SEARCH), site) : null;
        boolean listens = openSearch == null || file.has(LISTEN);
        return new Config(
                env.getOrDefault(NAME_VARIABLE, file.text(NAME, DEFAULT_NAME)),
                addressOf(env, LISTEN_VARIABLE, file, LISTEN, listens),
                addressOf(env, DISCOVERY_VARIABLE, file, DISCOVERY, file.has(DISCOVERY)),
                seed(file),
                known,
                usesOpenSearchBackend(started) ? site.withoutIdempotencyKeys() : site,
                openSearch,
                file.has(DNS_SD) ? DnsSdConfig.read(file.requiredObject(DNS_SD)) : null,
                file.has(PLAN) ? PlanConfig.read(file.requiredObject(PLAN)) : null,
                addressOf(env, OPERATOR_VARIABLE, file, OPERATOR, file.has(OPERATOR)));
    }

    private static boolean usesOpenSearchBackend(ConfigReader file) {
        return file.has(OPEN_SEARCH) && OpenSearchConfig.usesBackend(file.requiredObject(OPEN_SEARCH));
    }

    /**
     * Returns the address in the environment variable if it is set, else that in the file if {@code required}, else
     * null.
     */
    private static InetSocketAddress addressOf(
            Map<String, String> env, String variable, ConfigReader file, String key, boolean required) {
        if (env.containsKey(variable)) {
            return parseAddress(variable, env.get(variable));
        }
        return required ? parseAddress(key, file.text(key)) : null;
    }

    /** Parses JSON; a {@link ConfigException} names {@code key} if the text is not valid JSON. */
    public static JsonElement parse(String json, String key) {
        try {
            return JsonParser.parseString(json);
        } catch (JsonParseException e) {
            throw new ConfigException(key, "not valid JSON");
        }
    }

    private static long seed(ConfigReader file) {
        if (!file.has(SEED)) {
            return System.nanoTime();
        }
        try {
            return Long.parseUnsignedLong(file.text(SEED), 16);
        } catch (NumberFormatException e) {
            throw new ConfigException(file.key(SEED), "must be up to 16 hex digits");
        }
    }

    /** Formats an address so that {@link #parseAddress} can parse it. */
    public static String formatAddress(InetSocketAddress address) {
        String host = address.getAddress().getHostAddress();
        return (host.indexOf(':') < 0 ? host : '[' + host + ']') + ':' + address.getPort();
    }

    /** Parses a numeric IP address and port; host names are rejected, so none is looked up. */
    public static InetSocketAddress parseAddress(String key, String text) {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            String host = text.substring(0, Math.max(0, colon));
            if (!host.matches("[0-9.]+|\\[?[0-9A-Fa-f:.]+]?")) {
                throw new ConfigException(key, "must be a numeric ADDRESS:PORT, but is " + text);
            }
            return new InetSocketAddress(host, port);
        } catch (IllegalArgumentException e) {
            throw new ConfigException(key, "must be a numeric ADDRESS:PORT, but is " + text);
        }
    }
}
