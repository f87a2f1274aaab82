package pepperdock.membership;

import java.util.List;
import java.util.Map;

/**
 * The fleet as one member sees it. Numbers count this member's own changes; two members' views are compared by what they say.
 *
 * @param hasMajority whether this member reaches a majority of the fleet; where not, it may be the one cut off, and declares
 *     nobody faulty
 * @param reachable of {@code fleetSize}, which counts those declared faulty recently
 * @param nameConflictAddress of another process of this member's name, which it gives way to; empty where there is none
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
     * @param since by the clock of the member that is asked
     * @param observations of it, by the observers' names
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
     * One change.
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
