package pepperdock.config;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;

/**
 * Where other gatherers are reached from here, where that is not the host that they announce: through a network that
 * translates addresses, a tunnel, or the rig's relay. Announced host to host; ports stay, and hosts not named are as announced.
 */
public record AddressTranslation(Map<InetAddress, InetAddress> hosts) {

    static AddressTranslation read(Keys all) {
        Map<InetAddress, InetAddress> hosts = new HashMap<>();
        Keys reach = all.within("reach");
        for (String announced : reach.names()) {
            InetAddress from =
                    Config.address(reach.key(announced), announced + ":1").getAddress();
            hosts.put(
                    from,
                    Config.address(reach.key(announced), reach.text(announced) + ":1")
                            .getAddress());
        }
        return new AddressTranslation(Map.copyOf(hosts));
    }

    public InetSocketAddress of(InetSocketAddress announced) {
        InetAddress there = hosts.get(announced.getAddress());
        return there == null ? announced : new InetSocketAddress(there, announced.getPort());
    }
}
