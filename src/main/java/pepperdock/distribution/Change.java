package pepperdock.distribution;

/** The change of one key from one version to a later one. Immutable. */
public sealed interface Change {

    /** The key that changes. */
    String key();

    /** Bytes of this change on the wire. */
    int bytes();

    /** The key gets this value. */
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

    /** The key is removed. */
    record Remove(String key) implements Change {
        @Override
        public int bytes() {
            return 1 + ConfigurationCodec.textBytes(key);
        }
    }
}
