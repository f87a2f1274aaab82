package pepperdock.config;

import com.google.gson.JsonParser;

/**
 * Small deployment settings for tests: four cells, twelve shards on two cells each, and the brief's three query
 * classes.
 */
public final class TestDeploymentSettings {

    public static final String SETTINGS = """
            {"Discovery":"subscribe","FailureDomains":["room"],"Instances":1,"Kinds":["std"],"TickS":0.005,"Zone":0,
             "FamilyInfo":{"Batch":8,"CallCostS":0.054,"Cells":4,"FloorByClass":[0.6,1,1],"NeedByClass":[1,1,1],
               "SecondStep":[0,0,0],"ShortWorth":[0.95,0.9,0.9],"Slices":12,"Span":2},
             "Limits":{"Cancel":true,"ConnIdleS":15,"DialTimeoutS":0.25,"MaxAttempts":4,"MaxRetryAfterS":1,
               "MayDuplicate":true,"MayProbe":true,"MostHeld":40,"Multiplex":100,"RetryAfter":true},
             "Report":{"Names":["throughput"],"Source":"inline"},
             "RequestClasses":[
               {"Name":"history-search","GoalTimeS":1.5,"DeadlineS":3,"Effect":"read_like","LateWorth":0.1,"Worth":3},
               {"Name":"payout-report","GoalTimeS":2.5,"DeadlineS":6,"Effect":"read_like","LateWorth":0.3,"Worth":5},
               {"Name":"balance-adjust","GoalTimeS":1.5,"DeadlineS":3,"Effect":"idempotency_key","WindowS":1.5,"Worth":1}],
             "Rules":{"AnswerSlackS":0.02,"AskWithinS":10,"ColdFrom":0.16,"FallMultiple":2,"FallS":1,
               "StopSendingWithinS":0.5,"WarmUpS":14}}""";

    private TestDeploymentSettings() {}

    public static DeploymentSettings small() {
        return with(SETTINGS);
    }

    public static DeploymentSettings with(String settings) {
        return DeploymentSettingsReader.read(ConfigReader.of("settings", JsonParser.parseString(settings)));
    }
}
