package pepperdock.config;

import java.net.InetSocketAddress;
import java.util.List;
import pepperdock.membership.MemberRecord;
import pepperdock.membership.MembershipSettings;

/**
 * Membership among the gatherers: which fleet, where this one is reached, whom to ask first. {@code ask} is the loopback
 * address where {@code pepperdock members} asks, null for none.
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
    /** Of a probe, an answer or a question for help, with headers and names of usual length. */
    private static final int MIN_DATAGRAM_BYTES = 170;

    /** Null where the file has no {@code members}. */
    public static MembersConfig read(Keys file) {
        if (!file.has("members")) {
            return null;
        }
        Keys keys = file.needed("members");
        keys.only(
                "fleet",
                "address",
                "seeds",
                "zone",
                "machine",
                "ask",
                "probe_s",
                "doubt_s",
                "confirm_s",
                "observers",
                "agree",
                "doubters",
                "helpers",
                "slow_s",
                "exchange_s",
                "forget_s",
                "datagrams_per_s",
                "bytes_per_s",
                "most");
        InetSocketAddress address = Config.address(keys.key("address"), keys.text("address"));
        if (address.getAddress().isAnyLocalAddress() || address.getPort() == 0) {
            throw new ConfigException(
                    keys.key("address"), "announced to others, so it has to be one host's, with its port");
        }
        List<String> seeds = keys.texts("seeds");
        for (String seed : seeds) {
            Config.address(keys.key("seeds"), seed);
        }
        InetSocketAddress ask = keys.has("ask") ? Config.address(keys.key("ask"), keys.text("ask")) : null;
        if (ask != null && !ask.getAddress().isLoopbackAddress()) {
            throw new ConfigException(
                    keys.key("ask"), "not a loopback address; whoever can ask there is not asked who it is");
        }
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

    /** The timings and bounds alone, checked. */
    public static MembershipSettings timings(Keys keys) {
        MembershipSettings defaults = MembershipSettings.defaults();
        double probe = seconds(keys, "probe_s", defaults.probeIntervalS(), 0.02);
        double doubt = seconds(keys, "doubt_s", 6 * probe, probe);
        if (doubt < 3 * probe) {
            throw new ConfigException(
                    keys.key("doubt_s"), "less than three times probe_s: one lost datagram would be a doubt");
        }
        double highWatermark = keys.number("agree", defaults.highWatermark());
        if (!(highWatermark > 0.5 && highWatermark <= 1)) {
            throw new ConfigException(keys.key("agree"), "not above 0.5 and at most 1");
        }
        int observers = keys.whole("observers", 1, 32, defaults.observers());
        int lowWatermark = keys.whole("doubters", 1, observers, Math.min(observers, defaults.lowWatermark()));
        int datagrams = keys.whole("datagrams_per_s", 1, 1 << 20, defaults.datagramsPerS());
        if (datagrams < 3 * observers / probe) {
            throw new ConfigException(
                    keys.key("datagrams_per_s"),
                    "less than three times observers / probe_s, which probes, their" + " answers and help need: "
                            + Math.ceil(3 * observers / probe));
        }
        double least = Math.ceil(MIN_DATAGRAM_BYTES * 3 * observers / probe);
        int bytes = keys.whole("bytes_per_s", 1, 1 << 30, (int) Math.max(defaults.bytesPerS(), least));
        if (bytes < least) {
            throw new ConfigException(
                    keys.key("bytes_per_s"),
                    "less than " + MIN_DATAGRAM_BYTES + " bytes for each of those datagrams, which is " + least);
        }
        return new MembershipSettings(
                probe,
                doubt,
                seconds(keys, "confirm_s", doubt, 2 * probe),
                observers,
                highWatermark,
                lowWatermark,
                keys.whole("helpers", 0, 16, defaults.indirectProbes()),
                seconds(keys, "slow_s", probe, 0.001),
                seconds(keys, "exchange_s", 60 * probe, probe),
                seconds(keys, "forget_s", defaults.retentionS(), 10 * doubt),
                datagrams,
                bytes,
                keys.whole("most", 2, 100_000, defaults.maxMembers()),
                true);
    }

    private static double seconds(Keys keys, String name, double otherwise, double least) {
        double seconds = keys.number(name, otherwise);
        if (!(seconds >= least && seconds <= MAX_SECONDS)) {
            throw new ConfigException(keys.key(name), "not a number of seconds from " + least + " to " + MAX_SECONDS);
        }
        return seconds;
    }

    private static String checkedName(Keys keys, String name, String given) {
        if (!given.matches(MemberRecord.NAME_PATTERN)) {
            throw new ConfigException(
                    keys.key(name), "not 1 to 64 of letters, digits, dot, line and underscore: " + given);
        }
        return given;
    }
}
