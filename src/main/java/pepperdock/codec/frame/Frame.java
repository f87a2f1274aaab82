package pepperdock.codec.frame;

/**
 * One frame, without its length.
 *
 * @param letter the frame's type, one byte on the wire
 * @param rest the payload
 */
public record Frame(char letter, byte[] rest) {}
