package pepperdock.distribution.wire;

/**
 * Thrown when bytes are not exactly one complete message, or when the peer sends a message that only this side may
 * send.
 */
public final class MalformedMessageException extends IllegalArgumentException {

    private static final long serialVersionUID = 1;

    MalformedMessageException(String message) {
        super(message);
    }

    MalformedMessageException(String message, Throwable cause) {
        super(message, cause);
    }
}
