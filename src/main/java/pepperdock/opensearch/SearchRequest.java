package pepperdock.opensearch;

import com.google.gson.JsonObject;
import java.util.Comparator;

/**
 * What one query asks of its index: carried through the core unseen, from the front to the backend.
 *
 * @param docId the document of an update; null for a search
 * @param body what each shard is asked, without {@code from}
 * @param scrollS how long each shard is to keep its context; 0 without a scroll
 * @param order how hits of different shards are merged
 */
record SearchRequest(
        String index, String docId, JsonObject body, int from, int size, double scrollS, Comparator<Hit> order) {

    boolean update() {
        return docId != null;
    }

    boolean scroll() {
        return scrollS > 0;
    }
}
