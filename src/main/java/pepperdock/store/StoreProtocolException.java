package pepperdock.store;

import java.io.IOException;

/** A member has sent what the store's protocol does not allow; its connection is closed. */
final class StoreProtocolException extends IOException {

    private static final long serialVersionUID = 1;

    private StoreProtocolException(String message) {
        super(message);
    }

    /** The first frame does not name a member that may follow. */
    static StoreProtocolException notAMember() {
        return new StoreProtocolException("not a member's hello");
    }

    /** A frame that has no place here, or the wrong length. */
    static StoreProtocolException unexpectedFrame(char letter) {
        return new StoreProtocolException("unexpected frame " + letter);
    }
}
