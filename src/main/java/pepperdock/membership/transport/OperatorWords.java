package pepperdock.membership.transport;

import java.util.Locale;
import pepperdock.membership.MemberState;

/** The words for member states in what operators and the test rig read: events, the log and {@code GET /members}. */
final class OperatorWords {

    private OperatorWords() {}

    /** As events have it. */
    static String inEvents(MemberState state) {
        return switch (state) {
            case ALIVE -> "HERE";
            case SLOW -> "SLOW";
            case SUSPECT -> "CUT_OFF";
            case FAULTY -> "GONE";
            case LEFT -> "LEFT";
        };
    }

    /** As the log and the operators' page have it. */
    static String of(MemberState state) {
        return inEvents(state).toLowerCase(Locale.ROOT).replace('_', ' ');
    }
}
