package pepperdock.membership;

/**
 * Who a member is. Written by itself, but for {@link RecordStatus#FAULTY}.
 *
 * @param life drawn when the process starts: two processes of one name differ in it
 * @param incarnation grows with every refutation, and goes on where the last life of the name left it
 * @param address HOST:PORT, as announced, of datagrams and streams alike
 */
public record MemberRecord(
        String name,
        long generation,
        long incarnation,
        RecordStatus status,
        String address,
        String zone,
        String machine)
        implements GossipItem {

    /** Names of members, fleets, zones and machines: what fits a datagram and needs no quoting anywhere. */
    public static final String NAME_PATTERN = "[A-Za-z0-9._-]{1,64}";

    @Override
    public int maxEncodedBytes() {
        return 30 + name.length() + zone.length() + machine.length() + address.length();
    }

    MemberRecord withStatus(RecordStatus newStatus) {
        return new MemberRecord(name, generation, incarnation, newStatus, address, zone, machine);
    }

    MemberRecord aliveIn(long newIncarnation) {
        return new MemberRecord(name, generation, newIncarnation, RecordStatus.ALIVE, address, zone, machine);
    }

    /** Whether this says something newer of that name than the other does. */
    boolean supersedes(MemberRecord other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        return generation != other.generation
                ? Long.compareUnsigned(generation, other.generation) > 0
                : status.compareTo(other.status) > 0;
    }
}
