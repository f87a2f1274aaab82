package pepperdock.distribution;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** The first 128 bits of the SHA-256 of a configuration's version, format and items. */
public record ConfigurationDigest(long high, long low) {

    /** The bytes of a digest on the wire. */
    static final int BYTES = 16;

    /** Returns the digest of the bytes. */
    static ConfigurationDigest of(byte[] bytes) {
        try {
            ByteBuffer sum =
                    ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest(bytes));
            return new ConfigurationDigest(sum.getLong(), sum.getLong());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(
                    "SHA-256 is not available, although every Java platform must support it", e);
        }
    }

    @Override
    public String toString() {
        return String.format("%016x%016x", high, low);
    }
}
