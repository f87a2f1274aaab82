package pepperdock.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import pepperdock.faultinjection.overload.OverloadPlan;
import pepperdock.faultinjection.overload.OverloadRun;
import pepperdock.faultinjection.upgrade.SmallDeployment;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Plays ordinary clients beside others that send at full speed or write slowly, drawn by seeds. */
@Command(
        name = "overload",
        mixinStandardHelpOptions = true,
        versionProvider = Cli.Version.class,
        description = "Play one gatherer with a share of a core beside clients that send at full speed, write slowly"
                + " or stop half way, drawn by seeds (docs/rig.md). Run it from the root of the repository.",
        exitCodeListHeading = "Exit status:%n",
        exitCodeList = {"0:no rule was broken", "1:a rule was broken", "2:faulty input or usage"})
final class OverloadCommand implements Callable<Integer> {

    private static final List<String> GATHERER = List.of("sh", "deploy/start", "serve");

    @Mixin
    private SoakOptions soak;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException, InterruptedException {
        return soak.play(
                spec.commandLine().getOut(),
                (seed, folder) -> OverloadRun.play(OverloadPlan.draw(seed), folder, SmallDeployment.SETTINGS, GATHERER),
                OverloadCommand::print,
                OverloadRun.Result::findings);
    }

    private static void print(PrintWriter out, OverloadRun.Result result) {
        out.println(String.format(
                Locale.ROOT,
                "seed %d: %d requests, %d served, slowest answer %.3f s, peak memory %d MiB, rig late by %.3f s, %d findings: %s",
                result.plan().seed(),
                result.requests(),
                result.served(),
                result.slowestAnswerS(),
                result.peakMemoryMb(),
                result.rigDelayS(),
                result.findings().size(),
                result.plan()));
    }
}
