package pepperdock.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The replicated store, the file's key {@code store}. Immutable.
 *
 * @param self this member's name
 * @param leader the name of the member that takes writes
 * @param members all members' addresses, by name
 * @param folder where this member's log lies; null for a copy in memory only
 * @param retryS between two attempts to reach the leader, and the connect timeout of each, in seconds
 * @param snapshotEvery the log is compacted when it has twice as many entries
 */
public record StoreConfig(
        String self,
        String leader,
        Map<String, InetSocketAddress> members,
        Path folder,
        double retryS,
        int snapshotEvery) {

    /** Entries, where the file does not say otherwise. */
    public static final int DEFAULT_SNAPSHOT_EVERY = 1000;

    private static final String MEMBERS = "members";
    private static final String MEMBER_NAME = "name";
    private static final String MEMBER_ADDRESS = "address";
    private static final String SELF = "self";
    private static final String LEADER = "leader";
    private static final String FOLDER = "folder";
    private static final String RETRY_S = "retry_s";
    private static final double DEFAULT_RETRY_S = 1;
    private static final String SNAPSHOT_EVERY = "snapshot_every";

    static StoreConfig read(ConfigReader keys, AddressTranslation reach) {
        Map<String, InetSocketAddress> members = readMembers(keys);
        String self = keys.text(SELF);
        members.replaceAll((name, announced) -> name.equals(self) ? announced : reach.of(announced));
        String leader = keys.text(LEADER);
        if (!members.containsKey(self)) {
            throw new ConfigException(keys.key(SELF), "not among the members");
        }
        if (!members.containsKey(leader)) {
            throw new ConfigException(keys.key(LEADER), "not among the members");
        }
        double retryS = keys.number(RETRY_S, DEFAULT_RETRY_S);
        if (!(retryS > 0)) {
            throw new ConfigException(keys.key(RETRY_S), "not above 0");
        }
        return new StoreConfig(
                self,
                leader,
                members,
                keys.has(FOLDER) ? Path.of(keys.text(FOLDER)) : null,
                retryS,
                keys.whole(SNAPSHOT_EVERY, 1, Integer.MAX_VALUE, DEFAULT_SNAPSHOT_EVERY));
    }

    private static Map<String, InetSocketAddress> readMembers(ConfigReader keys) {
        Map<String, InetSocketAddress> members = new LinkedHashMap<>();
        for (ConfigReader member : keys.objects(MEMBERS)) {
            String name = member.text(MEMBER_NAME);
            InetSocketAddress address = Config.address(member.key(MEMBER_ADDRESS), member.text(MEMBER_ADDRESS));
            if (members.put(name, address) != null) {
                throw new ConfigException(member.key(MEMBER_NAME), "given twice");
            }
        }
        return members;
    }

    /** Whether this member takes writes. */
    public boolean leads() {
        return self.equals(leader);
    }
}
