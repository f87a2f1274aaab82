package pepperdock.distribution;

/**
 * The timeouts and intervals of a subscriber, in milliseconds, and the highest format that it reads. Immutable.
 *
 * @param highestFormat the highest format that this program version reads
 * @param connectMillis the time after which a connection that is not open is given up
 * @param silenceMillis the time without a message after which the subscriber switches to another control machine
 * @param staleMillis the time after which the subscriber switches away from a control machine that has not been
 *     confirmed
 * @param stayMillis the time that the subscriber stays with an unconfirmed control machine when all others failed,
 *     before it tries them again
 * @param lagMillis the time without progress after which a newer version that is known to exist is requested again
 * @param heartbeatMillis the interval between two heartbeats
 * @param saveRetryMillis the interval between two attempts to save a configuration that could not be saved
 * @param initialBackoffMillis the upper limit of the first backoff; doubled with each attempt that fails
 * @param maxBackoffMillis the upper limit of every backoff
 */
public record SubscriberSettings(
        int highestFormat,
        int connectMillis,
        int silenceMillis,
        int staleMillis,
        int stayMillis,
        int lagMillis,
        int heartbeatMillis,
        int saveRetryMillis,
        int initialBackoffMillis,
        int maxBackoffMillis) {

    /** Returns settings for one heartbeat per second from the publisher and a change in force within 11 s. */
    public static SubscriberSettings defaults() {
        return new SubscriberSettings(1, 1500, 3000, 4000, 30_000, 2000, 5000, 10_000, 200, 2000);
    }

    /** Returns the same settings for a program version that reads up to this format. */
    public SubscriberSettings reading(int highestFormat) {
        return new SubscriberSettings(
                highestFormat,
                connectMillis,
                silenceMillis,
                staleMillis,
                stayMillis,
                lagMillis,
                heartbeatMillis,
                saveRetryMillis,
                initialBackoffMillis,
                maxBackoffMillis);
    }
}
