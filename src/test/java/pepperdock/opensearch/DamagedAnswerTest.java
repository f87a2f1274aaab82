package pepperdock.opensearch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Damages workers' answers at random: each is rejected when it is parsed, or can be merged and sent. */
class DamagedAnswerTest {

    private static final String ANSWER = "{\"timed_out\":false,\"_shards\":{\"total\":1,\"successful\":1,\"failed\":0},"
            + "\"_scroll_id\":\"c\",\"hits\":{\"total\":{\"value\":2,\"relation\":\"eq\"},\"max_score\":0.5,\"hits\":["
            + "{\"_id\":\"a\",\"_score\":0.5,\"sort\":[1,\"x\",null],\"_source\":{\"f\":[1,true,{}]}},"
            + "{\"_id\":\"b\",\"_score\":null,\"sort\":[2.5,\"y\",false]}]}}";

    private static List<Hit> parseOrNone(String body) {
        try {
            return ShardAnswer.parseStrictly(0, body.getBytes(StandardCharsets.ISO_8859_1))
                    .hits();
        } catch (RuntimeException e) {
            return List.of();
        }
    }

    private static JsonObject merge(List<Hit> hits, Comparator<Hit> order) {
        List<Hit> merged = hits.stream().sorted(order).toList();
        return ApiResponses.searchBody("i", 1, false, 2, List.of(), hits.size(), merged, null);
    }

    /** Guards against an answer that passes when it is parsed and fails when it is merged. */
    @Property(seed = "51", tries = 2000)
    void answerWithChangedCharactersIsRejectedOrMerged(
            @ForAll @Size(min = 1, max = 3) List<@IntRange(max = 390) Integer> positions,
            @ForAll @IntRange(min = 1, max = 255) int character) {
        StringBuilder damaged = new StringBuilder(ANSWER);
        positions.forEach(position -> damaged.setCharAt(position % ANSWER.length(), (char) character));
        List<Hit> hits = new ArrayList<>(parseOrNone(damaged.toString()));
        hits.addAll(parseOrNone(ANSWER));
        for (String sort : List.of("null", "[\"a\",\"_score\",{\"b\":\"desc\"}]")) {
            JsonObject body = merge(hits, Hit.order(sort.equals("null") ? null : JsonParser.parseString(sort)));
            assertEquals(body, StrictJson.parseObject(body.toString().getBytes(StandardCharsets.UTF_8)));
        }
    }

    /** Guards against a merge that fails because workers return numbers and text for one sort field. */
    @Property(seed = "52", tries = 300)
    void hitsWithSortValuesOfSeveralTypesAreMerged(
            @ForAll @Size(min = 40, max = 80) List<@IntRange(max = 30) Integer> values) {
        List<Hit> hits = new ArrayList<>();
        for (int value : values) {
            String sort = value % 3 == 0 ? "" + value : value % 3 == 1 ? "\"" + value + "\"" : "null";
            hits.addAll(parseOrNone(ANSWER.replaceAll("\"sort\":\\[[^]]*]", "\"sort\":[" + sort + "]")));
        }
        JsonObject body = merge(hits, Hit.order(JsonParser.parseString("[\"a\"]")));
        assertEquals(
                hits.size(), body.getAsJsonObject("hits").getAsJsonArray("hits").size());
    }
}
