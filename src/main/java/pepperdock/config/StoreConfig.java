package pepperdock.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The store's members by name, which of them leads, which one this is, and where its log lies. {@code folder} is null for
 * a copy in memory only.
 */
public record StoreConfig(
        String self,
        String leader,
        Map<String, InetSocketAddress> members,
        Path folder,
        double retryS,
        int snapshotEvery) {

    static StoreConfig read(Keys keys, AddressTranslation reach) {
        Map<String, InetSocketAddress> members = new LinkedHashMap<>();
        for (Keys m : keys.objects("members")) {
            if (members.put(m.text("name"), Config.address(m.key("address"), m.text("address"))) != null) {
                throw new ConfigException(m.key("name"), "given twice");
            }
        }
        String self = keys.text("self");
        members.replaceAll((name, announced) -> name.equals(self) ? announced : reach.of(announced));
        String leader = keys.text("leader");
        if (!members.containsKey(self)) {
            throw new ConfigException(keys.key("self"), "not among the members");
        }
        if (!members.containsKey(leader)) {
            throw new ConfigException(keys.key("leader"), "not among the members");
        }
        double retry = keys.number("retry_s", 1);
        if (!(retry > 0)) {
            throw new ConfigException(keys.key("retry_s"), "not above 0");
        }
        return new StoreConfig(
                self,
                leader,
                members,
                keys.has("folder") ? Path.of(keys.text("folder")) : null,
                retry,
                keys.whole("snapshot_every", 1, Integer.MAX_VALUE, 1000));
    }

    public boolean leads() {
        return self.equals(leader);
    }
}
