package pepperdock.simulation.distribution;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import pepperdock.distribution.Change;
import pepperdock.distribution.ConfigurationItem;

/**
 * A configuration change that an operator requests, as an entry of the log.
 *
 * @param id identifies the command; a repetition with the same id has no effect
 * @param format the format of the configuration from this change on
 */
public record Command(long id, int format, List<Change> changes) {

    /** Copies the changes. */
    public Command {
        changes = List.copyOf(changes);
    }

    byte[] encoded() {
        int length = 16;
        for (Change change : changes) {
            length += 9 + utf8(change.key()).length + value(change).length;
        }
        ByteBuffer to = ByteBuffer.allocate(length).putLong(id).putInt(format).putInt(changes.size());
        for (Change change : changes) {
            byte[] key = utf8(change.key());
            byte[] value = value(change);
            to.put((byte) (change instanceof Change.Put ? 1 : 0));
            to.putInt(key.length).put(key).putInt(value.length).put(value);
        }
        return to.array();
    }

    static Command read(byte[] bytes) {
        ByteBuffer from = ByteBuffer.wrap(bytes);
        long id = from.getLong();
        int format = from.getInt();
        int count = from.getInt();
        List<Change> changes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            boolean put = from.get() == 1;
            String key = new String(readBytes(from), StandardCharsets.UTF_8);
            byte[] value = readBytes(from);
            changes.add(put ? new Change.Put(new ConfigurationItem(key, value)) : new Change.Remove(key));
        }
        return new Command(id, format, changes);
    }

    private static byte[] readBytes(ByteBuffer from) {
        byte[] bytes = new byte[from.getInt()];
        from.get(bytes);
        return bytes;
    }

    private static byte[] utf8(String key) {
        return key.getBytes(StandardCharsets.UTF_8);
    }

    private static byte[] value(Change change) {
        return change instanceof Change.Put put ? put.item().value() : new byte[0];
    }
}
