package pepperdock.faultinjection.upgrade;

/** Settings of a small deployment for the rig. Stateless. */
public final class SmallDeployment {

    /** Small deployment settings: four cells, twelve shards on two cells each. */
    public static final String SETTINGS = """
            {"Discovery":"subscribe","FailureDomains":["room"],"Instances":1,"Kinds":["std"],"TickS":0.005,"Zone":0,
             "FamilyInfo":{"Batch":8,"CallCostS":0.001,"Cells":4,"FloorByClass":[1],"NeedByClass":[1],
               "SecondStep":[0],"ShortWorth":[0.9],"Slices":12,"Span":2},
             "Limits":{"Cancel":true,"ConnIdleS":15,"DialTimeoutS":0.25,"MaxAttempts":4,"MaxRetryAfterS":1,
               "MayDuplicate":true,"MayProbe":true,"MostHeld":200,"Multiplex":100,"RetryAfter":true},
             "Report":{"Names":["throughput"],"Source":"inline"},
             "RequestClasses":[
               {"Name":"payout-report","GoalTimeS":1,"DeadlineS":6,"Effect":"read_like","LateWorth":0.3,"Worth":5}],
             "Rules":{"AnswerSlackS":0.02,"AskWithinS":10,"ColdFrom":0.16,"FallMultiple":2,"FallS":1,
               "StopSendingWithinS":0.5,"WarmUpS":14}}""";

    private SmallDeployment() {}
}
