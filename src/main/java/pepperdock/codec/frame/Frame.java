package pepperdock.codec.frame;

/**
 * One frame, without its length.
 *
 * @param type one byte on the wire
 * @param payload the bytes after the type
 */
public record Frame(char type, byte[] payload) {}
