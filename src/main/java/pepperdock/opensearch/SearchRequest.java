package pepperdock.opensearch;

import com.google.gson.JsonObject;
import java.util.Comparator;

/**
 * One query in the terms of the API; the core passes it from the front to the backend without reading it.
 *
 * @param docId the document of an update; null for a search
 * @param body the body that is sent to each shard, without {@code from}
 * @param scrollS how long each shard is to keep its context, in seconds; 0 without a scroll
 * @param order the order in which hits of different shards are merged
 */
record SearchRequest(
        String index, String docId, JsonObject body, int from, int size, double scrollS, Comparator<Hit> order) {

    boolean isUpdate() {
        return docId != null;
    }

    boolean isScroll() {
        return scrollS > 0;
    }
}
