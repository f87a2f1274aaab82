package pepperdock.platform;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.lifecycle.AfterProperty;

/**
 * Guards against values served that no worker made for the request: a worker's answers are cut, stretched, doubled and
 * mixed at any byte, and arrive in any pieces. {@link TwoWorkersFixture#awaitEnd} compares each value that is served with
 * the one that was made. Queries stay open until the whole stream has arrived, because what arrives after an answer to
 * the client can't change it any more.
 */
class DamagedStreamPropertyTest {

    private static final int MAX_QUERIES = 5;
    private static final int MAX_PIECE_BYTES = 60;
    /** Bounds the time of one try; other pieces may reach the gatherer together. */
    private static final int MAX_AWAITED_PIECES = 10;
    /** A frame that is never completed is given up soon. */
    private static final double CONNECT_TIMEOUT_S = 0.1;

    private static int answered;
    private static int sent;

    /** One damage to a stream of frames; each leaves frames that it does not touch as they are. */
    private enum Damage {
        /** The length is too small or too large by one byte up to the whole frame. */
        LENGTH {
            @Override
            void apply(List<byte[]> frames, int index, Random random) {
                byte[] frame = frames.get(index).clone();
                int change =
                        (1 + random.nextInt(random.nextBoolean() ? 5 : frame.length)) * (random.nextBoolean() ? 1 : -1);
                int length = Math.max(0, frame.length - 4 + change);
                frame[2] = (byte) (length >> 8);
                frame[3] = (byte) length;
                frames.set(index, frame);
            }
        },
        /** Some bytes are missing, and the length is as it was. */
        CUT {
            @Override
            void apply(List<byte[]> frames, int index, Random random) {
                byte[] frame = frames.get(index);
                int from = random.nextInt(frame.length);
                int to = from + 1 + random.nextInt(frame.length - from);
                frames.set(index, join(Arrays.copyOf(frame, from), Arrays.copyOfRange(frame, to, frame.length)));
            }
        },
        /** Text or any bytes are added somewhere, and the length is as it was. */
        STRETCH {
            @Override
            void apply(List<byte[]> frames, int index, Random random) {
                byte[] frame = frames.get(index);
                int at = random.nextInt(frame.length + 1);
                byte[] noise = new byte[1 + random.nextInt(30)];
                if (random.nextBoolean()) {
                    Arrays.fill(noise, (byte) 'n');
                } else {
                    random.nextBytes(noise);
                }
                frames.set(index, join(Arrays.copyOf(frame, at), noise, Arrays.copyOfRange(frame, at, frame.length)));
            }
        },
        /** A frame, or a part of it, comes twice. */
        DOUBLE {
            @Override
            void apply(List<byte[]> frames, int index, Random random) {
                byte[] frame = frames.get(index);
                int from = random.nextBoolean() ? 0 : random.nextInt(frame.length);
                int to = random.nextBoolean() ? frame.length : from + random.nextInt(frame.length - from + 1);
                frames.set(index, join(frame, Arrays.copyOfRange(frame, from, to)));
            }
        },
        /** The next frame comes in the middle of this one. */
        MIX {
            @Override
            void apply(List<byte[]> frames, int index, Random random) {
                byte[] frame = frames.get(index);
                byte[] next = frames.get((index + 1) % frames.size());
                int at = random.nextInt(frame.length);
                frames.set(index, join(Arrays.copyOf(frame, at), next, Arrays.copyOfRange(frame, at, frame.length)));
            }
        };

        abstract void apply(List<byte[]> frames, int index, Random random);
    }

    private static byte[] join(byte[]... parts) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (byte[] part : parts) {
            all.writeBytes(part);
        }
        return all.toByteArray();
    }

    private static List<byte[]> pieces(byte[] stream, Random random) {
        List<byte[]> pieces = new ArrayList<>();
        int maxBytes = random.nextInt(3) == 0 ? stream.length : 1 + random.nextInt(MAX_PIECE_BYTES);
        int from = 0;
        while (from < stream.length) {
            int to = Math.min(stream.length, from + 1 + random.nextInt(maxBytes));
            pieces.add(Arrays.copyOfRange(stream, from, to));
            from = to;
        }
        return pieces;
    }

    @Property(seed = "59", tries = 100)
    void onlyValuesMadeForTheRequestAreServed(@ForAll long seed) throws Exception {
        Random random = new Random(seed);
        int queries = 1 + random.nextInt(MAX_QUERIES);
        try (TwoWorkersFixture fixture = new TwoWorkersFixture(CONNECT_TIMEOUT_S)) {
            for (int i = 0; i < queries; i++) {
                fixture.submit(
                        "q" + i + "x".repeat(random.nextInt(4)),
                        random.nextInt(3),
                        TwoWorkersFixture.DAMAGED_SHARD,
                        TwoWorkersFixture.SOUND_SHARD);
            }
            List<byte[]> frames = new ArrayList<>();
            for (String id : fixture.awaitParts(queries)) {
                frames.add(TwoWorkersFixture.result(id));
            }
            Damage damage = Damage.values()[random.nextInt(Damage.values().length)];
            damage.apply(frames, random.nextInt(frames.size()), random);
            List<byte[]> pieces = pieces(join(frames.toArray(new byte[0][])), random);
            fixture.deliver(pieces, 1 + pieces.size() / MAX_AWAITED_PIECES);
            if (random.nextInt(4) > 0) {
                fixture.connection().close();
            }
            fixture.releaseSoundWorker();
            for (int i = 0; i < queries; i++) {
                answered += fixture.awaitEnd().answered() ? 1 : 0;
            }
            sent += queries;
            assertTrue(fixture.nonIdempotentPartsSentTwice().isEmpty(), "parts that must not repeat were sent twice");
        }
    }

    /** Most queries are answered: those that may be repeated, and those whose answers came before the damage. */
    @AfterProperty
    void mostQueriesAreAnswered() {
        assertTrue(answered > sent / 2, answered + " of " + sent + " queries were answered");
    }
}
