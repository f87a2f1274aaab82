package pepperdock.distribution.wire;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import pepperdock.distribution.Change;
import pepperdock.distribution.ConfigurationDigest;
import pepperdock.distribution.ConfigurationItem;
import pepperdock.distribution.ConfigurationVersion;
import pepperdock.distribution.Delta;
import pepperdock.distribution.DistributionMessage;
import pepperdock.distribution.Durability;
import pepperdock.distribution.Refusal;
import pepperdock.distribution.SubscriberId;

/**
 * Encodes and decodes messages as frames: a length field of four bytes that counts the bytes after it, a kind of one
 * byte, and the content. Big-endian. Stateless.
 */
public final class DistributionMessageCodec {

    /** The bytes of the length field. */
    static final int LENGTH_BYTES = 4;
    /** The largest frame, without its length field. */
    static final int MAX_FRAME_BYTES = 128 << 10;

    private static final byte HELLO = 1;
    private static final byte IN_FORCE = 2;
    private static final byte UPDATE_REQUEST = 3;
    private static final byte REFUSED = 4;
    private static final byte HEARTBEAT = 5;
    private static final byte UPDATE = 6;
    private static final byte SNAPSHOT_CHUNK = 7;
    private static final byte RETRY_AFTER = 8;
    private static final byte PUT = 1;
    private static final byte REMOVE = 2;

    private DistributionMessageCodec() {}

    /** Encodes a message as a frame, including the length field. */
    public static byte[] frame(DistributionMessage message) {
        int length = 1 + message.content();
        ByteBuffer out = ByteBuffer.allocate(LENGTH_BYTES + length).putInt(length);
        if (message instanceof DistributionMessage.FromSubscriber payload) {
            write(out, payload);
        } else if (message instanceof DistributionMessage.FromPublisher payload) {
            write(out, payload);
        }
        return out.array();
    }

    /**
     * Decodes a frame without its length field.
     *
     * @throws MalformedMessageException if the bytes are not exactly one complete message
     */
    public static DistributionMessage read(byte[] bytes, int from, int length) {
        ByteBuffer in = ByteBuffer.wrap(bytes, from, length);
        try {
            DistributionMessage message = read(in);
            if (in.hasRemaining()) {
                throw new MalformedMessageException(in.remaining() + " unexpected bytes after the end of the message");
            }
            return message;
        } catch (BufferUnderflowException | IndexOutOfBoundsException e) {
            throw new MalformedMessageException(
                    "message of " + length + " bytes is truncated or has an invalid value", e);
        }
    }

    // ---- Writing ------------------------------------------------------------

    private static void write(ByteBuffer out, DistributionMessage.FromSubscriber message) {
        if (message instanceof DistributionMessage.Hello payload) {
            out.put(HELLO);
            writeText(out, payload.from().name());
            out.putInt(payload.highestFormat());
            writeVersionAndDigest(out, payload.inForce(), payload.digest());
            out.put((byte) payload.durability().ordinal());
        } else if (message instanceof DistributionMessage.InForce payload) {
            out.put(IN_FORCE);
            writeVersionAndDigest(out, payload.version(), payload.digest());
            out.put((byte) payload.durability().ordinal());
        } else if (message instanceof DistributionMessage.UpdateRequest payload) {
            out.put(UPDATE_REQUEST);
            writeVersionAndDigest(out, payload.inForce(), payload.digest());
            out.put((byte) (payload.asSnapshot() ? 1 : 0));
        } else if (message instanceof DistributionMessage.Refused payload) {
            out.put(REFUSED);
            writeVersion(out, payload.refusal().version());
            out.put((byte) payload.refusal().reason().ordinal());
            writeText(out, payload.refusal().detail());
        }
    }

    private static void write(ByteBuffer out, DistributionMessage.FromPublisher message) {
        if (message instanceof DistributionMessage.Heartbeat payload) {
            out.put(HEARTBEAT);
            writeVersionAndDigest(out, payload.latest(), payload.digest());
            out.putInt(payload.confirmedMillisAgo());
        } else if (message instanceof DistributionMessage.Update payload) {
            out.put(UPDATE);
            writeDelta(out, payload.delta());
        } else if (message instanceof DistributionMessage.SnapshotChunk payload) {
            out.put(SNAPSHOT_CHUNK);
            writeVersionAndDigest(out, payload.version(), payload.digest());
            out.putInt(payload.format())
                    .putInt(payload.total())
                    .putInt(payload.offset())
                    .put(payload.data());
        } else if (message instanceof DistributionMessage.RetryAfter payload) {
            out.put(RETRY_AFTER).putInt(payload.millis());
        }
    }

