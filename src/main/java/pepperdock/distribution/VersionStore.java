package pepperdock.distribution;

/** A subscriber's disk. */
public interface VersionStore {

    /**
     * What a disk holds when a process starts.
     *
     * @param configuration {@link ConfigurationSnapshot#NONE} where there is none that is complete
     * @param floor nothing older than this may be put in force
     */
    record Saved(ConfigurationSnapshot configuration, ConfigurationVersion floor) {

        /** Of a new disk. */
        public static final Saved NOTHING = new Saved(ConfigurationSnapshot.NONE, ConfigurationVersion.NONE);
    }

    /** What the disk holds. */
    Saved load();

    /** Replaces the configuration, whole or not at all, and syncs it. False where that failed; the disk may be full. */
    boolean save(ConfigurationSnapshot configuration);

    /** Overwrites the floor in its place, which needs no space, and syncs it. False where that failed. */
    boolean saveFloor(ConfigurationVersion floor);
}
