package pepperdock.benchmark;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class NodeListCostTest {

    @Test
    void allWorkersAreKnownAfterCompleteListAndChange() {
        assertEquals(100, NodeListCost.known(100));
    }

    @Test
    void reportsOneRowPerLengthAndOneFittedLine() {
        List<String> progress = new ArrayList<>();
        NodeListCost.run(List.of(10, 20), 2, progress::add);
        assertEquals(3, progress.size());
        assertTrue(progress.get(0).startsWith("{\"workers\":10,"), progress.get(0));
        assertTrue(progress.get(2).startsWith("us a whole list by workers: "), progress.get(2));
    }
}
