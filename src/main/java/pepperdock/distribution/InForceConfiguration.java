package pepperdock.distribution;

/**
 * The configuration that a subscriber has in force, and how much of it is on its disk. The floor is the oldest version
 * that may be put in force, also after a restart. Not thread-safe: used only by the thread that calls
 * {@link Subscriber}.
 */
final class InForceConfiguration {

    private final VersionStore store;
    private final int saveRetryMillis;
    private ConfigurationSnapshot configuration;
    private ConfigurationVersion floor;
    private Durability durability;
    private long saveRetryAt;

    /**
     * Loads the saved configuration; nothing is in force if a newer version than the saved one was before the restart.
     */
    InForceConfiguration(VersionStore store, int saveRetryMillis) {
        this.store = store;
        this.saveRetryMillis = saveRetryMillis;
        VersionStore.Saved saved = store.load();
        boolean outdated = saved.floor().newerThan(saved.configuration().version());
        floor = outdated ? saved.floor() : saved.configuration().version();
        configuration = outdated ? ConfigurationSnapshot.NONE : saved.configuration();
        durability = outdated ? Durability.FLOOR_ONLY : Durability.SAVED;
    }

    ConfigurationSnapshot configuration() {
        return configuration;
    }

    ConfigurationVersion version() {
        return configuration.version();
    }

    ConfigurationDigest digest() {
        return configuration.digest();
    }

    Durability durability() {
        return durability;
    }

    ConfigurationVersion floor() {
        return floor;
    }

    /**
     * Returns whether nothing is in force because a newer version than the saved configuration was in force before the
     * restart.
     */
    boolean heldBack() {
        return floor.newerThan(version());
    }

    /** Saves a configuration as far as the disk allows it, and puts it in force. */
    void replace(ConfigurationSnapshot next, long now) {
        save(next, now);
        configuration = next;
    }

    /** Retries saving the configuration if that failed and a retry is due; returns true if this retry succeeded. */
    boolean retrySave(long now) {
        if (durability == Durability.SAVED || heldBack() || now < saveRetryAt) {
            return false;
        }
        save(configuration, now);
        return durability == Durability.SAVED;
    }

    private void save(ConfigurationSnapshot next, long now) {
        if (store.save(next)) {
            durability = Durability.SAVED;
            floor = next.version();
        } else if (store.saveFloor(next.version())) {
            durability = Durability.FLOOR_ONLY;
            floor = next.version();
        } else {
            durability = Durability.MEMORY_ONLY;
        }
        saveRetryAt = now + saveRetryMillis;
    }
}
