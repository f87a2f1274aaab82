package pepperdock.membership.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import pepperdock.membership.GossipItem;
import pepperdock.membership.MemberRecord;
import pepperdock.membership.Message;
import pepperdock.membership.Observation;
import pepperdock.membership.Observations;
import pepperdock.membership.RecordStatus;

/**
 * Guards the wire format during a rolling update. If a message of an earlier version were decoded differently, or
 * encoded to other bytes, members of the two versions would reject each other's messages, and each would declare the
 * other faulty. The resource has one message of each kind as an earlier version wrote it; each line has the kind and
 * the bytes in hex.
 */
class MembershipMessageCompatibilityTest {

    private static final String RESOURCE = "/compatibility/membership-messages.txt";

    private static Map<String, byte[]> stored() {
        Map<String, byte[]> stored = new LinkedHashMap<>();
        try (InputStream in = MembershipMessageCompatibilityTest.class.getResourceAsStream(RESOURCE)) {
            new String(in.readAllBytes(), StandardCharsets.UTF_8).lines().forEach(line -> {
                String[] kindAndBytes = line.split(" ", 2);
                stored.put(kindAndBytes[0], HexFormat.of().parseHex(kindAndBytes[1]));
            });
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return stored;
    }

    private static List<GossipItem> items() {
        List<GossipItem> items = new ArrayList<>();
        items.add(new MemberRecord("halle-2", 77, 0, RecordStatus.ALIVE, "[::1]:7400", "halle", "host-5"));
        items.add(
                new MemberRecord("anderlecht-1", -1, 12, RecordStatus.FAULTY, "10.0.1.1:7400", "anderlecht", "host-1"));
        items.add(new MemberRecord(
                "anderlecht-2", Long.MIN_VALUE, 1L << 40, RecordStatus.LEFT, "10.0.1.2:65535", "-", "-"));
        items.add(observations(0, false, Observation.SLOW));
        items.add(observations(1, true, Observation.INDIRECT));
        items.add(observations(2, false, Observation.UNRESPONSIVE));
        items.add(observations(3, true, Observation.UNREACHABLE));
        items.add(new Observations("observer_4", 9, 1, false, Map.of()));
        return items;
    }

    private static Observations observations(int number, boolean unhealthy, Observation observation) {
        return new Observations(
                "observer_" + number,
                1000 + number,
                5,
                unhealthy,
                Map.of("subject." + number, new Observations.SubjectObservation(-500 - number, observation)));
    }

    private static Map<String, Message> expected() {
        Message.Header header = new Message.Header(
                "brussels-ledger", "halle-1", -7046029254386353131L, 3, "10.0.4.1:7400", 0x0123456789ABCDEFL);
        Map<String, Long> digests = Map.of("halle-1", -42L, "halle-2", Long.MAX_VALUE);
        List<Long> sliceDigests = new ArrayList<>();
        for (int i = 0; i < Message.SLICE_COUNT; i++) {
            sliceDigests.add(0x9E3779B97F4A7C15L * i);
        }
        int someSlices = 0x80000011;
        Map<String, Message> expected = new LinkedHashMap<>();
        expected.put("ping", new Message.Ping(header, "halle-2", 77, 8, items()));
        expected.put("ack", new Message.Ack(header, (1L << 40) + 1, items()));
        expected.put("wrong-addressee", new Message.WrongAddressee(header, "halle-2", 78));
        expected.put("indirect-ping", new Message.IndirectPing(header, "halle-2", 77, "10.0.4.2:7400", 9));
        expected.put("indirect-ack", new Message.IndirectAck(header, "halle-2", 77, 9));
        expected.put("digest-request", new Message.DigestRequest(header, Message.ALL_SLICES, digests));
        expected.put("digest-response", new Message.DigestResponse(header, items(), List.of("halle-3", "halle-4")));
        expected.put("missing-items", new Message.MissingItems(header, items()));
        expected.put("slice-digests", new Message.SliceDigests(header, sliceDigests));
        expected.put("slice-selection", new Message.SliceSelection(header, someSlices));
        expected.put("partial-digest-request", new Message.DigestRequest(header, someSlices, digests));
        expected.put("join", new Message.Join(header));
        expected.put("join-response", new Message.JoinResponse(header, items()));
        return expected;
    }

    static Stream<String> kinds() {
        return expected().keySet().stream();
    }

    @ParameterizedTest
    @MethodSource("kinds")
    void storedMessageIsDecodedAndEncodedToTheSameBytes(String kind) {
        byte[] bytes = stored().get(kind);
        Message decoded = MembershipMessageCodec.decode(bytes, 0, bytes.length);
        assertEquals(expected().get(kind), decoded);
        assertEquals(HexFormat.of().formatHex(bytes), HexFormat.of().formatHex(MembershipMessageCodec.encode(decoded)));
    }

    @Test
    void oneMessageOfEachKindIsStored() {
        assertEquals(List.copyOf(expected().keySet()), List.copyOf(stored().keySet()));
    }
}
