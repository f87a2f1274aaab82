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
 * Encodes messages as frames: the length of what follows in four bytes, a kind in one, the content. Big-endian. Stateless.
 */
public final class DistributionMessageCodec {

    /** Bytes before the kind. */
    static final int LENGTH_BYTES = 4;
    /** No frame is longer, its length left out. */
    static final int MAX_FRAME_BYTES = 128 << 10;

    private static final byte HELLO = 1;
    private static final byte IN_FORCE = 2;
    private static final byte ASK = 3;
    private static final byte REFUSED = 4;
    private static final byte HEARTBEAT = 5;
    private static final byte UPDATE = 6;
    private static final byte SNAPSHOT_PIECE = 7;
    private static final byte RETRY_AFTER = 8;
    private static final byte PUT = 1;
    private static final byte REMOVE = 2;

    private DistributionMessageCodec() {}

    /** Encodes a message as a frame, with its length. */
    public static byte[] frame(DistributionMessage message) {
        int length = 1 + message.content();
        ByteBuffer to = ByteBuffer.allocate(LENGTH_BYTES + length).putInt(length);
        if (message instanceof DistributionMessage.FromSubscriber payload) {
            write(to, payload);
        } else if (message instanceof DistributionMessage.FromPublisher payload) {
            write(to, payload);
        }
        return to.array();
    }

    /**
     * Decodes a frame without its length.
     *
     * @throws MalformedMessageException where these bytes are not one whole message
     */
    public static DistributionMessage read(byte[] bytes, int from, int length) {
        ByteBuffer in = ByteBuffer.wrap(bytes, from, length);
        try {
            DistributionMessage message = read(in);
            if (in.hasRemaining()) {
                throw new MalformedMessageException(in.remaining() + " bytes follow the message");
            }
            return message;
        } catch (BufferUnderflowException | IndexOutOfBoundsException e) {
            throw new MalformedMessageException("message cut short", e);
        }
    }

    // ---- Writing ------------------------------------------------------------

    private static void write(ByteBuffer to, DistributionMessage.FromSubscriber message) {
        if (message instanceof DistributionMessage.Hello payload) {
            to.put(HELLO);
            text(to, payload.from().name());
            to.putInt(payload.highestFormat());
            versionAndDigest(to, payload.inForce(), payload.digest());
            to.put((byte) payload.durability().ordinal());
        } else if (message instanceof DistributionMessage.InForce payload) {
            to.put(IN_FORCE);
            versionAndDigest(to, payload.version(), payload.digest());
            to.put((byte) payload.durability().ordinal());
        } else if (message instanceof DistributionMessage.Ask payload) {
            to.put(ASK);
            versionAndDigest(to, payload.inForce(), payload.digest());
            to.put((byte) (payload.asSnapshot() ? 1 : 0));
        } else if (message instanceof DistributionMessage.Refused payload) {
            to.put(REFUSED);
            version(to, payload.refusal().version());
            to.put((byte) payload.refusal().reason().ordinal());
            text(to, payload.refusal().detail());
        }
    }

    private static void write(ByteBuffer to, DistributionMessage.FromPublisher message) {
        if (message instanceof DistributionMessage.Heartbeat payload) {
            to.put(HEARTBEAT);
            versionAndDigest(to, payload.latest(), payload.digest());
            to.putInt(payload.confirmedMillisAgo());
        } else if (message instanceof DistributionMessage.Update payload) {
            to.put(UPDATE);
            delta(to, payload.delta());
        } else if (message instanceof DistributionMessage.SnapshotPiece payload) {
            to.put(SNAPSHOT_PIECE);
            versionAndDigest(to, payload.version(), payload.digest());
            to.putInt(payload.format())
                    .putInt(payload.total())
                    .putInt(payload.offset())
                    .put(payload.chunk());
        } else if (message instanceof DistributionMessage.RetryAfter payload) {
            to.put(RETRY_AFTER).putInt(payload.millis());
        }
    }

