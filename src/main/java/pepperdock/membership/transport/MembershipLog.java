package pepperdock.membership.transport;

import java.util.Locale;
import pepperdock.membership.MemberState;
import pepperdock.membership.MembershipOutput;
import pepperdock.membership.MembershipView;

/** Logs the notifications of membership, with the names of states that operators know. */
final class MembershipLog {

    static final System.Logger LOG = System.getLogger("pepperdock.membership");

    private final String name;

    /** Creates a log for the member of this name. */
    MembershipLog(String name) {
        this.name = name;
    }

    /** Logs an output; does nothing if it is not meant for operators. */
    void log(MembershipOutput output) {
        if (output instanceof MembershipOutput.MemberChanged changed) {
            log(changed.change());
        } else if (output instanceof MembershipOutput.MajorityChanged majority) {
            log(majority);
        } else if (output instanceof MembershipOutput.Notice notice) {
            log(notice);
        }
    }

    private static void log(MembershipView.Change change) {
        boolean expected = change.to() == MemberState.ALIVE || change.to() == MemberState.LEFT;
        LOG.log(
                expected ? System.Logger.Level.INFO : System.Logger.Level.WARNING,
                "member {0} {1}{2}",
                change.name(),
                MemberStateNames.of(change.to()),
                change.reason().isEmpty() ? "" : ": " + change.reason());
    }

    private static void log(MembershipOutput.MajorityChanged majority) {
        LOG.log(
                majority.hasMajority() ? System.Logger.Level.INFO : System.Logger.Level.WARNING,
                majority.hasMajority()
                        ? "reaching {0} of {1} members again"
                        : "possibly cut off: reaching {0} of {1} members, no member is declared gone",
                majority.reachable(),
                majority.fleetSize());
    }

    private void log(MembershipOutput.Notice notice) {
        switch (notice.kind()) {
            case MembershipOutput.Notice.NAME_TAKEN ->
                LOG.log(
                        System.Logger.Level.ERROR,
                        "name {0} is also used by {1}: this member does not join",
                        name,
                        notice.reason());
            case MembershipOutput.Notice.NAME_CLAIMED ->
                LOG.log(
                        System.Logger.Level.WARNING,
                        "name {0} belongs to this member again: {1}",
                        name,
                        notice.reason());
            case MembershipOutput.Notice.PAUSED ->
                LOG.log(
                        System.Logger.Level.WARNING,
                        "process was paused for {0} s, other members ignore its observations for a while",
                        String.format(Locale.ROOT, "%.1f", notice.amount()));
            default -> LOG.log(System.Logger.Level.INFO, "{0}: {1}", notice.kind(), notice.reason());
        }
    }
}
