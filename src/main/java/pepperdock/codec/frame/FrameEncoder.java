package pepperdock.codec.frame;

/** Encodes frames. Stateless and thread-safe. */
public final class FrameEncoder {

    /** The size of the length field; the length counts the type and the payload. */
    public static final int LENGTH_BYTES = 4;
    /** The size of the header before the payload: the length and the type. */
    public static final int HEADER_BYTES = LENGTH_BYTES + 1;

    private FrameEncoder() {}

    /** Returns the bytes of a frame. */
    public static byte[] encode(char type, byte[] payload) {
        int length = payload.length + 1;
        byte[] bytes = new byte[LENGTH_BYTES + length];
        bytes[0] = (byte) (length >>> 24);
        bytes[1] = (byte) (length >>> 16);
        bytes[2] = (byte) (length >>> 8);
        bytes[3] = (byte) length;
        bytes[LENGTH_BYTES] = (byte) type;
        System.arraycopy(payload, 0, bytes, HEADER_BYTES, payload.length);
        return bytes;
    }
}
