package pepperdock.config;

import java.net.InetSocketAddress;
import java.util.List;
import pepperdock.membership.MemberRecord;
import pepperdock.membership.MembershipSettings;
import pepperdock.membership.MembershipSettings.Key;

/**
 * The {@code members} of a gatherer's file: which fleet, where this member is reached, which seeds, and the settings of
 * membership. Immutable.
 *
 * @param ask the loopback address of the endpoint for {@code pepperdock members}, null for none
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
    /** Suspicion timeouts in probe intervals, at least: one lost datagram must not put a member in doubt. */
    private static final int MIN_SUSPICION_PROBES = 3;

    private static final int MAX_OBSERVERS = 32;
    private static final int MAX_INDIRECT_PROBES = 16;
    private static final int MAX_DATAGRAMS_PER_S = 1 << 20;
    private static final int MAX_BYTES_PER_S = 1 << 30;
    private static final int MAX_MAX_MEMBERS = 100_000;

    /** Reads and checks {@code members}; null where the file has none. */
    public static MembersConfig read(ConfigReader file) {
        if (!file.has("members")) {
            return null;
        }
        ConfigReader keys = file.needed("members");
        checkKeys(keys);
        InetSocketAddress address = address(keys);
        List<String> seeds = keys.texts("seeds");
        for (String seed : seeds) {
            Config.address(keys.key("seeds"), seed);
        }
        InetSocketAddress ask = endpoint(keys);
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
        keys.only(
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

    private static InetSocketAddress address(ConfigReader keys) {
        InetSocketAddress address = Config.address(keys.key("address"), keys.text("address"));
        if (address.getAddress().isAnyLocalAddress() || address.getPort() == 0) {
            throw new ConfigException(
                    keys.key("address"), "announced to others, so it has to be one host's, with its port");
        }
        return address;
    }

    private static InetSocketAddress endpoint(ConfigReader keys) {
        InetSocketAddress ask = keys.has("ask") ? Config.address(keys.key("ask"), keys.text("ask")) : null;
        if (ask != null && !ask.getAddress().isLoopbackAddress()) {
            throw new ConfigException(
                    keys.key("ask"), "not a loopback address; whoever can ask there is not asked who it is");
        }
        return ask;
    }

    /** Reads and checks the timings and bounds alone. */
    public static MembershipSettings timings(ConfigReader keys) {
        MembershipSettings defaults = MembershipSettings.defaults();
        double probe = seconds(keys, Key.PROBE_INTERVAL, defaults.probeIntervalS(), MIN_PROBE_INTERVAL_S);
        double suspicion = suspicionTimeout(keys, probe);
        double highWatermark = keys.number(Key.HIGH_WATERMARK, defaults.highWatermark());
        if (!(highWatermark > 0.5 && highWatermark <= 1)) {
            throw new ConfigException(keys.key(Key.HIGH_WATERMARK), "not above 0.5 and at most 1");
        }
        int observers = keys.whole(Key.OBSERVERS, 1, MAX_OBSERVERS, defaults.observers());
        int lowWatermark = keys.whole(Key.LOW_WATERMARK, 1, observers, Math.min(observers, defaults.lowWatermark()));
        int datagrams = datagramRate(keys, observers, probe);
        int bytes = byteRate(keys, observers, probe);
        return new MembershipSettings(
                probe,
                suspicion,
                seconds(keys, Key.CONFIRMATION, suspicion, 2 * probe),
                observers,
                highWatermark,
                lowWatermark,
                keys.whole(Key.INDIRECT_PROBES, 0, MAX_INDIRECT_PROBES, defaults.indirectProbes()),
                seconds(keys, Key.SLOW_THRESHOLD, probe, MIN_SLOW_THRESHOLD_S),
                seconds(keys, Key.SYNC_INTERVAL, MembershipSettings.SYNC_PROBES * probe, probe),
                seconds(keys, Key.RETENTION, defaults.retentionS(), 10 * suspicion),
                datagrams,
                bytes,
                keys.whole(Key.MAX_MEMBERS, 2, MAX_MAX_MEMBERS, defaults.maxMembers()),
                true);
    }

    private static double suspicionTimeout(ConfigReader keys, double probe) {
        double suspicion = seconds(keys, Key.SUSPICION_TIMEOUT, MembershipSettings.SUSPICION_PROBES * probe, probe);
        if (suspicion < MIN_SUSPICION_PROBES * probe) {
            throw new ConfigException(
                    keys.key(Key.SUSPICION_TIMEOUT),
                    "less than three times probe_s: one lost datagram would be a doubt");
        }
        return suspicion;
    }

    private static int datagramRate(ConfigReader keys, int observers, double probe) {
        int datagrams = keys.whole(
                Key.DATAGRAM_RATE,
                1,
                MAX_DATAGRAMS_PER_S,
                MembershipSettings.defaults().datagramsPerS());
        double needed = MembershipSettings.DATAGRAMS_PER_PROBE * observers / probe;
        if (datagrams < needed) {
            throw new ConfigException(
                    keys.key(Key.DATAGRAM_RATE),
                    "less than three times observers / probe_s, which probes, their answers and help need: "
                            + Math.ceil(needed));
        }
        return datagrams;
    }

    private static int byteRate(ConfigReader keys, int observers, double probe) {
        int bytesPerDatagram = MembershipSettings.TYPICAL_DATAGRAM_BYTES;
        double needed = Math.ceil(bytesPerDatagram * MembershipSettings.DATAGRAMS_PER_PROBE * observers / probe);
        int otherwise = (int) Math.max(MembershipSettings.defaults().bytesPerS(), needed);
        int bytes = keys.whole(Key.BYTE_RATE, 1, MAX_BYTES_PER_S, otherwise);
        if (bytes < needed) {
            throw new ConfigException(
                    keys.key(Key.BYTE_RATE),
                    "less than " + bytesPerDatagram + " bytes for each of those datagrams, which is " + needed);
        }
        return bytes;
    }

    private static double seconds(ConfigReader keys, String name, double otherwise, double least) {
        double seconds = keys.number(name, otherwise);
        if (!(seconds >= least && seconds <= MAX_SECONDS)) {
            throw new ConfigException(keys.key(name), "not a number of seconds from " + least + " to " + MAX_SECONDS);
        }
        return seconds;
    }

    private static String checkedName(ConfigReader keys, String key, String given) {
        if (!given.matches(MemberRecord.NAME_PATTERN)) {
            throw new ConfigException(
                    keys.key(key), "not 1 to 64 of letters, digits, dot, line and underscore: " + given);
        }
        return given;
    }
}
