package pepperdock.codec.http;

/** Thrown for an HTTP message that cannot be accepted; carries the HTTP status to answer with. */
public final class HttpException extends Exception {

    private static final long serialVersionUID = 1;
    private final int status;
    /** Creates an exception; {@code status} is the HTTP status to answer with. */
    public HttpException(int status, String message) {
        super(message);
        this.status = status;
    }
    /** Returns the HTTP status to answer with. */
    public int status() {
        return status;
    }
}
