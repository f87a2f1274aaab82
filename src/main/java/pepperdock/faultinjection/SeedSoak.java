package pepperdock.faultinjection;

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
public final class SeedSoak {

    private SeedSoak() {}

    /**
     * Plays the run of one seed.
     *
     * @param <R> the result of a run
     */
    public interface SeedRun<R> {
        /** Plays the run; {@code folder} is empty and its own. */
        R play(long seed, Path folder) throws IOException, InterruptedException;
    }

    /**
     * Plays the runs.
     *
     * @param from the first seed
     * @param parallel how many runs are played at the same time
     * @param folder where each run gets a folder named by its seed
     * @param listener is told of each run, in the order of the seeds
     * @return the results, in the order of the seeds
     */
    public static <R> List<R> play(
            long from, int seeds, int parallel, Path folder, SeedRun<R> run, Consumer<R> listener)
            throws IOException, InterruptedException {
        ExecutorService executor = Executors.newFixedThreadPool(parallel);
        try {
            List<Future<R>> running = new ArrayList<>();
            for (long seed = from; seed < from + seeds; seed++) {
                long runSeed = seed;
                Path runFolder = Files.createDirectories(folder.resolve(Long.toString(seed)));
                running.add(executor.submit(() -> run.play(runSeed, runFolder)));
            }
            List<R> results = new ArrayList<>();
            for (Future<R> next : running) {
                results.add(next.get());
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