    private static void writeDelta(ByteBuffer out, Delta delta) {
        writeVersionAndDigest(out, delta.base(), delta.baseDigest());
        writeVersionAndDigest(out, delta.result(), delta.digest());
        out.putInt(delta.format()).putInt(delta.changes().size());
        for (Change change : delta.changes()) {
            if (change instanceof Change.Put put) {
                out.put(PUT);
                writeText(out, put.key());
                out.putInt(put.item().value().length).put(put.item().value());
            } else {
                out.put(REMOVE);
                writeText(out, change.key());
            }
        }
    }

    private static void writeVersionAndDigest(
            ByteBuffer out, ConfigurationVersion version, ConfigurationDigest digest) {
        writeVersion(out, version);
        out.putLong(digest.high()).putLong(digest.low());
    }

    private static void writeVersion(ByteBuffer out, ConfigurationVersion version) {
        out.putLong(version.epoch()).putLong(version.number());
    }

    private static void writeText(ByteBuffer out, String text) {
        byte[] bytes = utf8(text);
        out.putShort((short) bytes.length).put(bytes);
    }

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    // ---- Reading ------------------------------------------------------------

    private static DistributionMessage read(ByteBuffer in) {
        byte kind = in.get();
        return switch (kind) {
            case HELLO -> {
                SubscriberId from = new SubscriberId(readText(in));
                int highestFormat = in.getInt();
                yield new DistributionMessage.Hello(
                        from, highestFormat, readVersion(in), readDigest(in), readDurability(in));
            }
            case IN_FORCE -> new DistributionMessage.InForce(readVersion(in), readDigest(in), readDurability(in));
            case UPDATE_REQUEST ->
                new DistributionMessage.UpdateRequest(readVersion(in), readDigest(in), in.get() == 1);
            case REFUSED -> {
                ConfigurationVersion version = readVersion(in);
                Refusal.Reason reason = Refusal.Reason.values()[in.get()];
                yield new DistributionMessage.Refused(new Refusal(version, reason, readText(in)));
            }
            case HEARTBEAT -> new DistributionMessage.Heartbeat(readVersion(in), readDigest(in), in.getInt());
            case UPDATE -> new DistributionMessage.Update(readDelta(in));
            case SNAPSHOT_CHUNK ->
                new DistributionMessage.SnapshotChunk(
                        readVersion(in),
                        readDigest(in),
                        in.getInt(),
                        in.getInt(),
                        in.getInt(),
                        readBytes(in, in.remaining()));
            case RETRY_AFTER -> new DistributionMessage.RetryAfter(in.getInt());
            default ->
                throw new MalformedMessageException(
                        "unknown message kind " + kind + ", expected " + HELLO + " to " + RETRY_AFTER);
        };
    }

    private static Delta readDelta(ByteBuffer in) {
        ConfigurationVersion base = readVersion(in);
        ConfigurationDigest baseDigest = readDigest(in);
        ConfigurationVersion result = readVersion(in);
        ConfigurationDigest digest = readDigest(in);
        int format = in.getInt();
        int count = in.getInt();
        List<Change> changes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            changes.add(readChange(in));
        }
        return new Delta(base, baseDigest, result, digest, format, changes);
    }

    private static Change readChange(ByteBuffer in) {
        byte kind = in.get();
        String key = readText(in);
        return switch (kind) {
            case PUT -> new Change.Put(new ConfigurationItem(key, readBytes(in, in.getInt())));
            case REMOVE -> new Change.Remove(key);
            default ->
                throw new MalformedMessageException(
                        "unknown change kind " + kind + ", expected " + PUT + " or " + REMOVE);
        };
    }

    private static Durability readDurability(ByteBuffer in) {
        return Durability.values()[in.get()];
    }

    private static ConfigurationVersion readVersion(ByteBuffer in) {
        return new ConfigurationVersion(in.getLong(), in.getLong());
    }

    private static ConfigurationDigest readDigest(ByteBuffer in) {
        return new ConfigurationDigest(in.getLong(), in.getLong());
    }

    private static String readText(ByteBuffer in) {
        return new String(readBytes(in, Short.toUnsignedInt(in.getShort())), StandardCharsets.UTF_8);
    }

    private static byte[] readBytes(ByteBuffer in, int count) {
        if (count < 0 || count > in.remaining()) {
            throw new BufferUnderflowException();
        }
        byte[] bytes = new byte[count];
        in.get(bytes);
        return bytes;
    }
}
