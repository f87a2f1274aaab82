package pepperdock.distribution;

/** A change of one key from one version to a later one. Immutable. */
public sealed interface Change {

    /** Returns the key that changes. */
    String key();

    /** Returns the bytes of this change on the wire. */
    int bytes();

    /** Adds the key with this value, or replaces its value. */
    record Put(ConfigurationItem item) implements Change {
        @Override
        public String key() {
            return item.key();
        }

        @Override
        public int bytes() {
            return 1 + item.bytes();
        }
    }

    /** Removes the key. */
    record Remove(String key) implements Change {
        @Override
        public int bytes() {
            return 1 + ConfigurationCodec.textBytes(key);
        }
    }
}
