package pepperdock.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Tests configurations, their encoding and the changes between them. */
class ConfigurationSnapshotTest {

    private static ConfigurationSnapshot of(long number, Map<Byte, byte[]> content) {
        List<ConfigurationItem> items = new ArrayList<>();
        content.forEach((key, value) -> items.add(new ConfigurationItem("k" + key, value)));
        return ConfigurationSnapshot.of(new ConfigurationVersion(1, number), 1, items);
    }

    @Property(tries = 200)
    void encodedConfigurationIsDecodedUnchanged(@ForAll @Size(max = 20) Map<Byte, byte[]> content) {
        ConfigurationSnapshot configuration = of(3, content);
        ConfigurationSnapshot read = ConfigurationCodec.read(configuration.encoded());
        assertEquals(configuration.digest(), read.digest());
        assertEquals(List.copyOf(configuration.items()), List.copyOf(read.items()));
    }

    @Property(tries = 200)
    void truncatedConfigurationIsRejected(@ForAll @Size(max = 20) Map<Byte, byte[]> content, @ForAll byte cut) {
        byte[] whole = of(3, content).encoded();
        byte[] part = Arrays.copyOf(whole, Math.floorMod(cut, whole.length));
        assertThrows(IllegalArgumentException.class, () -> ConfigurationCodec.read(part));
    }

    /** Guards against memory that is allocated by a length alone: the value's length says 2 GiB, and no byte follows. */
    @Test
    void lengthBeyondTheBytesLeftIsRejected() {
        byte[] configuration = of(3, Map.of((byte) 1, new byte[] {7})).encoded();
        int lengthAt = configuration.length - 1 - Integer.BYTES;
        ByteBuffer.wrap(configuration).putInt(lengthAt, Integer.MAX_VALUE);
        assertThrows(MalformedConfigurationException.class, () -> ConfigurationCodec.read(configuration));
    }

    @Property(tries = 200)
    void changesTurnOneConfigurationIntoTheOther(
            @ForAll @Size(max = 20) Map<Byte, byte[]> before, @ForAll @Size(max = 20) Map<Byte, byte[]> after) {
        ConfigurationSnapshot from = of(3, before);
        ConfigurationSnapshot to = of(4, after);
        assertEquals(
                to.digest(),
                from.with(to.version(), to.format(), from.changesTo(to)).digest());
    }

    @Property(tries = 200)
    void combinedDeltaLeadsFromAnyKeptVersionToTheNewest(
            @ForAll @Size(min = 2, max = 8) List<@Size(max = 8) Map<Byte, byte[]>> contents) {
        RecentChanges recent = new RecentChanges(100, 1 << 20);
        List<ConfigurationSnapshot> all = new ArrayList<>();
        for (Map<Byte, byte[]> content : contents) {
            all.add(of(all.size() + 1L, content));
            if (all.size() > 1) {
                recent.add(Delta.between(all.get(all.size() - 2), all.get(all.size() - 1)));
            }
        }
        ConfigurationSnapshot newest = all.get(all.size() - 1);
        for (ConfigurationSnapshot old : all.subList(0, all.size() - 1)) {
            Delta delta = recent.since(old.version(), old.digest()).orElseThrow();
            assertEquals(
                    newest.digest(),
                    old.with(delta.result(), delta.format(), delta.changes()).digest());
        }
    }
}
