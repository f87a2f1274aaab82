package pepperdock.distribution;

/** How much of the version in force a subscriber has saved on its disk. */
public enum Durability {
    /** The complete configuration. */
    SAVED,
    /** Only the floor, that is, its version: no older version is put in force after a restart. */
    FLOOR_ONLY,
    /** Nothing: it is held in memory only. */
    MEMORY_ONLY
}
