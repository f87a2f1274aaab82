package pepperdock.membership.transport;

import java.util.List;
import pepperdock.events.Events;
import pepperdock.membership.MemberRecord;
import pepperdock.membership.MembershipOutput;
import pepperdock.membership.MembershipSettings;
import pepperdock.membership.MembershipView;

/**
 * Writes the outputs of membership as events for the test rig. A real process and a simulation write the same names and
 * values. {@code lab check} reads these names and keys; in them {@code life} is the generation and {@code sure} is
 * whether a majority is reachable.
 */
public final class MembershipEvents {

    private MembershipEvents() {}

    /** Writes that a process has started, with its bandwidth budget and the pause that it tolerates. */
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

    /**
     * Marks that all outputs of one input are published. A view between two changes of the same input is not a stable
     * state, so the check skips it.
     */
    public static void outputsPublished(Events events, List<MembershipOutput> outputs) {
        if (events.isEnabled()
                && outputs.stream().anyMatch(output -> output instanceof MembershipOutput.MemberChanged)) {
            events.write("told");
        }
    }

    /** Publishes an output; does nothing if its kind has no event. */
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
                change.from() == null ? "" : MemberStateNames.inEvents(change.from()),
                "to",
                MemberStateNames.inEvents(change.to()),
                "why",
                change.reason());
    }
}
