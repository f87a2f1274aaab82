package pepperdock.membership;

/** What is gossiped. */
public sealed interface Item permits Card, Links {

    /** Whose it is. */
    String name();

    /** Bytes that it takes on the wire, at most. */
    int size();
}
