import java.util.List;

/**
 * Settings of a small deployment, with the figures of the brief: three ledger nodes, nine account ranges, each held by
 * two nodes. The file is like deploy/opensearch.json.
 */
final class SmallDeployment {

    static final int CELLS = 3;
    static final int RANGES = 9;
    static final int SPAN = 2;

    private SmallDeployment() {}

    static final String HISTORY =
            "{\"Name\":\"history-search\",\"GoalTimeS\":1.5,\"DeadlineS\":3.0,\"Effect\":\"read_like\",\"WindowS\":5.0,"
                    + "\"LateWorth\":0.1,\"Worth\":3.0,\"Group\":\"all\",\"Streamed\":false}";
    static final String PAYOUT =
            "{\"Name\":\"payout-report\",\"GoalTimeS\":2.5,\"DeadlineS\":6.0,\"Effect\":\"read_like\",\"WindowS\":5.0,"
                    + "\"LateWorth\":0.3,\"Worth\":5.0,\"Group\":\"all\",\"Streamed\":false}";
    static final String ADJUST =
            "{\"Name\":\"balance-adjust\",\"GoalTimeS\":1.5,\"DeadlineS\":3.0,\"Effect\":\"idempotency_key\","
                    + "\"WindowS\":1.5,\"LateWorth\":0.0,\"Worth\":1.0,\"Group\":\"all\",\"Streamed\":false}";

    /** Returns the object {@code settings} with these classes, whose floors are given in their order. */
    static String settings(List<String> classes, String floors) {
        return "{\"Discovery\":\"subscribe\",\"FailureDomains\":[\"anderlecht-room\"],\"Instances\":1,"
                + "\"Kinds\":[\"std-2c\",\"slow-2c\"],\"TickS\":0.005,\"Zone\":0,"
                + "\"FamilyInfo\":{\"Batch\":8,\"CallCostS\":0.054,\"Cells\":" + CELLS + ",\"FloorByClass\":" + floors
                + ",\"NeedByClass\":" + ones(classes) + ",\"SecondStep\":" + zeros(classes) + ",\"ShortWorth\":"
                + ones(classes) + ",\"Slices\":" + RANGES + ",\"Span\":" + SPAN + "},"
                + "\"Limits\":{\"Cancel\":true,\"ConnIdleS\":15.0,\"DialTimeoutS\":0.25,\"MaxAttempts\":4,"
                + "\"MaxRetryAfterS\":1.0,\"MayDuplicate\":true,\"MayProbe\":true,\"MostHeld\":111,"
                + "\"Multiplex\":100,\"RetryAfter\":true},"
                + "\"Report\":{\"Names\":[],\"Source\":\"off\"},\"RequestClasses\":[" + String.join(",", classes)
                + "],\"Rules\":{\"AnswerSlackS\":0.02,\"AskWithinS\":10.0,\"ColdFrom\":0.16,\"FallMultiple\":2.0,"
                + "\"FallS\":1.0,\"StopSendingWithinS\":0.5,\"WarmUpS\":14.0}}";
    }

    static String settings() {
        return settings(List.of(HISTORY, PAYOUT, ADJUST), "[0.6,1.0,1.0]");
    }

    private static String ones(List<String> classes) {
        return classes.stream().map(c -> "1.0").toList().toString();
    }

    private static String zeros(List<String> classes) {
        return classes.stream().map(c -> "0").toList().toString();
    }

    /** Returns a list of healthy nodes, one for each cell, at these addresses. */
    static String hosts(List<String> addresses) {
        StringBuilder hosts = new StringBuilder();
        for (int cell = 0; cell < addresses.size(); cell++) {
            hosts.append(cell == 0 ? "" : ",")
                    .append("{\"host\":\"ledger-" + cell + "\",\"dial\":\"" + addresses.get(cell)
                            + "\",\"site\":\"anderlecht-room\",\"class\":\"std-2c\",\"block\":" + cell
                            + ",\"health\":\"in_service\",\"share\":1.0,\"born_ms\":0}");
        }
        return hosts.toString();
    }

    /** Returns a file with the OpenSearch-style front on a port, before nodes that speak the same API. */
    static String openSearchFile(int port, List<String> addresses) {
        return "{\"name\":\"reports-1\",\"limits\":{\"sockets\":1024},\"opensearch\":{\"listen\":\"" + Bench.HOST + ":"
                + port + "\",\"backend\":\"opensearch\",\"indices\":[{\"index\":\"history\",\"class\":\"history-search\"},"
                + "{\"index\":\"payouts\",\"class\":\"payout-report\"},"
                + "{\"index\":\"wallets\",\"class\":\"balance-adjust\"}],\"connections_per_worker\":8,"
                + "\"scroll_contexts\":500,\"scroll_most_s\":300},"
                + "\"known\":{\"seq\":1,\"whole\":true,\"hosts\":[" + hosts(addresses) + "]},"
                + "\"settings\":" + settings() + "}";
    }
}
