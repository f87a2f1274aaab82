package pepperdock.distribution;

/** What the caller does for a {@link Publisher}. Connections have the numbers that the caller gave them. */
public interface PublisherOutput {

    /** Sends a message on a connection; it is lost where that has ended. */
    void send(long connection, DistributionMessage.FromPublisher message);

    /** The connection is no longer used by the publisher; {@link Publisher#disconnected} need not be called. */
    void close(long connection);
}
