package pepperdock.opensearch;

/** Signals a request that the API rejects, with the status, type and reason of the error response. */
final class ApiException extends Exception {

    private static final long serialVersionUID = 1;
    private final int status;
    private final String type;

    ApiException(int status, String type, String reason) {
        super(reason);
        this.status = status;
        this.type = type;
    }

    /** Returns an exception for a request with an illegal argument. */
    static ApiException illegal(String reason) {
        return new ApiException(400, "illegal_argument_exception", reason);
    }

    int status() {
        return status;
    }

    String type() {
        return type;
    }
}
