package pepperdock.codec.frame;

/**
 * A frame without its length field.
 *
 * @param type one byte on the wire
 * @param payload the bytes after the type
 */
public record Frame(char type, byte[] payload) {}
