package pepperdock.membership;

/**
 * Who a member is. Written by itself, but for {@link Status#GONE}.
 *
 * @param life drawn when the process starts: two processes of one name differ in it
 * @param incarnation grows with every refutation, and goes on where the last life of the name left it
 * @param address HOST:PORT, as announced, of datagrams and streams alike
 */
public record Card(String name, long life, long incarnation, Status status, String address, String zone, String machine)
        implements Item {

    /** Names of members, fleets, zones and machines: what fits a datagram and needs no quoting anywhere. */
    public static final String NAME = "[A-Za-z0-9._-]{1,64}";

    @Override
    public int size() {
        return 30 + name.length() + zone.length() + machine.length() + address.length();
    }

    Card with(Status s) {
        return new Card(name, life, incarnation, s, address, zone, machine);
    }

    Card at(long inc) {
        return new Card(name, life, inc, Status.HERE, address, zone, machine);
    }

    /** Whether this says something newer of that name than the other does. */
    boolean beats(Card other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        return life != other.life ? Long.compareUnsigned(life, other.life) > 0 : status.compareTo(other.status) > 0;
    }
}
