package pepperdock.distribution;

/** Stores the configuration in force on a subscriber's disk. */
public interface VersionStore {

    /**
     * The content of a disk when a process starts.
     *
     * @param configuration the saved configuration; {@link ConfigurationSnapshot#NONE} if there is no complete one
     * @param floor the oldest version that may be put in force
     */
    record Saved(ConfigurationSnapshot configuration, ConfigurationVersion floor) {

        /** The content of a new disk. */
        public static final Saved NOTHING = new Saved(ConfigurationSnapshot.NONE, ConfigurationVersion.NONE);
    }

    /** Returns the content of the disk. */
    Saved load();

    /**
     * Replaces the saved configuration atomically and syncs it; returns false if that failed, for example on a full
     * disk.
     */
    boolean save(ConfigurationSnapshot configuration);

    /** Overwrites the floor in place, which needs no disk space, and syncs it; returns false if that failed. */
    boolean saveFloor(ConfigurationVersion floor);
}
