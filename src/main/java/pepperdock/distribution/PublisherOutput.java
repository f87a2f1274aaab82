package pepperdock.distribution;

/** What a publisher wants done. Connections have the numbers that the caller gave them. */
public interface PublisherOutput {

    void send(long connection, Message.FromPublisher message);

    /** The connection is no longer used by the publisher; {@link Publisher#disconnected} need not be called. */
    void close(long connection);
}
