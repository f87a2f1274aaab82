package pepperdock.store;

import java.io.IOException;

/** An entry does not follow the last one of the log, so appending it would leave a gap or a duplicate. */
final class LogGapException extends IOException {

    private static final long serialVersionUID = 1;

    LogGapException(long entrySeq, long lastSeq) {
        super("entry " + entrySeq + " after " + lastSeq);
    }
}
