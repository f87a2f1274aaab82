import java.util.ArrayList;
import java.util.List;
import pepperdock.membership.MemberRecord;
import pepperdock.membership.GossipItem;
import pepperdock.membership.Membership;
import pepperdock.membership.Message;
import pepperdock.membership.MembershipSettings;
import pepperdock.membership.RecordStatus;

/**
 * Measures the heap that one member's {@link Membership} uses, by the size of the fleet. Each member has its own copies
 * of the records, as if read from the wire:
 * {@code java -cp target/pepperdock.jar tools/MembershipHeap.java 50 100 200 500}.
 */
public final class MembershipHeap {

    private static final int COPIES = 20;

    private MembershipHeap() {}

    private static MemberRecord memberRecord(int i) {
        String address = "10.0." + (i >> 8) + '.' + (i & 255) + ":7400";
        return new MemberRecord("gatherer-" + i, 1000 + i, 0, RecordStatus.ALIVE, address, "zone-1", "machine-" + i);
    }

    private static Membership member(int fleet) {
        Membership membership = new Membership(MembershipSettings.defaults(), "fleet", memberRecord(0), List.of(), 1, 0);
        List<GossipItem> all = new ArrayList<>();
        for (int i = 1; i < fleet; i++) {
            all.add(memberRecord(i));
        }
        membership.onStreamMessage(new Message.MissingItems(new Message.Header("fleet", "gatherer-1", 1001, 0, "10.0.0.1:7400", 0), all), 0);
        membership.takeOutputs();
        for (int tick = 1; tick < 100; tick++) {
            membership.tick(tick / 8.0);
            membership.takeOutputs();
        }
        return membership;
    }

    private static long used() throws InterruptedException {
        for (int i = 0; i < 3; i++) {
            System.gc();
            Thread.sleep(100);
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    public static void main(String[] sizes) throws InterruptedException {
        member(10);
        for (String size : sizes) {
            List<Membership> kept = new ArrayList<>();
            long before = used();
            for (int i = 0; i < COPIES; i++) {
                kept.add(member(Integer.parseInt(size)));
            }
            System.out.printf("%s members: %d bytes of heap per member%n", size, (used() - before) / kept.size());
        }
    }
}
