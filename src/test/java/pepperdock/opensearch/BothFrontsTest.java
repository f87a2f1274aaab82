package pepperdock.opensearch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import pepperdock.platform.FakeWorkerBehaviour;

/** Replays one trace through both fronts, each with workers of its own protocol: every answer must be the same. */
class BothFrontsTest {

    private static List<FrontFixture.Answer> replay(boolean search) throws Exception {
        List<FrontFixture.Answer> answers = new ArrayList<>();
        Random trace = new Random(11);
        try (FrontFixture fixture = new FrontFixture(search, 10)) {
            for (int i = 0; i < 40; i++) {
                int queryClass = trace.nextInt(3);
                int shards = queryClass == 2 ? 1 : 1 + trace.nextInt(12);
                answers.add(fixture.ask(i, queryClass, shards, "t" + trace.nextInt(1000), 30_000));
            }
        }
        return answers;
    }

    @Test
    void bothFrontsGiveTheSameAnswersToOneTrace() throws Exception {
        List<FrontFixture.Answer> platform = replay(false);
        assertEquals(platform, replay(true));
        assertTrue(platform.stream().allMatch(a -> a.kind().equals("200") && a.complete()), platform.toString());
    }

    /** Uses a fresh gatherer for each failure, as the failures that a scheduler has seen change its next decisions. */
    @ParameterizedTest
    @CsvSource({
        "0, 6, bad:5, 200, 5",
        "0, 6, later:4, 200, 5",
        "0, 6, 'bad:0,1', refused, 0",
        "1, 4, bad:3, refused, 0",
        "1, 4, later:*, refused, 0",
        "2, 1, bad:0, 500, 0",
        "2, 1, later:*, refused, 0",
        "2, 1, silent:0, 500, 0",
        "0, 6, silent:5, 200, 5"
    })
    void bothFrontsEndAQueryTheSameWayOnEachFailure(
            int queryClass, int shards, String text, String kind, int answeredShards) throws Exception {
        List<FrontFixture.Answer> answers = new ArrayList<>();
        for (boolean search : new boolean[] {false, true}) {
            try (FrontFixture fixture = new FrontFixture(search, 10)) {
                answers.add(fixture.ask(1, queryClass, shards, text, 3000));
                if (search && queryClass == 2 && !text.startsWith("later")) {
                    assertEquals(1, fixture.behaviour.calls(text, 0), "number of sends of an update that may have run");
                }
            }
        }
        assertEquals(answers.get(0), answers.get(1));
        assertEquals(kind, answers.get(0).kind());
        assertEquals(answeredShards, answers.get(0).values().size());
        assertEquals(false, answers.get(0).complete());
        for (Map.Entry<Integer, String> value : answers.get(0).values().entrySet()) {
            assertEquals(FakeWorkerBehaviour.value(text, value.getKey()), value.getValue());
        }
    }
}
