package pepperdock.distribution;

/**
 * The configuration that a subscriber has in force, and what its disk holds of it. The floor is the version that nothing older
 * may follow, also after a restart. Owned by the thread that calls {@link Subscriber}.
 */
final class InForceConfiguration {

    private final VersionStore store;
    private final int saveRetryMillis;
    private ConfigurationSnapshot configuration;
    private ConfigurationVersion floor;
    private Durability durability;
    private long saveRetryAt;

    /** Loads what the disk holds; nothing is in force where something newer than that was before the restart. */
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

    /** Whether nothing is in force, as something newer than the saved configuration was before the restart. */
    boolean heldBack() {
        return floor.newerThan(version());
    }

    /** Saves a configuration as far as the disk allows, and puts it in force. */
    void replace(ConfigurationSnapshot next, long now) {
        save(next, now);
        configuration = next;
    }

    /** Tries again to save what could not be saved, when it is time; true where it is saved now and was not before. */
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
