package pepperdock.simulation.distribution;

import pepperdock.distribution.PublisherSettings;
import pepperdock.distribution.SubscriberSettings;

/**
 * The parameters of a run.
 *
 * @param gatherers number of gatherers, spread over three regions of three zones each
 * @param configurationBytes approximate size of the first version
 * @param longCutMillis duration for which a region is cut off
 */
public record Setup(
        HardCase hardCase,
        int gatherers,
        long seed,
        int configurationBytes,
        long longCutMillis,
        PublisherSettings publisher,
        SubscriberSettings subscriber) {

    static final int DEFAULT_CONFIGURATION_BYTES = 40_000;
    static final long DEFAULT_CUT_MILLIS = 40_000;

    /** Returns a setup with the default settings of publishers and subscribers. */
    public static Setup of(HardCase hardCase, int gatherers, long seed) {
        return new Setup(
                hardCase,
                gatherers,
                seed,
                DEFAULT_CONFIGURATION_BYTES,
                DEFAULT_CUT_MILLIS,
                PublisherSettings.defaults(),
                SubscriberSettings.defaults());
    }

    /** Returns a copy with another duration of the cut. */
    public Setup withLongCut(long millis) {
        return new Setup(hardCase, gatherers, seed, configurationBytes, millis, publisher, subscriber);
    }

    /** Returns a copy with another configuration size. */
    public Setup withConfigurationBytes(int bytes) {
        return new Setup(hardCase, gatherers, seed, bytes, longCutMillis, publisher, subscriber);
    }
}
