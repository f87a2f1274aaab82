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
 * Writes the messages of an anti-entropy exchange (Demers and others 1987) from the table, none larger than the budget allows.
 * What does not fit waits for the next exchange: where it begins is drawn, so that several get through all. A small table is
 * compared by the digests of its names at once; a large one by the digests of slices first, and by names only in some of those
 * that differ. Owned by the thread that calls {@link Membership}.
 */
final class AntiEntropy {

    /** Names in one digest request of some slices, as a rule: what an exchange can move anyway. */
    private static final int MAX_NAMES = 24;

    /** A table of so many names at most is compared by names at once; also the names requested at most. */
    private static final int SMALL_TABLE = 64;

    /** Members that a new one is told of at once; from these it learns of the others. */
    private static final int JOIN_RESPONSE_MEMBERS = 4;

    /** Bytes below which a response is not worth a stream. */
    static final int MIN_RESPONSE_BYTES = 400;

    private final MembershipTable table;
    private final Random random;

    AntiEntropy(MembershipTable table, Random random) {
        this.table = table;
        this.random = random;
    }

    /** For a new member: what is held of its name, and some members drawn of those that are alive. */
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

    /** What an exchange is opened with. */
    Message opening(Header header) {
        return table.size() <= SMALL_TABLE
                ? new DigestRequest(header, Message.ALL_SLICES, table.digests(Message.ALL_SLICES))
                : new SliceDigests(header, table.sliceDigests());
    }

    /** By name, of some of the slices selected; what is in the others waits. */
    DigestRequest digestRequest(Header header, SliceSelection selection) {
        List<String> first = List.of(header.name(), selection.header().name());
        int slices = chooseSlices(selection.slices(), first);
        return new DigestRequest(header, slices, table.digests(slices));
    }

    /** Which of the slices that differ are to be compared by name; null where none differs. */
    SliceSelection differingSlices(Header header, SliceDigests digests) {
        List<Long> own = table.sliceDigests();
        int differing = 0;
        for (int slice = 0; slice < Message.SLICE_COUNT; slice++) {
            differing |= own.get(slice).equals(digests.digests().get(slice)) ? 0 : 1 << slice;
        }
        int slices = chooseSlices(differing, List.of(digests.header().name(), header.name()));
        return slices == 0 ? null : new SliceSelection(header, slices);
    }

    /** Of these slices as many as have names enough here: those of the names given first, then in an order drawn. */
    private int chooseSlices(int slices, List<String> first) {
        List<Integer> order = new ArrayList<>();
        for (int slice = 0; slice < Message.SLICE_COUNT; slice++) {
            order.add(slice);
        }
        Collections.shuffle(order, random);
        first.forEach(
                name -> Collections.swap(order, order.indexOf(MembershipTable.sliceOf(name)), first.indexOf(name)));
        int chosen = 0;
        int names = 0;
        for (int slice : order) {
            if ((slices >>> slice & 1) == 1 && (chosen == 0 || names < MAX_NAMES)) {
                chosen |= 1 << slice;
                names += table.namesInSlice(slice).size();
            }
        }
        return chosen;
    }

    /**
     * What the sender of a request lacks or holds otherwise, and whose items are requested of it. What is held under its name,
     * and under one's own, goes first: neither may speak for itself before it knows.
     */
    DigestResponse digestResponse(Header header, DigestRequest request, boolean joined, int maxBytes) {
        List<String> first = List.of(request.header().name(), header.name());
        int bytesLeft = maxBytes - new DigestResponse(header, List.of(), List.of()).maxEncodedBytes();
        List<String> requestedNames = new ArrayList<>();
        for (String name : rotatedAtRandom(first, table.namesToRequest(request.digests()))) {
            int size = Message.maxTextBytes(name);
            if (requestedNames.size() < SMALL_TABLE && size <= bytesLeft / 2) {
                requestedNames.add(name);
                bytesLeft -= size;
            }
        }
        Collection<String> names = table.namesToSend(request.digests(), request.slices());
        if (!joined) {
            names.remove(header.name());
        }
        return new DigestResponse(header, itemsWithin(rotatedAtRandom(first, names), bytesLeft), requestedNames);
    }

    /** What was requested, and this member's own. */
    MissingItems missingItems(Header header, DigestResponse response, int maxBytes) {
        Set<String> names = new LinkedHashSet<>(List.of(header.name()));
        names.addAll(response.requestedNames());
        int emptyBytes = new MissingItems(header, List.of()).maxEncodedBytes();
        return new MissingItems(header, itemsWithin(names, maxBytes - emptyBytes));
    }

    /** The names in their order from one drawn on, but the first ones first. */
    private Collection<String> rotatedAtRandom(List<String> first, Collection<String> names) {
        Set<String> all = new LinkedHashSet<>(first);
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
