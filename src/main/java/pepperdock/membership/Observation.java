package pepperdock.membership;

/**
 * What an observer says of a subject that it does not simply reach, from better to worse. The order is that of the numbers on
 * the wire.
 */
public enum Observation {
    /** It acknowledges pings, but late. */
    SLOW("slow"),
    /** It acknowledges other members' pings, not ours. */
    INDIRECT("indirect"),
    /** Its datagrams come here, but it acknowledges nothing, not through other members either. */
    UNRESPONSIVE("deaf"),
    /** Nothing comes of it, directly or indirectly. */
    UNREACHABLE("unreached");

    private final String operatorsWord;

    Observation(String operatorsWord) {
        this.operatorsWord = operatorsWord;
    }

    /** The word for it in reasons, on the operators' page and in events. */
    public String operatorsWord() {
        return operatorsWord;
    }
}
