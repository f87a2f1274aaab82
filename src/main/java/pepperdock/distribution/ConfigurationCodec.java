package pepperdock.distribution;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Encodes and decodes a configuration: version, format, number of items, then the items in ascending order of their
 * keys. Big-endian. Stateless.
 */
public final class ConfigurationCodec {

    private static final int HEADER_BYTES = ConfigurationVersion.BYTES + 8;

    private ConfigurationCodec() {}

    /** Returns the bytes of an encoded text: its length field and its UTF-8 bytes. */
    static int textBytes(String text) {
        return 2 + text.getBytes(StandardCharsets.UTF_8).length;
    }

    /** Encodes a configuration; the items must be in ascending order of their keys. */
    static byte[] write(ConfigurationVersion version, int format, Collection<ConfigurationItem> items) {
        int bytes =
                HEADER_BYTES + items.stream().mapToInt(ConfigurationItem::bytes).sum();
        ByteBuffer to = ByteBuffer.allocate(bytes);
        to.putLong(version.epoch()).putLong(version.number()).putInt(format).putInt(items.size());
        for (ConfigurationItem item : items) {
            byte[] key = item.key().getBytes(StandardCharsets.UTF_8);
            to.putShort((short) key.length).put(key).putInt(item.value().length).put(item.value());
        }
        return to.array();
    }

    /**
     * Decodes a configuration.
     *
     * @throws MalformedConfigurationException if the bytes are not exactly one complete configuration
     */
    public static ConfigurationSnapshot read(byte[] bytes) {
        try {
            ByteBuffer from = ByteBuffer.wrap(bytes);
            ConfigurationVersion version = new ConfigurationVersion(from.getLong(), from.getLong());
            int format = from.getInt();
            int count = from.getInt();
            List<ConfigurationItem> items = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                byte[] key = new byte[Short.toUnsignedInt(from.getShort())];
                from.get(key);
                byte[] value = new byte[checkedLength(from.getInt(), from)];
                from.get(value);
                items.add(new ConfigurationItem(new String(key, StandardCharsets.UTF_8), value));
            }
            if (from.hasRemaining()) {
                throw new MalformedConfigurationException(
                        from.remaining() + " unexpected bytes after the end of the configuration");
            }
            return ConfigurationSnapshot.of(version, format, items);
        } catch (BufferUnderflowException e) {
            throw new MalformedConfigurationException(
                    "configuration of " + bytes.length + " bytes is truncated or has a negative length field", e);
        }
    }

    /** Returns a length that was read, if it is not negative and so many bytes are left: more must not be allocated. */
    private static int checkedLength(int length, ByteBuffer from) {
        if (length < 0 || length > from.remaining()) {
            throw new BufferUnderflowException();
        }
        return length;
    }
}
