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
import pepperdock.simulation.raft.Step;
import pepperdock.simulation.raft.World;
import pepperdock.store.raft.RaftSettings;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** The store's consensus in simulated time. */
@Command(
        name = "explore",
        mixinStandardHelpOptions = true,
        versionProvider = Cli.Version.class,
        description =
                "Take the store's consensus through losses, crashes and changes drawn by seeds, and check each step.")
final class ExploreCommand implements Callable<Integer> {

    /** Small enough that snapshots, pieces and full windows come in every walk. */
    static final RaftSettings SETTINGS = new RaftSettings(5, 1, 48, 4, 4096, 1);

    @Option(
            names = "--seeds",
            paramLabel = "N",
            defaultValue = "1000",
            description = "How many walks. Default: ${DEFAULT-VALUE}")
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
            description = "Of each walk. Default: ${DEFAULT-VALUE}")
    private int steps;

    @Option(names = "--processes", paramLabel = "N", defaultValue = "5", description = "Default: ${DEFAULT-VALUE}")
    private int processes;

    @Option(
            names = "--voters",
            paramLabel = "N",
            defaultValue = "3",
            description = "At the start. Default: ${DEFAULT-VALUE}")
    private int voters;

    @Option(
            names = "--mix",
            paramLabel = "MIX",
            defaultValue = "ALL",
            description = "Of what steps: ${COMPLETION-CANDIDATES}." + " Default: ${DEFAULT-VALUE}")
    private Explorer.Mix mix;

    @Option(names = "--script", paramLabel = "FILE", description = "Play these steps instead, with the seed of --from.")
    private Path script;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException {
        PrintWriter out = spec.commandLine().getOut();
        Explorer explorer = new Explorer(seed -> new World(processes, voters, SETTINGS, seed), mix);
        if (script != null) {
            List<Step> all = new ArrayList<>();
            for (String line : Files.readAllLines(script)) {
                all.add(Step.read(line));
            }
            return tell(out, explorer.play(from, all));
        }
        AtomicLong[] sums = {new AtomicLong(), new AtomicLong(), new AtomicLong()};
        Explorer.Walk failing = LongStream.range(from, from + seeds)
                .parallel()
                .mapToObj(seed -> explorer.walk(seed, steps))
                .peek(w -> {
                    for (int i = 0; i < sums.length; i++) {
                        sums[i].addAndGet(w.counts()[i]);
                    }
                })
                .filter(w -> !w.violations().isEmpty())
                .findFirst()
                .orElse(null);
        out.println(seeds + " walks of " + steps + " steps, " + mix + ", " + processes + " processes, " + voters
                + " voters at first: "
                + sums[0] + " leaders, " + sums[1] + " entries committed, " + sums[2] + " reads answered");
        if (failing == null) {
            out.println("passed");
            return 0;
        }
        Explorer.Walk shortened = explorer.shortened(failing);
        out.println("seed " + failing.seed() + " fails; shortened to "
                + shortened.steps().size() + " steps:");
        shortened.steps().forEach(out::println);
        return tell(out, shortened);
    }

    private static int tell(PrintWriter out, Explorer.Walk walk) {
        walk.violations().forEach(f -> out.println("FOUND " + f));
        out.println(walk.violations().isEmpty() ? "passed" : "failed");
        return walk.violations().isEmpty() ? 0 : 1;
    }
}
