package pepperdock.distribution;

/** What a subscriber's disk holds of the version in force. */
public enum Durability {
    /** All of it. */
    SAVED,
    /** Only that it was in force: after a restart nothing older is put in force. */
    FLOOR_ONLY,
    /** Nothing. */
    MEMORY_ONLY
}
