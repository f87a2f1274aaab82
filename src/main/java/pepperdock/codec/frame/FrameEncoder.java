package pepperdock.codec.frame;

/** Encodes frames. Stateless; may be used on any thread. */
public final class FrameEncoder {

    /** Bytes of the length field; the length counts the type and the payload. */
    static final int LENGTH_BYTES = 4;
    /** Bytes before the payload: the length and the type. */
    public static final int HEADER_BYTES = LENGTH_BYTES + 1;

    private FrameEncoder() {}

    /** Encodes one frame. */
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
