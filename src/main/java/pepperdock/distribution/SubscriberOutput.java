package pepperdock.distribution;

/** The actions that the caller performs for a {@link Subscriber}, which has at most one connection. */
public interface SubscriberOutput {

    /**
     * Opens a connection, then calls {@link Subscriber#connected} or, if that fails, {@link Subscriber#disconnected}.
     */
    void connect(ControlMachine to);

    /** Sends a message on the connection. */
    void send(DistributionMessage.FromSubscriber message);

    /** Closes the connection, even while it is being opened; {@link Subscriber#disconnected} need not be called. */
    void disconnect();

    /** Puts a configuration in force. */
    void inForce(ConfigurationSnapshot configuration);
}
