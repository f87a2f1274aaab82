package pepperdock.distribution.wire;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import pepperdock.distribution.Change;
import pepperdock.distribution.Delta;
import pepperdock.distribution.Digest;
import pepperdock.distribution.Durability;
import pepperdock.distribution.Item;
import pepperdock.distribution.Message;
import pepperdock.distribution.Refusal;
import pepperdock.distribution.SubscriberId;
import pepperdock.distribution.Version;

/**
 * Encodes messages as frames: the length of what follows in four bytes, a kind in one, the content. Big-endian. Stateless.
 */
public final class MessageCodec {

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

    private MessageCodec() {}

    /** Encodes a message as a frame, with its length. */
    public static byte[] frame(Message message) {
        int length = 1 + message.content();
        ByteBuffer to = ByteBuffer.allocate(LENGTH_BYTES + length).putInt(length);
        if (message instanceof Message.FromSubscriber m) {
            write(to, m);
        } else if (message instanceof Message.FromPublisher m) {
            write(to, m);
        }
        return to.array();
    }

    /**
     * Decodes a frame without its length.
     *
     * @throws MalformedMessageException where these bytes are not one whole message
     */
    public static Message read(byte[] bytes, int from, int length) {
        ByteBuffer in = ByteBuffer.wrap(bytes, from, length);
        try {
            Message message = read(in);
            if (in.hasRemaining()) {
                throw new MalformedMessageException(in.remaining() + " bytes follow the message");
            }
            return message;
        } catch (BufferUnderflowException | IndexOutOfBoundsException e) {
            throw new MalformedMessageException("message cut short", e);
        }
    }

    // ---- Writing ------------------------------------------------------------

    private static void write(ByteBuffer to, Message.FromSubscriber message) {
        if (message instanceof Message.Hello m) {
            to.put(HELLO);
            text(to, m.from().name());
            to.putInt(m.reads());
            versionAndDigest(to, m.inForce(), m.digest());
            to.put((byte) m.durability().ordinal());
        } else if (message instanceof Message.InForce m) {
            to.put(IN_FORCE);
            versionAndDigest(to, m.version(), m.digest());
            to.put((byte) m.durability().ordinal());
        } else if (message instanceof Message.Ask m) {
            to.put(ASK);
            versionAndDigest(to, m.inForce(), m.digest());
            to.put((byte) (m.whole() ? 1 : 0));
        } else if (message instanceof Message.Refused m) {
            to.put(REFUSED);
            version(to, m.refusal().version());
            to.put((byte) m.refusal().reason().ordinal());
            text(to, m.refusal().detail());
        }
    }

    private static void write(ByteBuffer to, Message.FromPublisher message) {
        if (message instanceof Message.Heartbeat m) {
            to.put(HEARTBEAT);
            versionAndDigest(to, m.latest(), m.digest());
            to.putInt(m.confirmedMillisAgo());
        } else if (message instanceof Message.Update m) {
            to.put(UPDATE);
            delta(to, m.delta());
        } else if (message instanceof Message.SnapshotPiece m) {
            to.put(SNAPSHOT_PIECE);
            versionAndDigest(to, m.version(), m.digest());
            to.putInt(m.format()).putInt(m.total()).putInt(m.offset()).put(m.piece());
        } else if (message instanceof Message.RetryAfter m) {
            to.put(RETRY_AFTER).putInt(m.millis());
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

    private static void versionAndDigest(ByteBuffer to, Version version, Digest digest) {
        version(to, version);
        to.putLong(digest.high()).putLong(digest.low());
    }

    private static void version(ByteBuffer to, Version version) {
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

    private static Message read(ByteBuffer in) {
        byte kind = in.get();
        return switch (kind) {
            case HELLO -> {
                SubscriberId from = new SubscriberId(text(in));
                int reads = in.getInt();
                yield new Message.Hello(from, reads, version(in), digest(in), durability(in));
            }
            case IN_FORCE -> new Message.InForce(version(in), digest(in), durability(in));
            case ASK -> new Message.Ask(version(in), digest(in), in.get() == 1);
            case REFUSED -> {
                Version version = version(in);
                Refusal.Reason reason = Refusal.Reason.values()[in.get()];
                yield new Message.Refused(new Refusal(version, reason, text(in)));
            }
            case HEARTBEAT -> new Message.Heartbeat(version(in), digest(in), in.getInt());
            case UPDATE -> new Message.Update(delta(in));
            case SNAPSHOT_PIECE ->
                new Message.SnapshotPiece(
                        version(in), digest(in), in.getInt(), in.getInt(), in.getInt(), bytes(in, in.remaining()));
            case RETRY_AFTER -> new Message.RetryAfter(in.getInt());
            default -> throw new MalformedMessageException("no kind of message: " + kind);
        };
    }

    private static Delta delta(ByteBuffer in) {
        Version base = version(in);
        Digest baseDigest = digest(in);
        Version result = version(in);
        Digest digest = digest(in);
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
            case PUT -> new Change.Put(new Item(key, bytes(in, in.getInt())));
            case REMOVE -> new Change.Remove(key);
            default -> throw new MalformedMessageException("no kind of change: " + kind);
        };
    }

    private static Durability durability(ByteBuffer in) {
        return Durability.values()[in.get()];
    }

    private static Version version(ByteBuffer in) {
        return new Version(in.getLong(), in.getLong());
    }

    private static Digest digest(ByteBuffer in) {
        return new Digest(in.getLong(), in.getLong());
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
