package pepperdock.codec.frame;

/** One frame: its letter, and the rest. */
public record Frame(char letter, byte[] rest) {}
