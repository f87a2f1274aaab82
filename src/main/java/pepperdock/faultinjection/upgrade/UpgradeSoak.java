package pepperdock.faultinjection.upgrade;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Consumer;

/** Plays runs of many seeds, several at a time. Stateless. */
public final class UpgradeSoak {

    /** Small deployment settings: four cells, twelve shards on two cells each. */
    private static final String SETTINGS = """
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

    private UpgradeSoak() {}

    /**
     * Plays the runs.
     *
     * @param from the first seed
     * @param parallel how many runs are played at the same time
     * @param folder where each run gets a folder named by its seed
     * @param command the command of one gatherer; its first word is the JVM
     * @param listener is told of each run, in the order of the seeds
     * @return the results, in the order of the seeds
     */
    public static List<UpgradeRun.Result> play(
            long from, int seeds, int parallel, Path folder, List<String> command, Consumer<UpgradeRun.Result> listener)
            throws IOException, InterruptedException {
        ExecutorService executor = Executors.newFixedThreadPool(parallel);
        try {
            List<Future<UpgradeRun.Result>> running = new ArrayList<>();
            for (long seed = from; seed < from + seeds; seed++) {
                long runSeed = seed;
                Path runFolder = Files.createDirectories(folder.resolve(Long.toString(seed)));
                running.add(executor.submit(() -> UpgradeRun.play(runSeed, runFolder, SETTINGS, command)));
            }
            List<UpgradeRun.Result> results = new ArrayList<>();
            for (Future<UpgradeRun.Result> run : running) {
                results.add(run.get());
                listener.accept(results.get(results.size() - 1));
            }
            return results;
        } catch (ExecutionException e) {
            throw new IOException("a run could not be played", e.getCause());
        } finally {
            executor.shutdownNow();
        }
    }
}
