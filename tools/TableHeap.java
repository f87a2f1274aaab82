import java.util.ArrayList;
import java.util.List;
import pepperdock.membership.Card;
import pepperdock.membership.Item;
import pepperdock.membership.Membership;
import pepperdock.membership.Message;
import pepperdock.membership.Settings;
import pepperdock.membership.Status;

/**
 * Heap of one member's half of membership by the size of the fleet, each with cards of its own as they come off the wire:
 * {@code java -cp target/pepperdock.jar tools/TableHeap.java 50 100 200 500}.
 */
public final class TableHeap {

    private static final int COPIES = 20;

    private TableHeap() {}

    private static Card card(int i) {
        String address = "10.0." + (i >> 8) + '.' + (i & 255) + ":7400";
        return new Card("gatherer-" + i, 1000 + i, 0, Status.HERE, address, "zone-1", "machine-" + i);
    }

    private static Membership member(int fleet) {
        Membership m = new Membership(Settings.defaults(), "fleet", card(0), List.of(), 1, 0);
        List<Item> all = new ArrayList<>();
        for (int i = 1; i < fleet; i++) {
            all.add(card(i));
        }
        m.exchanged(new Message.Rest(new Message.Head("fleet", "gatherer-1", 1001, 0, "10.0.0.1:7400", 0), all), 0);
        m.taken();
        for (int tick = 1; tick < 100; tick++) {
            m.tick(tick / 8.0);
            m.taken();
        }
        return m;
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
            System.out.printf("%s members: %d bytes of heap a member%n", size, (used() - before) / kept.size());
        }
    }
}
