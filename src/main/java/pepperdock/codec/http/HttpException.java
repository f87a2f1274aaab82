package pepperdock.codec.http;

/** A message that can't be taken, with the status that fits it. */
public final class HttpException extends Exception {

    private static final long serialVersionUID = 1;
    private final int status;
    /** A message that can not be accepted; {@code status} is the HTTP status to answer with. */
    public HttpException(int status, String message) {
        super(message);
        this.status = status;
    }
    /** The HTTP status to answer with. */
    public int status() {
        return status;
    }
}
