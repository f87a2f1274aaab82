package pepperdock.config;

import java.net.InetSocketAddress;
import java.util.List;
import pepperdock.membership.MemberRecord;
import pepperdock.membership.MembershipSettings;
import pepperdock.membership.MembershipSettings.Key;

/**
 * The configuration of membership, read from the key {@code members} of a gatherer's file. Immutable.
 *
 * @param fleet the name of the fleet that this member belongs to
 * @param name the name of this member
 * @param address the address that this member announces to the others
 * @param seeds the addresses of the members to contact first
 * @param zone the zone of this member, {@code -} if the file has none
 * @param machine the machine of this member, {@code -} if the file has none
 * @param settings the timings and bounds of the membership protocol
 * @param reach where members are reached whose announced hosts can't be connected to from here
 * @param ask the loopback address of the endpoint for {@code pepperdock members}; null if there is none
 */
public record MembersConfig(
        String fleet,
        String name,
        InetSocketAddress address,
        List<String> seeds,
        String zone,
        String machine,
        MembershipSettings settings,
        AddressTranslation reach,
        InetSocketAddress ask) {

    private static final double MAX_SECONDS = 86_400;
    private static final double MIN_PROBE_INTERVAL_S = 0.02;
    private static final double MIN_SLOW_THRESHOLD_S = 0.001;
    /** The least suspicion timeout in probe intervals: one lost datagram must not raise a suspicion. */
    private static final int MIN_SUSPICION_PROBES = 3;

    private static final int MAX_OBSERVERS = 32;
    private static final int MAX_INDIRECT_PROBES = 16;
    private static final int MAX_DATAGRAMS_PER_S = 1 << 20;
    private static final int MAX_BYTES_PER_S = 1 << 30;
    private static final int MAX_MAX_MEMBERS = 100_000;

    /** Reads and checks {@code members}; null if the file has none. */
    public static MembersConfig read(ConfigReader file) {
        if (!file.has("members")) {
            return null;
        }
        ConfigReader keys = file.requiredObject("members");
        checkKeys(keys);
        InetSocketAddress address = readAddress(keys);
        List<String> seeds = keys.texts("seeds");
        for (String seed : seeds) {
            Config.parseAddress(keys.key("seeds"), seed);
        }
        InetSocketAddress ask = readEndpoint(keys);
        return new MembersConfig(
                checkedName(keys, "fleet", keys.text("fleet")),
                checkedName(file, "name", file.text("name")),
                address,
                List.copyOf(seeds),
                checkedName(keys, "zone", keys.text("zone", "-")),
                checkedName(keys, "machine", keys.text("machine", "-")),
                timings(keys),
                AddressTranslation.read(file),
                ask);
    }

    private static void checkKeys(ConfigReader keys) {
        keys.rejectUnknownKeys(
                "fleet",
                "address",
                "seeds",
                "zone",
                "machine",
                "ask",
                Key.PROBE_INTERVAL,
                Key.SUSPICION_TIMEOUT,
                Key.CONFIRMATION,
                Key.OBSERVERS,
                Key.HIGH_WATERMARK,
                Key.LOW_WATERMARK,
                Key.INDIRECT_PROBES,
                Key.SLOW_THRESHOLD,
                Key.SYNC_INTERVAL,
                Key.RETENTION,
                Key.DATAGRAM_RATE,
                Key.BYTE_RATE,
                Key.MAX_MEMBERS);
    }

    private static InetSocketAddress readAddress(ConfigReader keys) {
        InetSocketAddress address = Config.parseAddress(keys.key("address"), keys.text("address"));
        if (address.getAddress().isAnyLocalAddress() || address.getPort() == 0) {
            throw new ConfigException(
                    keys.key("address"),
                    "must be the address and port of one host, as it is announced to other members");
        }
        return address;
    }

    private static InetSocketAddress readEndpoint(ConfigReader keys) {
        InetSocketAddress ask = keys.has("ask") ? Config.parseAddress(keys.key("ask"), keys.text("ask")) : null;
        if (ask != null && !ask.getAddress().isLoopbackAddress()) {
            throw new ConfigException(
                    keys.key("ask"), "must be a loopback address, as the endpoint does not authenticate its clients");
        }
        return ask;
    }

    /** Reads and checks only the timings and bounds. */
    public static MembershipSettings timings(ConfigReader keys) {
        MembershipSettings defaults = MembershipSettings.defaults();
        double probeIntervalS = readSeconds(keys, Key.PROBE_INTERVAL, defaults.probeIntervalS(), MIN_PROBE_INTERVAL_S);
        double suspicionTimeoutS = readSuspicionTimeout(keys, probeIntervalS);
        double highWatermark = keys.number(Key.HIGH_WATERMARK, defaults.highWatermark());
        if (!(highWatermark > 0.5 && highWatermark <= 1)) {
            throw new ConfigException(
                    keys.key(Key.HIGH_WATERMARK), "must be above 0.5 and at most 1, but is " + highWatermark);
        }
        int observers = keys.integer(Key.OBSERVERS, 1, MAX_OBSERVERS, defaults.observers());
        int lowWatermark = keys.integer(Key.LOW_WATERMARK, 1, observers, Math.min(observers, defaults.lowWatermark()));
        int datagramsPerS = readDatagramRate(keys, observers, probeIntervalS);
        int bytesPerS = readByteRate(keys, observers, probeIntervalS);
        return new MembershipSettings(
                probeIntervalS,
                suspicionTimeoutS,
                readSeconds(keys, Key.CONFIRMATION, suspicionTimeoutS, 2 * probeIntervalS),
                observers,
                highWatermark,
                lowWatermark,
                keys.integer(Key.INDIRECT_PROBES, 0, MAX_INDIRECT_PROBES, defaults.indirectProbes()),
                readSeconds(keys, Key.SLOW_THRESHOLD, probeIntervalS, MIN_SLOW_THRESHOLD_S),
                readSeconds(
                        keys,
                        Key.SYNC_INTERVAL,
                        MembershipSettings.SYNC_PROBE_INTERVALS * probeIntervalS,
                        probeIntervalS),
                readSeconds(keys, Key.RETENTION, defaults.retentionS(), 10 * suspicionTimeoutS),
                datagramsPerS,
                bytesPerS,
                keys.integer(Key.MAX_MEMBERS, 2, MAX_MAX_MEMBERS, defaults.maxMembers()),
                true);
    }

    private static double readSuspicionTimeout(ConfigReader keys, double probeIntervalS) {
        double suspicionTimeoutS = readSeconds(
                keys,
                Key.SUSPICION_TIMEOUT,
                MembershipSettings.SUSPICION_PROBE_INTERVALS * probeIntervalS,
                probeIntervalS);
        if (suspicionTimeoutS < MIN_SUSPICION_PROBES * probeIntervalS) {
            throw new ConfigException(
                    keys.key(Key.SUSPICION_TIMEOUT),
                    "must be at least three times probe_s, or one lost datagram would raise a suspicion");
        }
        return suspicionTimeoutS;
    }

    private static int readDatagramRate(ConfigReader keys, int observers, double probeIntervalS) {
        int datagramsPerS = keys.integer(
                Key.DATAGRAM_RATE,
                1,
                MAX_DATAGRAMS_PER_S,
                MembershipSettings.defaults().datagramsPerS());
        double needed = MembershipSettings.DATAGRAMS_PER_PROBE * observers / probeIntervalS;
        if (datagramsPerS < needed) {
            throw new ConfigException(
                    keys.key(Key.DATAGRAM_RATE),
                    "must be at least three times observers / probe_s, for pings, acknowledgements and indirect pings: "
                            + Math.ceil(needed));
        }
        return datagramsPerS;
    }

    private static int readByteRate(ConfigReader keys, int observers, double probeIntervalS) {
        int bytesPerDatagram = MembershipSettings.TYPICAL_DATAGRAM_BYTES;
        double needed =
                Math.ceil(bytesPerDatagram * MembershipSettings.DATAGRAMS_PER_PROBE * observers / probeIntervalS);
        int defaultBytes = (int) Math.max(MembershipSettings.defaults().bytesPerS(), needed);
        int bytesPerS = keys.integer(Key.BYTE_RATE, 1, MAX_BYTES_PER_S, defaultBytes);
        if (bytesPerS < needed) {
            throw new ConfigException(
                    keys.key(Key.BYTE_RATE),
                    "must be at least " + bytesPerDatagram + " bytes for each datagram needed per second, which is "
                            + needed);
        }
        return bytesPerS;
    }

    private static double readSeconds(ConfigReader keys, String name, double defaultValue, double min) {
        double seconds = keys.number(name, defaultValue);
        if (!(seconds >= min && seconds <= MAX_SECONDS)) {
            throw new ConfigException(
                    keys.key(name),
                    "must be a number of seconds from " + min + " to " + MAX_SECONDS + ", but is " + seconds);
        }
        return seconds;
    }

    private static String checkedName(ConfigReader keys, String key, String name) {
        if (!name.matches(MemberRecord.NAME_PATTERN)) {
            throw new ConfigException(
                    keys.key(key), "must be 1 to 64 letters, digits, dots, hyphens and underscores, but is " + name);
        }
        return name;
    }
}
