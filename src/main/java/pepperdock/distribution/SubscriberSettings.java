package pepperdock.distribution;

/**
 * The timeouts and intervals of a subscriber, in milliseconds but for {@code reads}. Immutable.
 *
 * @param reads the highest format that this program version reads
 * @param connectMillis a connection that is not open by then is given up
 * @param silenceMillis a control machine that sends nothing for so long is left for another
 * @param staleMillis a control machine that has not been confirmed for so long is left for another
 * @param stayMillis after all were tried in vain, so long with one that is not confirmed before they are tried again
 * @param lagMillis without progress for so long, where something newer is known, it is requested again
 * @param aliveMillis between two heartbeats
 * @param saveAgainMillis between two attempts to save what could not be saved
 * @param backOffMillis the first backoff, at most; doubled with each attempt that fails
 * @param backOffMostMillis no backoff is longer
 */
public record SubscriberSettings(
        int reads,
        int connectMillis,
        int silenceMillis,
        int staleMillis,
        int stayMillis,
        int lagMillis,
        int aliveMillis,
        int saveAgainMillis,
        int backOffMillis,
        int backOffMostMillis) {

    /** For heartbeats once a second and a change in force within 11 s. */
    public static SubscriberSettings defaults() {
        return new SubscriberSettings(1, 1500, 3000, 4000, 30_000, 2000, 5000, 10_000, 200, 2000);
    }

    /** The same for a program version that reads up to that format. */
    public SubscriberSettings reading(int highestFormat) {
        return new SubscriberSettings(
                highestFormat,
                connectMillis,
                silenceMillis,
                staleMillis,
                stayMillis,
                lagMillis,
                aliveMillis,
                saveAgainMillis,
                backOffMillis,
                backOffMostMillis);
    }
}
