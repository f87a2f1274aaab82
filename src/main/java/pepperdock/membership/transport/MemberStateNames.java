package pepperdock.membership.transport;

import java.util.Locale;
import pepperdock.membership.MemberState;

/**
 * The names of member states in the output for operators and the test rig: events, the log and {@code GET /members}.
 */
final class MemberStateNames {

    private MemberStateNames() {}

    /** Returns the name of a state as written in events. */
    static String inEvents(MemberState state) {
        return switch (state) {
            case ALIVE -> "HERE";
            case SLOW -> "SLOW";
            case SUSPECT -> "CUT_OFF";
            case FAULTY -> "GONE";
            case LEFT -> "LEFT";
        };
    }

    /** Returns the name of a state as written in the log and at the operators' endpoint. */
    static String of(MemberState state) {
        return inEvents(state).toLowerCase(Locale.ROOT).replace('_', ' ');
    }
}
