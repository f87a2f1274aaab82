package pepperdock.distribution;

import java.util.Arrays;

/**
 * One named value of a configuration.
 *
 * @param value at most 2^31 - 1 bytes; not copied, so no holder may modify the array
 */
public record ConfigurationItem(String key, byte[] value) {

    /** The bytes of the value's length field. */
    private static final int LENGTH = 4;

    /** Returns the bytes of this item in an encoded configuration. */
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
