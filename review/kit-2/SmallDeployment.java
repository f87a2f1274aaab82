import java.util.Locale;

/** Settings of a small deployment, as in the files under deploy/: nine account ranges, each on two of three cells. */
final class SmallDeployment {

    private SmallDeployment() {}

    /** The platform's settings; {@code effect} is that of balance-adjust. */
    static String settings(String discovery, String effect) {
        return """
            "settings": {
              "Discovery": "%s", "FailureDomains": ["anderlecht-room"], "Instances": 1, "Kinds": ["std-2c", "slow-2c"],
              "TickS": 0.005, "Zone": 0,
              "FamilyInfo": {"Batch": 8, "CallCostS": 0.054, "Cells": 3, "FloorByClass": [0.6, 1.0, 1.0], "NeedByClass": [1.0, 1.0, 1.0], "SecondStep": [0, 0, 0], "ShortWorth": [0.95, 0.9, 0.9], "Slices": 9, "Span": 2},
              "Limits": {"Cancel": true, "ConnIdleS": 15.0, "DialTimeoutS": 0.25, "MaxAttempts": 4, "MaxRetryAfterS": 1.0, "MayDuplicate": true, "MayProbe": true, "MostHeld": 111, "Multiplex": 100, "RetryAfter": true},
              "Report": {"Names": [], "Source": "off"},
              "RequestClasses": [
                {"Name": "history-search", "GoalTimeS": 1.5, "DeadlineS": 3.0, "Effect": "read_like", "LateWorth": 0.1, "Worth": 3.0},
                {"Name": "payout-report", "GoalTimeS": 2.5, "DeadlineS": 6.0, "Effect": "read_like", "LateWorth": 0.3, "Worth": 5.0},
                {"Name": "balance-adjust", "GoalTimeS": 1.5, "DeadlineS": 3.0, "Effect": "%s", "WindowS": 1.5, "LateWorth": 0.0, "Worth": 1.0}],
              "Rules": {"AnswerSlackS": 0.02, "AskWithinS": 10.0, "ColdFrom": 0.16, "FallMultiple": 2.0, "FallS": 1.0, "StopSendingWithinS": 0.5, "WarmUpS": 14.0}
            }"""
                .formatted(discovery, effect);
    }

    /**
     * Settings of Petra Merchant Payments (users/amman-queries.toml): two sets of holders, each set with three sections; lists
     * are pushed; all classes are safe to repeat.
     */
    static String ammanSettings() {
        return """
            "settings": {
              "Discovery": "automatic", "FailureDomains": ["amman-north", "amman-south"], "Instances": 2, "Kinds": ["std-2core"],
              "TickS": 0.005, "Zone": 0,
              "FamilyInfo": {"Batch": 16, "CallCostS": 0.062, "Cells": 2, "FloorByClass": [0.8, 1.0, 0.6], "NeedByClass": [1.0, 1.0, 1.0], "SecondStep": [0, 0, 0], "ShortWorth": [0.9, 0.9, 0.9], "Slices": 6, "Span": 1},
              "Limits": {"Cancel": true, "ConnIdleS": 30.0, "DialTimeoutS": 0.25, "MaxAttempts": 3, "MaxRetryAfterS": 1.0, "MayDuplicate": true, "MayProbe": true, "MostHeld": 150, "Multiplex": 100, "RetryAfter": true},
              "Report": {"Names": ["utilization", "backlog", "recent_ms"], "Source": "on_probe"},
              "RequestClasses": [
                {"Name": "settle-report", "GoalTimeS": 2.5, "DeadlineS": 7.5, "Effect": "read_like", "LateWorth": 0.0, "Worth": 3.0},
                {"Name": "txn-lookup", "GoalTimeS": 2.0, "DeadlineS": 6.0, "Effect": "read_like", "LateWorth": 0.0, "Worth": 1.0},
                {"Name": "top-merchants", "GoalTimeS": 2.0, "DeadlineS": 5.0, "Effect": "read_like", "LateWorth": 0.1, "Worth": 2.0}],
              "Rules": {"AnswerSlackS": 0.02, "ColdFrom": 0.15, "FallMultiple": 4.0, "FallS": 1.0, "StopSendingWithinS": 2.0, "WarmUpS": 18.0}
            }""";
    }

    /** The indices of Petra Merchant Payments on the front for OpenSearch-style queries. */
    static String ammanOpenSearch(String listen) {
        return """
            "opensearch": {"listen": "%s", "backend": "opensearch",
              "indices": [{"index": "settlements", "class": "settle-report"}, {"index": "lookups", "class": "txn-lookup"}, {"index": "merchants", "class": "top-merchants"}],
              "connections_per_worker": 8, "scroll_contexts": 500, "scroll_most_s": 300}"""
                .formatted(listen);
    }

    /** One entry of a list of ledger nodes. */
    static String host(String name, String address, int block, String health) {
        return String.format(
                Locale.ROOT,
                "{\"host\":\"%s\",\"dial\":\"%s\",\"site\":\"anderlecht-room\",\"class\":\"std-2c\",\"block\":%d,"
                        + "\"health\":\"%s\",\"share\":1.0,\"born_ms\":0}",
                name,
                address,
                block,
                health);
    }

    static String list(long seq, String... hosts) {
        return "{\"seq\":" + seq + ",\"whole\":true,\"hosts\":[" + String.join(",", hosts) + "]}";
    }

    /** The front for OpenSearch-style queries, as in deploy/opensearch.json. */
    static String openSearch(String listen, int connectionsPerWorker) {
        return openSearch(listen, connectionsPerWorker, "opensearch");
    }

    static String openSearch(String listen, int connectionsPerWorker, String backend) {
        return """
            "opensearch": {"listen": "%s", "backend": "%s",
              "indices": [{"index": "history", "class": "history-search"}, {"index": "payouts", "class": "payout-report"}, {"index": "wallets", "class": "balance-adjust"}],
              "connections_per_worker": %d, "scroll_contexts": 500, "scroll_most_s": 300}"""
                .formatted(listen, backend, connectionsPerWorker);
    }
}
