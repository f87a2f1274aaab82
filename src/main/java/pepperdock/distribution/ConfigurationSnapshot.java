package pepperdock.distribution;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/**
 * A complete configuration as of one version. Immutable; two snapshots with the same version and digest are the same.
 */
public final class ConfigurationSnapshot {

    /** The empty configuration that precedes the first version. */
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

    /** Returns the configuration with these items; of two items with the same key, the later one is used. */
    public static ConfigurationSnapshot of(
            ConfigurationVersion version, int format, Collection<ConfigurationItem> items) {
        TreeMap<String, ConfigurationItem> byKey = new TreeMap<>();
        items.forEach(item -> byKey.put(item.key(), item));
        return new ConfigurationSnapshot(version, format, byKey);
    }

    /** Returns the version of this configuration. */
    public ConfigurationVersion version() {
        return version;
    }

    /** Returns the format: a program version can read this configuration if it reads at least this format. */
    public int format() {
        return format;
    }

    /** Returns the digest of version, format and items. */
    public ConfigurationDigest digest() {
        return digest;
    }

    /** Returns all items in ascending order of their keys. */
    public Collection<ConfigurationItem> items() {
        return Collections.unmodifiableCollection(items.values());
    }

    /** Returns the item with this key, if there is one. */
    public Optional<ConfigurationItem> item(String key) {
        return Optional.ofNullable(items.get(key));
    }

    /** Returns a copy of this configuration with the changes applied and the given version and format. */
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

    /**
     * Returns the changes that turn this configuration into the other: the added and replaced items, then the removed
     * keys, each in ascending order of the keys.
     */
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

    /** Returns this configuration encoded; the same content always has the same bytes. */
    public byte[] encoded() {
        return ConfigurationCodec.write(version, format, items.values());
    }

    @Override
    public String toString() {
        return version + " (" + items.size() + " items, format " + format + ")";
    }
}
