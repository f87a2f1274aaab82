package pepperdock.config;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;

/**
 * Maps hosts that other gatherers announce to the hosts to connect to instead, for gatherers that are reached through a
 * network that translates addresses, a tunnel or a test relay. Read from the key {@code reach} of the file. Immutable.
 *
 * @param hosts the host to connect to by announced host; ports stay the same, and hosts without an entry are used as
 *     announced
 */
public record AddressTranslation(Map<InetAddress, InetAddress> hosts) {

    private static final String REACH = "reach";
    /** Completes a host to an address that {@link Config#parseAddress} parses; the port is not used. */
    private static final String ANY_PORT = ":1";

    static AddressTranslation read(ConfigReader file) {
        Map<InetAddress, InetAddress> hosts = new HashMap<>();
        ConfigReader reach = file.optionalObject(REACH);
        for (String announced : reach.names()) {
            InetAddress from = Config.parseAddress(reach.key(announced), announced + ANY_PORT)
                    .getAddress();
            InetAddress to = Config.parseAddress(reach.key(announced), reach.text(announced) + ANY_PORT)
                    .getAddress();
            hosts.put(from, to);
        }
        return new AddressTranslation(Map.copyOf(hosts));
    }

    /** Returns the address to connect to for an announced address. */
    public InetSocketAddress translate(InetSocketAddress announced) {
        InetAddress host = hosts.get(announced.getAddress());
        return host == null ? announced : new InetSocketAddress(host, announced.getPort());
    }
}
