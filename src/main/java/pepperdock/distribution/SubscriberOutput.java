package pepperdock.distribution;

/** What the caller does for a {@link Subscriber}, which has one connection at most. */
public interface SubscriberOutput {

    /** Opens a connection; {@link Subscriber#connected} or {@link Subscriber#disconnected} is to be called. */
    void connect(ControlMachine to);

    /** Sends a message on the connection. */
    void send(DistributionMessage.FromSubscriber message);

    /** Closes the connection, also one that is being opened; {@link Subscriber#disconnected} need not be called. */
    void disconnect();

    /** This configuration is in force from now on. */
    void inForce(ConfigurationSnapshot configuration);
}
