package pepperdock.config;

import java.net.InetSocketAddress;
import java.util.List;
import pepperdock.membership.Card;
import pepperdock.membership.Settings;

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
        Settings settings,
        AddressTranslation reach,
        InetSocketAddress ask) {

    private static final double SECONDS_MOST = 86_400;
    /** Of a probe, an answer or a question for help, with headers and names of usual length. */
    private static final int BYTES_LEAST = 170;

    /** Null where the file has no {@code members}. */
    public static MembersConfig read(ConfigReader all) {
        if (!all.has("members")) {
            return null;
        }
        ConfigReader k = all.needed("members");
        k.only(
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
        InetSocketAddress address = Config.address(k.key("address"), k.text("address"));
        if (address.getAddress().isAnyLocalAddress() || address.getPort() == 0) {
            throw new ConfigException(
                    k.key("address"), "announced to others, so it has to be one host's, with its port");
        }
        List<String> seeds = k.texts("seeds");
        for (String s : seeds) {
            Config.address(k.key("seeds"), s);
        }
        InetSocketAddress ask = k.has("ask") ? Config.address(k.key("ask"), k.text("ask")) : null;
        if (ask != null && !ask.getAddress().isLoopbackAddress()) {
            throw new ConfigException(
                    k.key("ask"), "not a loopback address; whoever can ask there is not asked who it is");
        }
        return new MembersConfig(
                word(k, "fleet", k.text("fleet")),
                word(all, "name", all.text("name")),
                address,
                List.copyOf(seeds),
                word(k, "zone", k.text("zone", "-")),
                word(k, "machine", k.text("machine", "-")),
                timings(k),
                AddressTranslation.read(all),
                ask);
    }

    /** The timings and bounds alone, checked. */
    public static Settings timings(ConfigReader k) {
        Settings d = Settings.defaults();
        double probe = seconds(k, "probe_s", d.probeS(), 0.02);
        double doubt = seconds(k, "doubt_s", 6 * probe, probe);
        if (doubt < 3 * probe) {
            throw new ConfigException(
                    k.key("doubt_s"), "less than three times probe_s: one lost datagram would be a doubt");
        }
        double high = k.number("agree", d.high());
        if (!(high > 0.5 && high <= 1)) {
            throw new ConfigException(k.key("agree"), "not above 0.5 and at most 1");
        }
        int observers = k.whole("observers", 1, 32, d.observers());
        int low = k.whole("doubters", 1, observers, Math.min(observers, d.low()));
        int datagrams = k.whole("datagrams_per_s", 1, 1 << 20, d.datagramsPerS());
        if (datagrams < 3 * observers / probe) {
            throw new ConfigException(
                    k.key("datagrams_per_s"),
                    "less than three times observers / probe_s, which probes, their" + " answers and help need: "
                            + Math.ceil(3 * observers / probe));
        }
        double least = Math.ceil(BYTES_LEAST * 3 * observers / probe);
        int bytes = k.whole("bytes_per_s", 1, 1 << 30, (int) Math.max(d.bytesPerS(), least));
        if (bytes < least) {
            throw new ConfigException(
                    k.key("bytes_per_s"),
                    "less than " + BYTES_LEAST + " bytes for each of those datagrams, which is " + least);
        }
        return new Settings(
                probe,
                doubt,
                seconds(k, "confirm_s", doubt, 2 * probe),
                observers,
                high,
                low,
                k.whole("helpers", 0, 16, d.helpers()),
                seconds(k, "slow_s", probe, 0.001),
                seconds(k, "exchange_s", 60 * probe, probe),
                seconds(k, "forget_s", d.forgetS(), 10 * doubt),
                datagrams,
                bytes,
                k.whole("most", 2, 100_000, d.membersMost()),
                true);
    }

    private static double seconds(ConfigReader k, String name, double otherwise, double least) {
        double s = k.number(name, otherwise);
        if (!(s >= least && s <= SECONDS_MOST)) {
            throw new ConfigException(k.key(name), "not a number of seconds from " + least + " to " + SECONDS_MOST);
        }
        return s;
    }

    private static String word(ConfigReader k, String name, String given) {
        if (!given.matches(Card.NAME)) {
            throw new ConfigException(
                    k.key(name), "not 1 to 64 of letters, digits, dot, line and underscore: " + given);
        }
        return given;
    }
}
