package pepperdock.transport;

/** Tells for how long the peer of a connection has not read what it was sent. Owned by the I/O thread. */
final class WriteProgress {

    private final Connection connection;
    private long bytesWritten;
    private double lastProgressAt;

    WriteProgress(Connection connection) {
        this.connection = connection;
    }

    /** Looks at the connection; must be called periodically, as progress is noticed only then. */
    void update(double now) {
        if (connection.bytesWritten() > bytesWritten || !connection.hasUnwrittenBytes()) {
            bytesWritten = connection.bytesWritten();
            lastProgressAt = now;
        }
    }

    /** Returns the seconds for which output has been waiting and none of it was written. */
    double stalledS(double now) {
        return now - lastProgressAt;
    }
}
