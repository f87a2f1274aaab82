package pepperdock.distribution;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/** A configuration as bytes: version, format, number of items, then each item by key in ascending order. */
public final class Encoding {

    private static final int HEAD = Version.BYTES + 8;

    private Encoding() {}

    /** Bytes of a text behind its length. */
    static int textBytes(String text) {
        return 2 + text.getBytes(StandardCharsets.UTF_8).length;
    }

    static byte[] write(Version version, int format, Collection<Item> items) {
        int bytes = HEAD + items.stream().mapToInt(Item::bytes).sum();
        ByteBuffer to = ByteBuffer.allocate(bytes);
        to.putLong(version.epoch()).putLong(version.number()).putInt(format).putInt(items.size());
        for (Item item : items) {
            byte[] key = item.key().getBytes(StandardCharsets.UTF_8);
            to.putShort((short) key.length).put(key).putInt(item.value().length).put(item.value());
        }
        return to.array();
    }

    /**
     * The configuration that was written.
     *
     * @throws IllegalArgumentException where these bytes are not one, whole
     */
    public static Configuration read(byte[] bytes) {
        try {
            ByteBuffer from = ByteBuffer.wrap(bytes);
            Version version = new Version(from.getLong(), from.getLong());
            int format = from.getInt();
            int count = from.getInt();
            List<Item> items = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                byte[] key = new byte[Short.toUnsignedInt(from.getShort())];
                from.get(key);
                byte[] value = new byte[from.getInt()];
                from.get(value);
                items.add(new Item(new String(key, StandardCharsets.UTF_8), value));
            }
            if (from.hasRemaining()) {
                throw new IllegalArgumentException(from.remaining() + " bytes follow the configuration");
            }
            return Configuration.of(version, format, items);
        } catch (BufferUnderflowException | NegativeArraySizeException e) {
            throw new IllegalArgumentException("configuration cut short", e);
        }
    }
}
