package pepperdock.codec.http;

/** A message that can't be taken, with the status that fits it. */
public final class HttpException extends Exception {

    private static final long serialVersionUID = 1;
    private final int status;

    public HttpException(int status, String message) {
        super(message);
        this.status = status;
    }

    public int status() {
        return status;
    }
}
