package pepperdock.benchmark;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.sun.management.UnixOperatingSystemMXBean;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.lang.management.GarbageCollectorMXBean;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import jdk.jfr.Recording;
import jdk.jfr.consumer.RecordedEvent;
import jdk.jfr.consumer.RecordedFrame;
import jdk.jfr.consumer.RecordingFile;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.Recorder;
import org.xnio.XnioExecutor;

/**
 * Starts a program's main class in this process and then answers for it on standard input and output: {@code figures},
 * {@code collect} (figures after a full collection), {@code profile on} and {@code profile off}, a line each, answered by a
 * JSON object on a line. Ends the process when standard input ends, so that none is left behind. The program is the one that
 * serves, unchanged: what is seen is what the JVM tells of its threads, and how late a task of ours runs on its loop.
 */
public final class Observed {

    /** The loop's thread, as the I/O library names it. */
    private static final String LOOP = "loop I/O-1";

    private static final long TICK_US = 5000;
    private static final long LATE_MOST_US = 60_000_000;
    private static final Duration SAMPLE_EVERY = Duration.ofMillis(10);
    private static final int TOP = 25;
    private static final int COLLECTIONS = 3;
    private static final String OWN = "pepperdock.";

    private final com.sun.management.ThreadMXBean threads =
            (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();
    private final Recorder lateness = new Recorder(LATE_MOST_US, 3);
    private final Thread loop;
    private Recording recording;

    private Observed(Thread loop) {
        this.loop = loop;
    }

    /** The arguments: a main class, and what it is started with. */
    public static void main(String[] args) throws ReflectiveOperationException, IOException {
        String[] rest = java.util.Arrays.copyOfRange(args, 1, args.length);
        Class.forName(args[0]).getMethod("main", String[].class).invoke(null, (Object) rest);
        Thread loop = Thread.getAllStackTraces().keySet().stream()
                .filter(t -> t.getName().equals(LOOP))
                .findAny()
                .orElseThrow();
        new Observed(loop).answer();
        System.exit(0);
    }

    private void answer() throws IOException {
        tick();
        BufferedReader lines = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            JsonObject said = switch (line) {
                case "figures" -> figures();
                case "collect" -> collected();
                case "profile on" -> profile();
                case "profile off" -> profiled();
                default -> new JsonObject();
            };
            System.out.println(said);
        }
    }

    /** A task on the loop every few milliseconds: how late it runs is how long what comes has to wait there. */
    private void tick() {
        long dueNanos = System.nanoTime() + TICK_US * 1000;
        ((XnioExecutor) loop)
                .executeAfter(
                        () -> {
                            long lateUs = Math.max(0, System.nanoTime() - dueNanos) / 1000;
                            lateness.recordValue(Math.min(LATE_MOST_US, lateUs));
                            tick();
                        },
                        TICK_US,
                        TimeUnit.MICROSECONDS);
    }

    private JsonObject figures() throws IOException {
        JsonObject all = new JsonObject();
        all.addProperty("at_ns", System.nanoTime());
        UnixOperatingSystemMXBean system = (UnixOperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        all.addProperty("process_ns", system.getProcessCpuTime());
        all.addProperty("descriptors", system.getOpenFileDescriptorCount());
        all.addProperty("loop_ns", threads.getThreadCpuTime(loop.getId()));
        all.addProperty("loop_user_ns", threads.getThreadUserTime(loop.getId()));
        all.addProperty("loop_bytes", threads.getThreadAllocatedBytes(loop.getId()));
        all.addProperty("loop_delayed_ns", delayed());
        all.addProperty(
                "collections_ms",
                ManagementFactory.getGarbageCollectorMXBeans().stream()
                        .mapToLong(GarbageCollectorMXBean::getCollectionTime)
                        .sum());
        all.addProperty(
                "heap_bytes",
                ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed());
        all.addProperty("resident_kib", resident());
        Histogram late = lateness.getIntervalHistogram();
        all.addProperty("loop_late_p50_us", late.getValueAtPercentile(50));
        all.addProperty("loop_late_p99_us", late.getValueAtPercentile(99));
        all.addProperty("loop_late_most_us", late.getMaxValue());
        return all;
    }

    /** How long the loop's thread has been ready to run and had no core: the machine's part of its lateness. */
    private static long delayed() throws IOException {
        try (DirectoryStream<Path> tasks = Files.newDirectoryStream(Path.of("/proc/self/task"))) {
            for (Path task : tasks) {
                if (Files.readString(task.resolve("comm")).strip().equals(LOOP)) {
                    return Long.parseLong(
                            Files.readString(task.resolve("schedstat")).strip().split(" ")[1]);
                }
            }
        }
        return 0;
    }

    private static long resident() throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/self/status"))) {
            if (line.startsWith("VmRSS:")) {
                return Long.parseLong(line.replaceAll("[^0-9]", ""));
            }
        }
        return 0;
    }

    private JsonObject collected() throws IOException {
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        return figures();
    }

    private JsonObject profile() {
        recording = new Recording();
        recording.enable("jdk.ExecutionSample").withPeriod(SAMPLE_EVERY);
        recording.start();
        return new JsonObject();
    }

    /** Samples of the loop's thread in Java code, by the method at the top and by the method of ours nearest to it. */
    private JsonObject profiled() throws IOException {
        Path file = Files.createTempFile("loop", ".jfr");
        try {
            recording.stop();
            recording.dump(file);
            recording.close();
            Map<String, Integer> leaves = new HashMap<>();
            Map<String, Integer> owners = new HashMap<>();
            int samples = 0;
            for (RecordedEvent e : RecordingFile.readAllEvents(file)) {
                if (e.getEventType().getName().equals("jdk.ExecutionSample")
                        && e.getThread("sampledThread") != null
                        && LOOP.equals(e.getThread("sampledThread").getJavaName())
                        && e.getStackTrace() != null
                        && !e.getStackTrace().getFrames().isEmpty()) {
                    samples++;
                    leaves.merge(name(e.getStackTrace().getFrames().get(0)), 1, Integer::sum);
                    owners.merge(owner(e), 1, Integer::sum);
                }
            }
            JsonObject all = new JsonObject();
            all.addProperty("samples", samples);
            all.add("top", top(leaves, samples));
            all.add("nearest", top(owners, samples));
            return all;
        } finally {
            Files.delete(file);
        }
    }

    private static String owner(RecordedEvent e) {
        return e.getStackTrace().getFrames().stream()
                .map(Observed::name)
                .filter(n -> n.startsWith(OWN) && !n.startsWith(Observed.class.getName()))
                .findFirst()
                .orElse("(none of ours)");
    }

    private static String name(RecordedFrame f) {
        return f.getMethod().getType().getName() + '.' + f.getMethod().getName();
    }

    private static JsonArray top(Map<String, Integer> counts, int samples) {
        JsonArray all = new JsonArray();
        counts.entrySet().stream()
                .sorted(Map.Entry.comparingByValue(Comparator.reverseOrder()))
                .limit(TOP)
                .forEach(e -> {
                    JsonObject one = new JsonObject();
                    one.addProperty("method", e.getKey());
                    one.addProperty("share", e.getValue() / (double) samples);
                    all.add(one);
                });
        return all;
    }
}
