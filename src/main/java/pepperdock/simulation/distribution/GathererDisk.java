package pepperdock.simulation.distribution;

import pepperdock.distribution.ConfigurationSnapshot;
import pepperdock.distribution.ConfigurationVersion;
import pepperdock.distribution.VersionStore;

/** The disk of a gatherer, which may be full. Tests override its methods to inject faults. */
public class GathererDisk implements VersionStore {

    private VersionStore.Saved saved = VersionStore.Saved.NOTHING;
    private boolean full;

    void setFull(boolean full) {
        this.full = full;
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
