package pepperdock.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import pepperdock.faultinjection.upgrade.UpgradeRun;
import pepperdock.faultinjection.upgrade.UpgradeSoak;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Plays upgrades of one gatherer with faults drawn by seeds. */
@Command(
        name = "upgrade",
        mixinStandardHelpOptions = true,
        versionProvider = Cli.Version.class,
        description = "Play upgrades of one gatherer between real processes, with faults drawn by seeds: discovery,"
                + " disk, deaths, signals, clients (docs/rig.md).",
        exitCodeListHeading = "Exit status:%n",
        exitCodeList = {"0:no rule was broken", "1:a rule was broken", "2:faulty input or usage"})
final class UpgradeCommand implements Callable<Integer> {

    @Option(
            names = "--seeds",
            paramLabel = "N",
            defaultValue = "10",
            description = "Number of seeds. Default: ${DEFAULT-VALUE}")
    private int seeds;

    @Option(
            names = "--from",
            paramLabel = "N",
            defaultValue = "1",
            description = "The first seed. Default: ${DEFAULT-VALUE}")
    private long from;

    @Option(
            names = "--parallel",
            paramLabel = "N",
            defaultValue = "3",
            description = "Number of runs at the same time. Default: ${DEFAULT-VALUE}")
    private int parallel;

    @Option(
            names = "--folder",
            paramLabel = "DIR",
            required = true,
            description = "Folder for the logs, with a folder for each seed.")
    private Path folder;

    @Option(names = "--events", description = "Print what was done in each run.")
    private boolean events;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException, InterruptedException {
        PrintWriter out = spec.commandLine().getOut();
        List<UpgradeRun.Result> results =
                UpgradeSoak.play(from, seeds, parallel, folder, GathererCommand.ofThisJar(), result -> {
                    print(out, result);
                    out.flush();
                });
        long broken =
                results.stream().filter(result -> !result.findings().isEmpty()).count();
        out.println(results.size() + " runs, " + broken + " with a rule broken");
        return broken == 0 ? 0 : 1;
    }

    private void print(PrintWriter out, UpgradeRun.Result result) {
        out.println("seed " + result.seed() + ": " + result.requests() + " requests, " + result.sends() + " parts, "
                + result.unread() + " requests closed unread, "
                + result.findings().size() + " findings");
        if (events) {
            result.events().forEach(event -> out.println("  " + event));
        }
        result.findings().forEach(finding -> out.println("  FOUND " + finding));
    }
}
