package pepperdock.simulation.distribution;

import pepperdock.distribution.PublisherSettings;
import pepperdock.distribution.SubscriberSettings;

/**
 * What is simulated.
 *
 * @param gatherers over three regions of three zones
 * @param configurationBytes of the first version, about
 * @param longCutMillis for how long a region is cut off
 */
public record Setup(
        HardCase hardCase,
        int gatherers,
        long seed,
        int configurationBytes,
        long longCutMillis,
        PublisherSettings publisher,
        SubscriberSettings subscriber) {

    static final int CONFIGURATION_BYTES = 40_000;
    static final long SHORT_CUT_MILLIS = 40_000;

    /** With the defaults of publishers and subscribers. */
    public static Setup of(HardCase hardCase, int gatherers, long seed) {
        return new Setup(
                hardCase,
                gatherers,
                seed,
                CONFIGURATION_BYTES,
                SHORT_CUT_MILLIS,
                PublisherSettings.defaults(),
                SubscriberSettings.defaults());
    }

    /** The same with a cut of another length. */
    public Setup withLongCut(long millis) {
        return new Setup(hardCase, gatherers, seed, configurationBytes, millis, publisher, subscriber);
    }

    /** The same with a configuration of another size. */
    public Setup withConfigurationBytes(int bytes) {
        return new Setup(hardCase, gatherers, seed, bytes, longCutMillis, publisher, subscriber);
    }
}
