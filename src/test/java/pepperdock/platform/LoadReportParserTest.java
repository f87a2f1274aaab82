package pepperdock.platform;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class LoadReportParserTest {

    private static final List<String> NAMES = List.of("outstanding", "utilization", "custom");

    @Test
    void figuresAreInTheOrderOfTheSettingsAndUnknownOnesAreSkipped() {
        assertArrayEquals(
                new double[] {7, 0.61, 2}, LoadReportParser.parse("custom=2,util=0.61,eps=3,inflight=7", NAMES));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "-",
                "",
                "inflight=7,util=0.61",
                "inflight=7,util=NaN,custom=1",
                "inflight=-1,util=0.5,custom=1",
                "inflight=x,util=0.5,custom=1"
            })
    void anIncompleteOrUnreadableReportIsIgnored(String report) {
        assertNull(LoadReportParser.parse(report, NAMES));
    }
}
