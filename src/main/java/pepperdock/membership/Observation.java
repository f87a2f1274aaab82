package pepperdock.membership;

/**
 * An observation of a subject that its observer does not reach normally, from better to worse. The order is that of the
 * numbers on the wire.
 */
public enum Observation {
    /** The subject acknowledges pings, but late. */
    SLOW("slow"),
    /** The subject acknowledges the pings of other members, but not those of the observer. */
    INDIRECT("indirect"),
    /** Datagrams of the subject arrive, but it acknowledges nothing, not through other members either. */
    UNRESPONSIVE("deaf"),
    /** Nothing is heard of the subject, directly or indirectly. */
    UNREACHABLE("unreached");

    private final String operatorsWord;

    Observation(String operatorsWord) {
        this.operatorsWord = operatorsWord;
    }

    /** Returns the word for it in reasons, on the operators' page and in events. */
    public String operatorsWord() {
        return operatorsWord;
    }
}
