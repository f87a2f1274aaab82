package pepperdock.config;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;

/**
 * Where other gatherers are reached from here, where that is not the host that they announce: through a network that translates
 * addresses, a tunnel, or a test relay. The file's key {@code reach}. Immutable.
 *
 * @param hosts from announced host to the host to connect to; ports stay, and hosts not named are as announced
 */
public record AddressTranslation(Map<InetAddress, InetAddress> hosts) {

    private static final String REACH = "reach";
    /** Makes a host an address that {@link Config#address} reads; the port is not used. */
    private static final String ANY_PORT = ":1";

    static AddressTranslation read(ConfigReader file) {
        Map<InetAddress, InetAddress> hosts = new HashMap<>();
        ConfigReader reach = file.within(REACH);
        for (String announced : reach.names()) {
            InetAddress from =
                    Config.address(reach.key(announced), announced + ANY_PORT).getAddress();
            InetAddress to = Config.address(reach.key(announced), reach.text(announced) + ANY_PORT)
                    .getAddress();
            hosts.put(from, to);
        }
        return new AddressTranslation(Map.copyOf(hosts));
    }

    /** The address to connect to for one that is announced. */
    public InetSocketAddress of(InetSocketAddress announced) {
        InetAddress host = hosts.get(announced.getAddress());
        return host == null ? announced : new InetSocketAddress(host, announced.getPort());
    }
}
