package pepperdock.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Function;
import pepperdock.faultinjection.SeedSoak;
import picocli.CommandLine.Option;

/** Options of commands that play runs drawn by seeds. */
final class SoakOptions {

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

    /** Plays the runs and prints each; returns the exit status, 1 if a run has findings. */
    <R> int play(
            PrintWriter out,
            SeedSoak.SeedRun<R> run,
            BiConsumer<PrintWriter, R> print,
            Function<R, List<String>> findings)
            throws IOException, InterruptedException {
        List<R> results = SeedSoak.play(from, seeds, parallel, folder, run, result -> {
            print.accept(out, result);
            findings.apply(result).forEach(finding -> out.println("  FOUND " + finding));
            out.flush();
        });
        long broken = results.stream()
                .filter(result -> !findings.apply(result).isEmpty())
                .count();
        out.println(results.size() + " runs, " + broken + " with a rule broken");
        return broken == 0 ? 0 : 1;
    }
}
