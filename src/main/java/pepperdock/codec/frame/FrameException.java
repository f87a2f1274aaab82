package pepperdock.codec.frame;

/** Bytes that are no frame, or a frame that says nothing usable; its connection can't go on. */
public final class FrameException extends Exception {

    private static final long serialVersionUID = 1;

    public FrameException(String message) {
        super(message);
    }
}
