package pepperdock.store;

import java.io.IOException;

/** Thrown when a peer sends what the store's protocol does not allow; its connection is closed. */
final class StoreProtocolException extends IOException {

    private static final long serialVersionUID = 1;

    private StoreProtocolException(String message) {
        super(message);
    }

    /** Returns the exception for a hello frame that is malformed or does not name another member. */
    static StoreProtocolException notAMember() {
        return new StoreProtocolException(
                "hello frame does not have three fields or does not name another configured member");
    }

    /** Returns the exception for a frame that is not allowed at this point or has the wrong length. */
    static StoreProtocolException unexpectedFrame(char frameType) {
        return new StoreProtocolException(
                "frame is not allowed here or has the wrong length, its type is " + frameType);
    }
}
