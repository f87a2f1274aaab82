package pepperdock.store;

import java.io.IOException;

/** The store's log or snapshot on disk is damaged in a way that no crash explains; the store must not open. */
final class LogCorruptionException extends IOException {

    private static final long serialVersionUID = 1;

    private LogCorruptionException(String message) {
        super(message);
    }

    /** A record that is not the last one has a wrong checksum. */
    static LogCorruptionException damagedRecord(int offset) {
        return new LogCorruptionException("store log is damaged at byte " + offset);
    }

    /** The snapshot file is not one sound record. */
    static LogCorruptionException damagedSnapshot() {
        return new LogCorruptionException("store snapshot is damaged");
    }
}
