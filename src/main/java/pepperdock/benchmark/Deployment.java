package pepperdock.benchmark;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.List;
import pepperdock.config.Config;
import pepperdock.config.ConfigReader;
import pepperdock.config.DeploymentSettings;
import pepperdock.config.DeploymentSettingsReader;
import pepperdock.core.QueryRequest;
import pepperdock.core.WorkerEndpoint;

/**
 * The deployment that is measured: one shard per worker, each shard held by {@code holders} workers, and one class of
 * queries that are safe to repeat. Workers and fan-out vary independently: a query requests shards spread evenly over
 * all shards.
 *
 * @param workers number of workers, each its own cell
 * @param holders number of workers that hold a shard
 * @param tickS least time between two batches of the module, in seconds
 * @param copies whether a part may be sent again, also while its first copy is outstanding
 * @param aimS time within which an answer has its full worth, in seconds
 * @param deadlineS how long a client waits, in seconds
 */
record Deployment(int workers, int holders, double tickS, boolean copies, double aimS, double deadlineS) {

    static final String CLASS = "search";
    /** The operators' target: 99 of 100 answers within this time, in seconds. */
    static final double AIM_S = 0.051;

    static final double DEADLINE_S = 0.25;
    /** Longer than any part takes, so that a slow machine causes no cancelled part and no refused query. */
    private static final double PATIENT_AIM_S = 20;

    private static final double PATIENT_DEADLINE_S = 30;
    private static final int ATTEMPTS_WITH_COPIES = 3;
    /** Number of gatherers of the target deployment; each gatherer takes the others into account. */
    private static final int GATHERERS = 500;

    private static final int GATHERER_OCTET = 255;
    private static final int GATHERER_PORT = 8000;
    private static final int WORKER_PORT = 9000;
    private static final int WORKERS_PER_OCTET = 250;
    /** Socket limit per worker and for clients, generous enough that it never bounds a measurement. */
    private static final int SOCKETS_PER_WORKER = 3;

    private static final int EXTRA_SOCKETS = 4000;

    /** Returns a deployment with the times of the operators' target. */
    static Deployment ofTarget(int workers, int holders, double tickS, boolean copies) {
        return new Deployment(workers, holders, tickS, copies, AIM_S, DEADLINE_S);
    }

    /**
     * Returns a deployment with times that no query reaches, to measure the cost of parts when every query is served.
     */
    static Deployment patient(int workers, int holders, double tickS) {
        return new Deployment(workers, holders, tickS, false, PATIENT_AIM_S, PATIENT_DEADLINE_S);
    }

    /** Returns the deployment's settings in the form of a configuration file. */
    JsonObject settings() {
        return JsonParser.parseString("""
                        {"Discovery":"subscribe","FailureDomains":["zone-1"],"Instances":%d,"Kinds":["std"],"TickS":%s,
                         "Zone":0,
                         "FamilyInfo":{"Batch":8,"Cells":%d,"FloorByClass":[1],"NeedByClass":[1],"SecondStep":[0],
                           "ShortWorth":[1],"Slices":%d,"Span":%d},
                         "Limits":{"Cancel":true,"ConnIdleS":60,"DialTimeoutS":1,"MaxAttempts":%d,"MaxRetryAfterS":0.1,
                           "MayDuplicate":%s,"MayProbe":false,"MostHeld":100000000,"Multiplex":100,"RetryAfter":true},
                         "Report":{"Names":[],"Source":"off"},
                         "RequestClasses":[{"Name":"%s","GoalTimeS":%s,"DeadlineS":%s,"Effect":"read_like",
                           "LateWorth":0.1,"Worth":1}],
                         "Rules":{"AnswerSlackS":0.002,"AskWithinS":10,"ColdFrom":1,"FallMultiple":2,"FallS":1,
                           "StopSendingWithinS":0.5,"WarmUpS":0}}""".formatted(
                                GATHERERS,
                                tickS,
                                workers,
                                workers,
                                holders,
                                copies ? ATTEMPTS_WITH_COPIES : 1,
                                copies,
                                CLASS,
                                aimS,
                                deadlineS))
                .getAsJsonObject();
    }

    DeploymentSettings deploymentSettings() {
        return DeploymentSettingsReader.read(ConfigReader.of("settings", settings()));
    }

    /** Returns the gatherer's configuration; all addresses are in 127.{@code block}.0.0/16. */
    JsonObject config(int block) {
        JsonObject sockets = new JsonObject();
        sockets.addProperty("sockets", workers * SOCKETS_PER_WORKER + EXTRA_SOCKETS);
        JsonObject known = new JsonObject();
        known.addProperty("seq", 1);
        known.addProperty("whole", true);
        JsonArray entries = new JsonArray();
        for (int i = 0; i < workers; i++) {
            JsonObject entry = new JsonObject();
            entry.addProperty("host", workerName(i));
            entry.addProperty("dial", workerAddress(block, i) + ':' + WORKER_PORT);
            entry.addProperty("site", "zone-1");
            entry.addProperty("class", "std");
            entry.addProperty("block", i);
            entry.addProperty("health", "in_service");
            entries.add(entry);
        }
        known.add("hosts", entries);
        JsonObject config = new JsonObject();
        config.addProperty("name", "gatherer");
        config.addProperty("listen", gathererAddress(block) + ':' + GATHERER_PORT);
        config.addProperty("events", true);
        config.add("limits", sockets);
        config.add("known", known);
        config.add("settings", settings());
        return config;
    }

    /** Returns the workers as they appear in the endpoint list. */
    List<WorkerEndpoint> hosts(int block) {
        return Config.read(ConfigReader.of("", config(block)), java.util.Map.of())
                .known()
                .hosts();
    }

    static String workerName(int number) {
        return "w" + number;
    }

    static String gathererAddress(int block) {
        return "127." + block + '.' + GATHERER_OCTET + ".1";
    }

    static int gathererPort() {
        return GATHERER_PORT;
    }

    static String workerAddress(int block, int number) {
        return "127." + block + '.' + number / WORKERS_PER_OCTET + '.' + (1 + number % WORKERS_PER_OCTET);
    }

    static int workerPort() {
        return WORKER_PORT;
    }

    /** Returns the parts of a query: shards spread evenly over all shards, beginning with {@code first}. */
    List<QueryRequest.RequestedPart> requestedParts(int fanOut, int first) {
        if (fanOut > workers) {
            throw new IllegalArgumentException(
                    "fan-out " + fanOut + " exceeds the deployment's " + workers + " shards");
        }
        List<QueryRequest.RequestedPart> requestedParts = new ArrayList<>(fanOut);
        for (int i = 0; i < fanOut; i++) {
            int shard = (int) ((first + (long) i * workers / fanOut) % workers);
            requestedParts.add(new QueryRequest.RequestedPart(shard, 1.0 / fanOut));
        }
        return requestedParts;
    }
}
