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
 * All that a gatherer is told at its start, checked and with defaults. {@code listen} is null where only
 * the OpenSearch-style front serves, {@code discovery} where the list is fixed or comes from DNS; {@code openSearch},
 * {@code dnsSd}, {@code plan} and {@code operator} are null where the operator's file has none.
 */
public record Config(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        HostList known,
        Site site,
        OpenSearchConfig openSearch,
        DnsSdConfig dnsSd,
        PlanConfig plan,
        InetSocketAddress operator) {

    private static final int SOCKETS = 1024;

    /** The file that {@code EDGE_CONFIG} names. */
    public static Keys file(Map<String, String> env) {
        String file = env.get("EDGE_CONFIG");
        if (file == null) {
            throw new ConfigException("EDGE_CONFIG", "not set");
        }
        try {
            return Keys.of("", parse(Files.readString(Path.of(file)), "EDGE_CONFIG"));
        } catch (IOException e) {
            throw new ConfigException("EDGE_CONFIG", "can't read " + file);
        }
    }

    /** The store's part of a file, which is wanted before the rest; null where there is none. */
    public static StoreConfig store(Keys all) {
        return all.has("store") ? StoreConfig.read(all.needed("store"), AddressTranslation.read(all)) : null;
    }

    /** Whether events are written for a rig that judges several gatherers together. */
    public static boolean events(Keys all) {
        return all.flag("events", false);
    }

    public static int sockets(Keys all) {
        return all.within("limits").whole("sockets", 160, 1 << 24, SOCKETS);
    }

    /** Reads and checks a file; the platform's variables go before what stands in it. */
    public static Config read(Keys all, Map<String, String> env) {
        sockets(all);
        events(all);
        if (all.has("members")) {
            MembersConfig.read(all);
        }
        Site site = Site.read(all.needed("settings"));
        HostList known = all.has("known") ? HostList.read(all.needed("known"), site) : HostList.none();
        OpenSearchConfig openSearch =
                all.has("opensearch") ? OpenSearchConfig.read(all.needed("opensearch"), site) : null;
        return new Config(
                env.getOrDefault("EDGE_NAME", all.text("name", "pepperdock")),
                env.containsKey("EDGE_LISTEN")
                        ? address("EDGE_LISTEN", env.get("EDGE_LISTEN"))
                        : openSearch == null || all.has("listen") ? address("listen", all.text("listen")) : null,
                env.containsKey("EDGE_DISCOVERY")
                        ? address("EDGE_DISCOVERY", env.get("EDGE_DISCOVERY"))
                        : all.has("discovery") ? address("discovery", all.text("discovery")) : null,
                seed(all),
                known,
                openSearch != null && openSearch.backend() ? site.withoutRepeats() : site,
                openSearch,
                all.has("dnssd") ? DnsSdConfig.read(all.needed("dnssd")) : null,
                all.has("plan") ? PlanConfig.read(all.needed("plan")) : null,
                env.containsKey("EDGE_OPERATOR")
                        ? address("EDGE_OPERATOR", env.get("EDGE_OPERATOR"))
                        : all.has("operator") ? address("operator", all.text("operator")) : null);
    }

    public static JsonElement parse(String json, String key) {
        try {
            return JsonParser.parseString(json);
        } catch (JsonParseException e) {
            throw new ConfigException(key, "not JSON");
        }
    }

    private static long seed(Keys all) {
        if (!all.has("seed")) {
            return System.nanoTime();
        }
        try {
            return Long.parseUnsignedLong(all.text("seed"), 16);
        } catch (NumberFormatException e) {
            throw new ConfigException(all.key("seed"), "not 16 hex digits");
        }
    }

    /** An address as {@link #address} reads it. */
    public static String text(InetSocketAddress address) {
        String host = address.getAddress().getHostAddress();
        return (host.indexOf(':') < 0 ? host : '[' + host + ']') + ':' + address.getPort();
    }

    /** An address and port, given in digits: nothing is looked up. */
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
