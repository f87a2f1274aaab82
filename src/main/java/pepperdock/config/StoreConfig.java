package pepperdock.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The configuration of the replicated store, read from the key {@code store} of the file. Immutable.
 *
 * @param self the name of this member
 * @param leader the name of the member that takes writes
 * @param members the addresses of all members, by name
 * @param folder the folder that holds this member's log; null for a copy in memory only
 * @param retryS the time between two attempts to reach the leader and the connect timeout of each, in seconds
 * @param snapshotEvery half the number of entries at which the log is compacted
 */
public record StoreConfig(
        String self,
        String leader,
        Map<String, InetSocketAddress> members,
        Path folder,
        double retryS,
        int snapshotEvery) {

    /** The default of {@link #snapshotEvery}, in entries. */
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
        members.replaceAll((name, announced) -> name.equals(self) ? announced : reach.translate(announced));
        String leader = keys.text(LEADER);
        if (!members.containsKey(self)) {
            throw new ConfigException(keys.key(SELF), "must be the name of a member, but is " + self);
        }
        if (!members.containsKey(leader)) {
            throw new ConfigException(keys.key(LEADER), "must be the name of a member, but is " + leader);
        }
        double retryS = keys.number(RETRY_S, DEFAULT_RETRY_S);
        if (!(retryS > 0)) {
            throw new ConfigException(keys.key(RETRY_S), "must be above 0, but is " + retryS);
        }
        return new StoreConfig(
                self,
                leader,
                members,
                keys.has(FOLDER) ? Path.of(keys.text(FOLDER)) : null,
                retryS,
                keys.integer(SNAPSHOT_EVERY, 1, Integer.MAX_VALUE, DEFAULT_SNAPSHOT_EVERY));
    }

    private static Map<String, InetSocketAddress> readMembers(ConfigReader keys) {
        Map<String, InetSocketAddress> members = new LinkedHashMap<>();
        for (ConfigReader member : keys.objects(MEMBERS)) {
            String name = member.text(MEMBER_NAME);
            InetSocketAddress address = Config.parseAddress(member.key(MEMBER_ADDRESS), member.text(MEMBER_ADDRESS));
            if (members.put(name, address) != null) {
                throw new ConfigException(
                        member.key(MEMBER_NAME), "must be unique, but is also the name of an earlier member: " + name);
            }
        }
        return members;
    }

    /** Returns whether this member takes writes. */
    public boolean leads() {
        return self.equals(leader);
    }
}
