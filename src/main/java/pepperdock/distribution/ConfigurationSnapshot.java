package pepperdock.distribution;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/** A complete configuration as of one version. Immutable; two of the same version with equal digests are the same. */
public final class ConfigurationSnapshot {

    /** What there is before the first version. */
    public static final ConfigurationSnapshot NONE =
            new ConfigurationSnapshot(ConfigurationVersion.NONE, 0, new TreeMap<>());

    private final ConfigurationVersion version;
    private final int format;
    private final TreeMap<String, ConfigurationItem> items;
    private final ConfigurationDigest digest;

    private ConfigurationSnapshot(ConfigurationVersion version, int format, TreeMap<String, ConfigurationItem> items) {
        this.version = version;
        this.format = format;
        this.items = items;
        digest = ConfigurationDigest.of(encoded());
    }

    /** The configuration of these items; of two with the same key the later one counts. */
    public static ConfigurationSnapshot of(
            ConfigurationVersion version, int format, Collection<ConfigurationItem> items) {
        TreeMap<String, ConfigurationItem> byKey = new TreeMap<>();
        items.forEach(item -> byKey.put(item.key(), item));
        return new ConfigurationSnapshot(version, format, byKey);
    }

    /** The version as of which this is. */
    public ConfigurationVersion version() {
        return version;
    }

    /** Which program versions can read it: those that read at least this format. */
    public int format() {
        return format;
    }

    /** The digest of version, format and items. */
    public ConfigurationDigest digest() {
        return digest;
    }

    /** All items, by key in ascending order. */
    public Collection<ConfigurationItem> items() {
        return Collections.unmodifiableCollection(items.values());
    }

    /** The item of that key, if there is one. */
    public Optional<ConfigurationItem> item(String key) {
        return Optional.ofNullable(items.get(key));
    }

    /** This configuration with the changes made, as of that version and format. */
    public ConfigurationSnapshot with(ConfigurationVersion to, int toFormat, List<Change> changes) {
        TreeMap<String, ConfigurationItem> next = new TreeMap<>(items);
        for (Change change : changes) {
            if (change instanceof Change.Put put) {
                next.put(put.key(), put.item());
            } else {
                next.remove(change.key());
            }
        }
        return new ConfigurationSnapshot(to, toFormat, next);
    }

    /** What has to change to come from this configuration to that one, by key in ascending order. */
    public List<Change> changesTo(ConfigurationSnapshot to) {
        List<Change> changes = new ArrayList<>();
        for (ConfigurationItem item : to.items.values()) {
            if (!item.equals(items.get(item.key()))) {
                changes.add(new Change.Put(item));
            }
        }
        for (String key : items.keySet()) {
            if (!to.items.containsKey(key)) {
                changes.add(new Change.Remove(key));
            }
        }
        return changes;
    }

    /** All of it as bytes, the same ones for the same content. */
    public byte[] encoded() {
        return ConfigurationCodec.write(version, format, items.values());
    }

    @Override
    public String toString() {
        return version + " (" + items.size() + " items, format " + format + ")";
    }
}
