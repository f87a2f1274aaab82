package pepperdock.config;

import java.net.InetSocketAddress;
import java.util.Locale;

/** Where node records are browsed: the server, the service ({@code _ledger._tcp}), the domain and the pace. */
public record DnsSdConfig(InetSocketAddress server, String service, String domain, double timeoutS, double leastS) {

    static DnsSdConfig read(Keys keys) {
        String service = keys.text("service");
        if (!service.toLowerCase(Locale.ROOT).matches("_[a-z0-9-]{1,15}\\._(tcp|udp)")) {
            throw new ConfigException(keys.key("service"), "not of the form _name._tcp");
        }
        String domain = keys.text("domain");
        if (!domain.matches("[A-Za-z0-9-]+(\\.[A-Za-z0-9-]+)*\\.?")) {
            throw new ConfigException(keys.key("domain"), "not a domain name");
        }
        double timeout = keys.number("timeout_s", 2);
        double least = keys.number("least_s", 1);
        if (!(timeout > 0)) {
            throw new ConfigException(keys.key("timeout_s"), "not above 0");
        }
        if (!(least > 0)) {
            throw new ConfigException(keys.key("least_s"), "not above 0");
        }
        return new DnsSdConfig(
                Config.address(keys.key("server"), keys.text("server")), service, domain, timeout, least);
    }
}
