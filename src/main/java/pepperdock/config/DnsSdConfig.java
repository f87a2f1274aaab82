package pepperdock.config;

import java.net.InetSocketAddress;
import java.util.Locale;

/**
 * The configuration of worker discovery by DNS service records, read from the key {@code dnssd} of the file. Immutable.
 *
 * @param server the address of the DNS server
 * @param service the service type, such as {@code _ledger._tcp}
 * @param domain the domain in which the service is browsed
 * @param timeoutS the timeout of one DNS query, in seconds
 * @param leastS the minimum time between two polls, in seconds
 */
public record DnsSdConfig(InetSocketAddress server, String service, String domain, double timeoutS, double leastS) {

    private static final String SERVER = "server";
    private static final String SERVICE = "service";
    private static final String SERVICE_PATTERN = "_[a-z0-9-]{1,15}\\._(tcp|udp)";
    private static final String DOMAIN = "domain";
    private static final String DOMAIN_PATTERN = "[A-Za-z0-9-]+(\\.[A-Za-z0-9-]+)*\\.?";
    private static final String TIMEOUT_S = "timeout_s";
    private static final double DEFAULT_TIMEOUT_S = 2;
    private static final String LEAST_S = "least_s";
    private static final double DEFAULT_LEAST_S = 1;

    static DnsSdConfig read(ConfigReader keys) {
        String service = keys.text(SERVICE);
        if (!service.toLowerCase(Locale.ROOT).matches(SERVICE_PATTERN)) {
            throw new ConfigException(
                    keys.key(SERVICE), "must have the form _name._tcp or _name._udp, but is " + service);
        }
        String domain = keys.text(DOMAIN);
        if (!domain.matches(DOMAIN_PATTERN)) {
            throw new ConfigException(keys.key(DOMAIN), "must be a domain name, but is " + domain);
        }
        double timeoutS = keys.number(TIMEOUT_S, DEFAULT_TIMEOUT_S);
        double leastS = keys.number(LEAST_S, DEFAULT_LEAST_S);
        if (!(timeoutS > 0)) {
            throw new ConfigException(keys.key(TIMEOUT_S), "must be above 0");
        }
        if (!(leastS > 0)) {
            throw new ConfigException(keys.key(LEAST_S), "must be above 0");
        }
        return new DnsSdConfig(
                Config.parseAddress(keys.key(SERVER), keys.text(SERVER)), service, domain, timeoutS, leastS);
    }
}
