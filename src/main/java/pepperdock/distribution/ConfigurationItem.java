package pepperdock.distribution;

import java.util.Arrays;

/**
 * One named value of a configuration.
 *
 * @param value of at most 2^31 - 1 bytes; not to be changed by anyone who holds it
 */
public record ConfigurationItem(String key, byte[] value) {

    /** Bytes for the length of the value. */
    private static final int LENGTH = 4;

    /** Bytes of this item in an encoded configuration. */
    int bytes() {
        return ConfigurationCodec.textBytes(key) + LENGTH + value.length;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ConfigurationItem o && key.equals(o.key) && Arrays.equals(value, o.value);
    }

    @Override
    public int hashCode() {
        return 31 * key.hashCode() + Arrays.hashCode(value);
    }
}
