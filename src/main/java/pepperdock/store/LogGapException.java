package pepperdock.store;

import java.io.IOException;

/**
 * Thrown when an entry does not directly follow the last one of the log. Appending it would leave a gap or a duplicate.
 */
final class LogGapException extends IOException {

    private static final long serialVersionUID = 1;

    LogGapException(long entrySeq, long lastSeq) {
        super("entry " + entrySeq + " does not directly follow the last entry of the log, " + lastSeq);
    }
}
