package pepperdock.store;

import java.io.IOException;

/**
 * Thrown when the store's log or snapshot on disk is damaged in a way that a crash cannot cause. The store must not
 * open.
 */
final class LogCorruptionException extends IOException {

    private static final long serialVersionUID = 1;

    private LogCorruptionException(String message) {
        super(message);
    }

    /** Returns the exception for a record that has a wrong checksum and is not the last one. */
    static LogCorruptionException damagedRecord(int offset) {
        return new LogCorruptionException(
                "store log has a record with a wrong checksum that is not the last one, at byte " + offset);
    }

    /** Returns the exception for a snapshot file that is not exactly one record with a valid checksum. */
    static LogCorruptionException damagedSnapshot() {
        return new LogCorruptionException(
                "store snapshot is damaged: expected exactly one record with a valid checksum");
    }
}
