package pepperdock.distribution;

/**
 * The actions that the caller performs for a {@link Publisher}. Connections are identified by the numbers the caller
 * assigned.
 */
public interface PublisherOutput {

    /** Sends a message on a connection; the message is dropped if the connection has ended. */
    void send(long connection, DistributionMessage.FromPublisher message);

    /** Closes a connection that the publisher no longer uses; {@link Publisher#disconnected} need not be called. */
    void close(long connection);
}
