package pepperdock.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.util.concurrent.Callable;
import pepperdock.faultinjection.upgrade.SmallDeployment;
import pepperdock.faultinjection.upgrade.UpgradeRun;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
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

    @Mixin
    private SoakOptions soak;

    @Option(names = "--events", description = "Print what was done in each run.")
    private boolean events;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException, InterruptedException {
        return soak.play(
                spec.commandLine().getOut(),
                (seed, folder) -> UpgradeRun.play(seed, folder, SmallDeployment.SETTINGS, GathererCommand.ofThisJar()),
                this::print,
                UpgradeRun.Result::findings);
    }

    private void print(PrintWriter out, UpgradeRun.Result result) {
        out.println("seed " + result.seed() + ": " + result.requests() + " requests, " + result.sends() + " parts, "
                + result.unread() + " requests closed unread, "
                + result.findings().size() + " findings");
        if (events) {
            result.events().forEach(event -> out.println("  " + event));
        }
    }
}
