package pepperdock.distribution;

/** Thrown when bytes are not exactly one complete encoded configuration. */
public final class MalformedConfigurationException extends IllegalArgumentException {

    private static final long serialVersionUID = 1;

    MalformedConfigurationException(String message) {
        super(message);
    }

    MalformedConfigurationException(String message, Throwable cause) {
        super(message, cause);
    }
}
