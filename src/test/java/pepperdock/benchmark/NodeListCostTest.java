package pepperdock.benchmark;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class NodeListCostTest {

    @Test
    void aWholeListAndAChangeLeaveAllWorkersKnown() {
        assertEquals(100, NodeListCost.known(100));
    }

    @Test
    void eachLengthGivesARowAndAllTogetherALine() {
        List<String> told = new ArrayList<>();
        NodeListCost.run(List.of(10, 20), 2, told::add);
        assertEquals(3, told.size());
        assertTrue(told.get(0).startsWith("{\"workers\":10,"), told.get(0));
        assertTrue(told.get(2).startsWith("us a whole list by workers: "), told.get(2));
    }
}
