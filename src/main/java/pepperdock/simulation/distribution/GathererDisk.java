package pepperdock.simulation.distribution;

import pepperdock.distribution.ConfigurationSnapshot;
import pepperdock.distribution.ConfigurationVersion;
import pepperdock.distribution.VersionStore;

/** What a gatherer's disk holds; it may be full. Tests plant faults by other kinds. */
public class GathererDisk implements VersionStore {

    private VersionStore.Saved saved = VersionStore.Saved.NOTHING;
    private boolean full;

    void full(boolean now) {
        full = now;
    }

    @Override
    public VersionStore.Saved load() {
        return saved;
    }

    @Override
    public boolean save(ConfigurationSnapshot configuration) {
        if (!full) {
            saved = new VersionStore.Saved(configuration, saved.floor());
        }
        return !full;
    }

    @Override
    public boolean saveFloor(ConfigurationVersion floor) {
        saved = new VersionStore.Saved(saved.configuration(), floor);
        return true;
    }
}
