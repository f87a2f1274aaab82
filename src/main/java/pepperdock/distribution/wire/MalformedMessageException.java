package pepperdock.distribution.wire;

/** Bytes that are not one whole message of the distribution protocol, or a message that the peer may not send. */
public final class MalformedMessageException extends IllegalArgumentException {

    private static final long serialVersionUID = 1;

    MalformedMessageException(String message) {
        super(message);
    }

    MalformedMessageException(String message, Throwable cause) {
        super(message, cause);
    }
}
