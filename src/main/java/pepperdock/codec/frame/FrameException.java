package pepperdock.codec.frame;

/** Thrown for bytes that are not a frame, and for frames that are unusable; the connection cannot be used further. */
public final class FrameException extends Exception {

    private static final long serialVersionUID = 1;

    /** Creates an exception; the message states what is wrong, for the log. */
    public FrameException(String message) {
        super(message);
    }
}
