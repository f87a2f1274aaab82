package pepperdock.membership.transport;

import java.util.List;
import pepperdock.events.Events;
import pepperdock.membership.MemberRecord;
import pepperdock.membership.MembershipOutput;
import pepperdock.membership.MembershipSettings;
import pepperdock.membership.MembershipView;

/**
 * Outputs of membership as events for the test rig; the same names and words from a real process and from simulated time. Names
 * and keys are read by {@code lab check}: {@code life} there is the generation, {@code sure} the majority.
 */
public final class MembershipEvents {

    private MembershipEvents() {}

    /** A process has started, with this budget. */
    public static void processStarted(Events events, MemberRecord self, MembershipSettings settings) {
        events.write(
                "life",
                "name",
                self.name(),
                "life",
                Long.toHexString(self.generation()),
                "datagrams_per_s",
                settings.datagramsPerS(),
                "bytes_per_s",
                settings.bytesPerS(),
                "bears_s",
                settings.toleratedPauseS());
    }

    /** All outputs of one input are published: the view between two of its changes is none that lasted. */
    public static void outputsPublished(Events events, List<MembershipOutput> outputs) {
        if (events.isEnabled()
                && outputs.stream().anyMatch(output -> output instanceof MembershipOutput.MemberChanged)) {
            events.write("told");
        }
    }

    /** Publishes an output, where it is one that has an event. */
    public static void publish(Events events, MembershipOutput output) {
        if (output instanceof MembershipOutput.MemberChanged changed) {
            publish(events, changed.change());
        } else if (output instanceof MembershipOutput.MajorityChanged majority) {
            events.write(
                    "sure",
                    "sure",
                    majority.hasMajority(),
                    "reached",
                    majority.reachable(),
                    "fleet",
                    majority.fleetSize());
        } else if (output instanceof MembershipOutput.Notice notice) {
            events.write(notice.kind(), "why", notice.reason(), "amount", notice.amount());
        }
    }

    private static void publish(Events events, MembershipView.Change change) {
        events.write(
                "change",
                "no",
                change.number(),
                "name",
                change.name(),
                "life",
                Long.toHexString(change.generation()),
                "incarnation",
                change.incarnation(),
                "from",
                change.from() == null ? "" : OperatorWords.inEvents(change.from()),
                "to",
                OperatorWords.inEvents(change.to()),
                "why",
                change.reason());
    }
}
