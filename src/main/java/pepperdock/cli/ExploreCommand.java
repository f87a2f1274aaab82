package pepperdock.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.LongStream;
import pepperdock.simulation.raft.Explorer;
import pepperdock.simulation.raft.SimulatedRaftGroup;
import pepperdock.simulation.raft.Step;
import pepperdock.store.raft.RaftSettings;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Explores the consensus of the store in simulated time. */
@Command(
        name = "explore",
        mixinStandardHelpOptions = true,
        versionProvider = Cli.Version.class,
        description =
                "Run the consensus of the store in simulated time through losses, crashes and changes drawn from seeds,"
                        + " and check each step.")
final class ExploreCommand implements Callable<Integer> {

    /** Settings small enough that every walk has snapshots, snapshots sent in pieces and full windows. */
    static final RaftSettings SETTINGS = new RaftSettings(5, 1, 48, 4, 4096, 1);

    @Option(
            names = "--seeds",
            paramLabel = "N",
            defaultValue = "1000",
            description = "Number of random walks. Default: ${DEFAULT-VALUE}")
    private int seeds;

    @Option(
            names = "--from",
            paramLabel = "N",
            defaultValue = "1",
            description = "The first seed. Default: ${DEFAULT-VALUE}")
    private long from;

    @Option(
            names = "--steps",
            paramLabel = "N",
            defaultValue = "3000",
            description = "Number of steps of each walk. Default: ${DEFAULT-VALUE}")
    private int steps;

    @Option(
            names = "--processes",
            paramLabel = "N",
            defaultValue = "5",
            description = "Number of processes. Default: ${DEFAULT-VALUE}")
    private int processes;

    @Option(
            names = "--voters",
            paramLabel = "N",
            defaultValue = "3",
            description = "Number of voters at the start. Default: ${DEFAULT-VALUE}")
    private int voters;

    @Option(
            names = "--mix",
            paramLabel = "MIX",
            defaultValue = "ALL",
            description = "The mix of steps: ${COMPLETION-CANDIDATES}." + " Default: ${DEFAULT-VALUE}")
    private Explorer.Mix mix;

    @Option(
            names = "--script",
            paramLabel = "FILE",
            description = "Play the steps of this file instead, with the seed of --from.")
    private Path script;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException {
        PrintWriter out = spec.commandLine().getOut();
        Explorer explorer = new Explorer(seed -> new SimulatedRaftGroup(processes, voters, SETTINGS, seed), mix);
        if (script != null) {
            List<Step> scriptSteps = new ArrayList<>();
            for (String line : Files.readAllLines(script)) {
                scriptSteps.add(Step.read(line));
            }
            return printVerdict(out, explorer.play(from, scriptSteps));
        }
        AtomicLong[] totals = {new AtomicLong(), new AtomicLong(), new AtomicLong()};
        Explorer.Walk failing = LongStream.range(from, from + seeds)
                .parallel()
                .mapToObj(seed -> explorer.walk(seed, steps))
                .peek(walk -> {
                    for (int i = 0; i < totals.length; i++) {
                        totals[i].addAndGet(walk.counts()[i]);
                    }
                })
                .filter(walk -> !walk.violations().isEmpty())
                .findFirst()
                .orElse(null);
        out.println(seeds + " walks of " + steps + " steps, " + mix + ", " + processes + " processes, " + voters
                + " voters at the start: "
                + totals[0] + " leaders, " + totals[1] + " entries committed, " + totals[2] + " reads answered");
        if (failing == null) {
            out.println("passed");
            return 0;
        }
        Explorer.Walk shortened = explorer.shortened(failing);
        out.println("seed " + failing.seed() + " fails; shortened to "
                + shortened.steps().size() + " steps:");
        shortened.steps().forEach(out::println);
        return printVerdict(out, shortened);
    }

    private static int printVerdict(PrintWriter out, Explorer.Walk walk) {
        walk.violations().forEach(violation -> out.println("FOUND " + violation));
        out.println(walk.violations().isEmpty() ? "passed" : "failed");
        return walk.violations().isEmpty() ? 0 : 1;
    }
}
