package pepperdock.membership;

import java.util.List;
import java.util.Map;

/**
 * The fleet as one member sees it. The numbers count this member's own changes, so the views of two members are
 * compared by their content.
 *
 * @param hasMajority whether this member reaches a majority of the fleet; if not, it may be the one cut off, and
 *     declares nobody faulty
 * @param reachable members reached, of {@code fleetSize}, which includes those declared faulty recently
 * @param nameConflictAddress address of another process with this member's name, to which this member yields the name;
 *     empty if there is none
 */
public record MembershipView(
        long number,
        String self,
        boolean hasMajority,
        int reachable,
        int fleetSize,
        String nameConflictAddress,
        List<Member> members) {

    /**
     * One member.
     *
     * @param since when it came to its status, by the clock of the member whose view this is
     * @param observations observations of it, by the observers' names
     */
    public record Member(
            String name,
            String zone,
            String machine,
            String address,
            long generation,
            long incarnation,
            MemberState state,
            double since,
            Map<String, Observation> observations) {}

    /**
     * One change of a member's state.
     *
     * @param from null for a member that was not known
     */
    public record Change(
            long number,
            String name,
            long generation,
            long incarnation,
            MemberState from,
            MemberState to,
            String reason) {}
}