    private static void delta(ByteBuffer to, Delta delta) {
        versionAndDigest(to, delta.base(), delta.baseDigest());
        versionAndDigest(to, delta.result(), delta.digest());
        to.putInt(delta.format()).putInt(delta.changes().size());
        for (Change change : delta.changes()) {
            if (change instanceof Change.Put put) {
                to.put(PUT);
                text(to, put.key());
                to.putInt(put.item().value().length).put(put.item().value());
            } else {
                to.put(REMOVE);
                text(to, change.key());
            }
        }
    }

    private static void versionAndDigest(ByteBuffer to, ConfigurationVersion version, ConfigurationDigest digest) {
        version(to, version);
        to.putLong(digest.high()).putLong(digest.low());
    }

    private static void version(ByteBuffer to, ConfigurationVersion version) {
        to.putLong(version.epoch()).putLong(version.number());
    }

    private static void text(ByteBuffer to, String text) {
        byte[] bytes = utf8(text);
        to.putShort((short) bytes.length).put(bytes);
    }

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    // ---- Reading ------------------------------------------------------------

    private static DistributionMessage read(ByteBuffer in) {
        byte kind = in.get();
        return switch (kind) {
            case HELLO -> {
                SubscriberId from = new SubscriberId(text(in));
                int reads = in.getInt();
                yield new DistributionMessage.Hello(from, reads, version(in), digest(in), durability(in));
            }
            case IN_FORCE -> new DistributionMessage.InForce(version(in), digest(in), durability(in));
            case ASK -> new DistributionMessage.Ask(version(in), digest(in), in.get() == 1);
            case REFUSED -> {
                ConfigurationVersion version = version(in);
                Refusal.Reason reason = Refusal.Reason.values()[in.get()];
                yield new DistributionMessage.Refused(new Refusal(version, reason, text(in)));
            }
            case HEARTBEAT -> new DistributionMessage.Heartbeat(version(in), digest(in), in.getInt());
            case UPDATE -> new DistributionMessage.Update(delta(in));
            case SNAPSHOT_PIECE ->
                new DistributionMessage.SnapshotPiece(
                        version(in), digest(in), in.getInt(), in.getInt(), in.getInt(), bytes(in, in.remaining()));
            case RETRY_AFTER -> new DistributionMessage.RetryAfter(in.getInt());
            default -> throw new MalformedMessageException("no kind of message: " + kind);
        };
    }

    private static Delta delta(ByteBuffer in) {
        ConfigurationVersion base = version(in);
        ConfigurationDigest baseDigest = digest(in);
        ConfigurationVersion result = version(in);
        ConfigurationDigest digest = digest(in);
        int format = in.getInt();
        int count = in.getInt();
        List<Change> changes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            changes.add(change(in));
        }
        return new Delta(base, baseDigest, result, digest, format, changes);
    }

    private static Change change(ByteBuffer in) {
        byte kind = in.get();
        String key = text(in);
        return switch (kind) {
            case PUT -> new Change.Put(new ConfigurationItem(key, bytes(in, in.getInt())));
            case REMOVE -> new Change.Remove(key);
            default -> throw new MalformedMessageException("no kind of change: " + kind);
        };
    }

    private static Durability durability(ByteBuffer in) {
        return Durability.values()[in.get()];
    }

    private static ConfigurationVersion version(ByteBuffer in) {
        return new ConfigurationVersion(in.getLong(), in.getLong());
    }

    private static ConfigurationDigest digest(ByteBuffer in) {
        return new ConfigurationDigest(in.getLong(), in.getLong());
    }

    private static String text(ByteBuffer in) {
        return new String(bytes(in, Short.toUnsignedInt(in.getShort())), StandardCharsets.UTF_8);
    }

    private static byte[] bytes(ByteBuffer in, int count) {
        if (count < 0 || count > in.remaining()) {
            throw new BufferUnderflowException();
        }
        byte[] bytes = new byte[count];
        in.get(bytes);
        return bytes;
    }
}
