package pepperdock.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import pepperdock.membership.Message.DigestRequest;
import pepperdock.membership.Message.DigestResponse;
import pepperdock.membership.Message.Header;
import pepperdock.membership.Message.JoinResponse;
import pepperdock.membership.Message.MissingItems;
import pepperdock.membership.Message.SliceDigests;
import pepperdock.membership.Message.SliceSelection;

/**
 * Builds the messages of an anti-entropy exchange (Demers and others 1987) from the table, none larger than the budget
 * allows. Items that do not fit wait for a later exchange; each exchange starts at a random name, so that several
 * exchanges together transfer everything. A small table is compared by the digests of all names at once; a large one by
 * the digests of its slices first, and by name only in some of the slices that differ. Owned by the thread that calls
 * {@link Membership}.
 */
final class AntiEntropy {

    /** Names in a digest request at which no further slice is added: one exchange cannot transfer more. */
    private static final int TARGET_NAMES = 24;

    /**
     * Largest table that is compared by name without comparing slices first; also the most names requested in one
     * response.
     */
    private static final int SMALL_TABLE_MEMBERS = 64;

    /** Members named to a new member, which learns of the others from them. */
    private static final int JOIN_RESPONSE_MEMBERS = 4;

    /** Bytes below which a response is not worth a stream. */
    static final int MIN_RESPONSE_BYTES = 400;

    private final MembershipTable table;
    private final Random random;

    AntiEntropy(MembershipTable table, Random random) {
        this.table = table;
        this.random = random;
    }

    /** Returns the answer to a new member: the items held under its name, and some random members that are alive. */
    JoinResponse joinResponse(Header header, String newcomer, boolean joined, int maxBytes) {
        List<String> alive = new ArrayList<>(table.rings().names());
        alive.remove(newcomer);
        if (!joined) {
            alive.remove(header.name());
        }
        Set<String> names = new LinkedHashSet<>(List.of(newcomer));
        for (int i = 0; i < JOIN_RESPONSE_MEMBERS && !alive.isEmpty(); i++) {
            names.add(alive.remove(random.nextInt(alive.size())));
        }
        int emptyBytes = new JoinResponse(header, List.of()).maxEncodedBytes();
        return new JoinResponse(header, itemsWithin(names, maxBytes - emptyBytes));
    }

    /** Returns the message that opens an exchange: digests by name of a small table, by slice of a large one. */
    Message opening(Header header) {
        return table.size() <= SMALL_TABLE_MEMBERS
                ? new DigestRequest(header, Message.ALL_SLICES, table.digests(Message.ALL_SLICES))
                : new SliceDigests(header, table.sliceDigests());
    }

    /** Returns the digests by name of some of the selected slices; the others wait for a later exchange. */
    DigestRequest digestRequest(Header header, SliceSelection selection) {
        List<String> firstNames = List.of(header.name(), selection.header().name());
        int slices = chooseSlices(selection.slices(), firstNames);
        return new DigestRequest(header, slices, table.digests(slices));
    }

    /** Returns the differing slices to compare by name, or null if none differs. */
    SliceSelection differingSlices(Header header, SliceDigests digests) {
        List<Long> own = table.sliceDigests();
        int differing = 0;
        for (int slice = 0; slice < Message.SLICE_COUNT; slice++) {
            differing |= own.get(slice).equals(digests.digests().get(slice)) ? 0 : 1 << slice;
        }
        int slices = chooseSlices(differing, List.of(digests.header().name(), header.name()));
        return slices == 0 ? null : new SliceSelection(header, slices);
    }

    /**
     * Chooses as many of these slices as hold enough names: first those of the given names, then the others in random
     * order.
     */
    private int chooseSlices(int slices, List<String> firstNames) {
        List<Integer> order = new ArrayList<>();
        for (int slice = 0; slice < Message.SLICE_COUNT; slice++) {
            order.add(slice);
        }
        Collections.shuffle(order, random);
        firstNames.forEach(name ->
                Collections.swap(order, order.indexOf(MembershipTable.sliceOf(name)), firstNames.indexOf(name)));
        int chosen = 0;
        int names = 0;
        for (int slice : order) {
            if ((slices >>> slice & 1) == 1 && (chosen == 0 || names < TARGET_NAMES)) {
                chosen |= 1 << slice;
                names += table.namesInSlice(slice).size();
            }
        }
        return chosen;
    }

    /**
     * Returns the items that the sender of a request lacks or holds in another version, and the names whose items are
     * requested from it. Items under the sender's name and under this member's own go first: neither may publish items
     * before it knows the items that others hold under its name.
     */
    DigestResponse digestResponse(Header header, DigestRequest request, boolean joined, int maxBytes) {
        List<String> firstNames = List.of(request.header().name(), header.name());
        int bytesLeft = maxBytes - new DigestResponse(header, List.of(), List.of()).maxEncodedBytes();
        List<String> requestedNames = new ArrayList<>();
        for (String name : rotatedAtRandom(firstNames, table.namesToRequest(request.digests()))) {
            int size = Message.maxTextBytes(name);
            if (requestedNames.size() < SMALL_TABLE_MEMBERS && size <= bytesLeft / 2) {
                requestedNames.add(name);
                bytesLeft -= size;
            }
        }
        Collection<String> names = table.namesToSend(request.digests(), request.slices());
        if (!joined) {
            names.remove(header.name());
        }
        return new DigestResponse(header, itemsWithin(rotatedAtRandom(firstNames, names), bytesLeft), requestedNames);
    }

    /** Returns the items that the response requested, and this member's own. */
    MissingItems missingItems(Header header, DigestResponse response, int maxBytes) {
        Set<String> names = new LinkedHashSet<>(List.of(header.name()));
        names.addAll(response.requestedNames());
        int emptyBytes = new MissingItems(header, List.of()).maxEncodedBytes();
        return new MissingItems(header, itemsWithin(names, maxBytes - emptyBytes));
    }

    /** Returns the names, the given ones first, and then the others rotated to start at a random one. */
    private Collection<String> rotatedAtRandom(List<String> firstNames, Collection<String> names) {
        Set<String> all = new LinkedHashSet<>(firstNames);
        all.retainAll(names);
        List<String> rest = new ArrayList<>(names);
        Collections.rotate(rest, rest.isEmpty() ? 0 : random.nextInt(rest.size()));
        all.addAll(rest);
        return all;
    }

    private List<GossipItem> itemsWithin(Collection<String> names, int maxBytes) {
        List<GossipItem> items = new ArrayList<>();
        int bytesLeft = maxBytes;
        for (String name : names) {
            for (GossipItem item : table.itemsOf(name)) {
                if (item.maxEncodedBytes() > bytesLeft) {
                    return items;
                }
                bytesLeft -= item.maxEncodedBytes();
                items.add(item);
            }
        }
        return items;
    }
}
