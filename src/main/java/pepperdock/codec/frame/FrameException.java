package pepperdock.codec.frame;

/** Thrown for bytes that are no frame, and for frames that are unusable; the connection can't go on after either. */
public final class FrameException extends Exception {

    private static final long serialVersionUID = 1;

    /** The message says what is wrong, for the log. */
    public FrameException(String message) {
        super(message);
    }
}
