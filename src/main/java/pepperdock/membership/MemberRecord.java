package pepperdock.membership;

/**
 * Identity, status and address of a member. Written by the member itself, except for {@link RecordStatus#FAULTY}.
 *
 * <p>Two numbers distinguish versions. The <em>generation</em> is a random number chosen when the process starts: two
 * processes of one name differ in it. The <em>incarnation</em> is that of SWIM (section 4.2): only the member raises
 * it, with every refutation, and the next process of the name continues where the last one left it. On the wire and for
 * operators the generation is called {@code life}.
 *
 * @param address HOST:PORT, as announced, for both datagrams and streams
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

    /**
     * Pattern of the names of members, fleets, zones and machines: these fit a datagram and need no quoting anywhere.
     */
    public static final String NAME_PATTERN = "[A-Za-z0-9._-]{1,64}";

    /** Most bytes on the wire beside the texts: their lengths, the kind, two numbers and the status. */
    private static final int FIXED_BYTES = 30;

    @Override
    public int maxEncodedBytes() {
        return FIXED_BYTES + name.length() + zone.length() + machine.length() + address.length();
    }

    MemberRecord withStatus(RecordStatus newStatus) {
        return new MemberRecord(name, generation, incarnation, newStatus, address, zone, machine);
    }

    /** Returns the record of the same process, alive in another incarnation. */
    MemberRecord aliveIn(long newIncarnation) {
        return new MemberRecord(name, generation, newIncarnation, RecordStatus.ALIVE, address, zone, machine);
    }

    /**
     * Returns whether this is newer than another record of the same name: the higher incarnation, then generation, then
     * status.
     */
    boolean supersedes(MemberRecord other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        return generation != other.generation
                ? Long.compareUnsigned(generation, other.generation) > 0
                : status.compareTo(other.status) > 0;
    }
}
