package pepperdock.distribution;

/** What becomes of one key from one version to a later one. */
public sealed interface Change {

    /** The key that changes. */
    String key();

    /** Bytes of this change on the wire. */
    int bytes();

    /** The key has this value from here on. */
    record Put(Item item) implements Change {
        @Override
        public String key() {
            return item.key();
        }

        @Override
        public int bytes() {
            return 1 + item.bytes();
        }
    }

    /** The key is gone from here on. */
    record Remove(String key) implements Change {
        @Override
        public int bytes() {
            return 1 + Encoding.textBytes(key);
        }
    }
}
