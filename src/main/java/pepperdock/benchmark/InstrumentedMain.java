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
 * Starts a program's main class in this process and then reads commands about it from standard input, one per line:
 * {@code figures}, {@code collect} (figures after a full garbage collection), {@code profile on} and {@code profile
 * off}. Each is answered by a JSON object on one line of standard output. Exits when standard input ends, so that no
 * process is left behind. The program is the unchanged production program: the figures come from the JVM's data on its
 * threads, and from how late a periodic task runs on its event loop.
 */
public final class InstrumentedMain {

    /** Name that the I/O library gives to the event loop's thread. */
    private static final String LOOP = "loop I/O-1";

    private static final long PROBE_INTERVAL_US = 5000;
    private static final long MAX_LATENESS_US = 60_000_000;
    private static final Duration SAMPLE_INTERVAL = Duration.ofMillis(10);
    private static final int MAX_METHODS = 25;
    private static final int COLLECTIONS = 3;
    private static final String OWN_PACKAGES = "pepperdock.";

    private final com.sun.management.ThreadMXBean threads =
            (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();
    private final Recorder lateness = new Recorder(MAX_LATENESS_US, 3);
    private final Thread loop;
    private Recording recording;

    private InstrumentedMain(Thread loop) {
        this.loop = loop;
    }

    /** Takes the main class as first argument, and that class's arguments after it. */
    public static void main(String[] args) throws ReflectiveOperationException, IOException {
        String[] rest = java.util.Arrays.copyOfRange(args, 1, args.length);
        Class.forName(args[0]).getMethod("main", String[].class).invoke(null, (Object) rest);
        Thread loop = Thread.getAllStackTraces().keySet().stream()
                .filter(t -> t.getName().equals(LOOP))
                .findAny()
                .orElseThrow();
        new InstrumentedMain(loop).answerCommands();
        System.exit(0);
    }

    private void answerCommands() throws IOException {
        scheduleProbe();
        BufferedReader lines = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            JsonObject answer = switch (line) {
                case "figures" -> figures();
                case "collect" -> figuresAfterCollection();
                case "profile on" -> startProfile();
                case "profile off" -> stopProfile();
                default -> new JsonObject();
            };
            System.out.println(answer);
        }
    }

    /** Schedules a periodic task on the loop; its lateness is how long an event has to wait there. */
    private void scheduleProbe() {
        long dueNanos = System.nanoTime() + PROBE_INTERVAL_US * 1000;
        ((XnioExecutor) loop)
                .executeAfter(
                        () -> {
                            long lateUs = Math.max(0, System.nanoTime() - dueNanos) / 1000;
                            lateness.recordValue(Math.min(MAX_LATENESS_US, lateUs));
                            scheduleProbe();
                        },
                        PROBE_INTERVAL_US,
                        TimeUnit.MICROSECONDS);
    }

    private JsonObject figures() throws IOException {
        JsonObject json = new JsonObject();
        json.addProperty("at_ns", System.nanoTime());
        UnixOperatingSystemMXBean system = (UnixOperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        json.addProperty("process_ns", system.getProcessCpuTime());
        json.addProperty("descriptors", system.getOpenFileDescriptorCount());
        json.addProperty("loop_ns", threads.getThreadCpuTime(loop.getId()));
        json.addProperty("loop_user_ns", threads.getThreadUserTime(loop.getId()));
        json.addProperty("loop_bytes", threads.getThreadAllocatedBytes(loop.getId()));
        json.addProperty("loop_delayed_ns", loopDelayedNanos());
        json.addProperty(
                "collections_ms",
                ManagementFactory.getGarbageCollectorMXBeans().stream()
                        .mapToLong(GarbageCollectorMXBean::getCollectionTime)
                        .sum());
        json.addProperty(
                "heap_bytes",
                ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed());
        json.addProperty("resident_kib", residentKib());
        Histogram latenessUs = lateness.getIntervalHistogram();
        json.addProperty("loop_late_p50_us", latenessUs.getValueAtPercentile(50));
        json.addProperty("loop_late_p99_us", latenessUs.getValueAtPercentile(99));
        json.addProperty("loop_late_most_us", latenessUs.getMaxValue());
        return json;
    }

    /**
     * Returns how long the loop's thread was ready to run but had no core: the machine's share of its lateness, in ns.
     */
    private static long loopDelayedNanos() throws IOException {
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

    private static long residentKib() throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/self/status"))) {
            if (line.startsWith("VmRSS:")) {
                return Long.parseLong(line.replaceAll("[^0-9]", ""));
            }
        }
        return 0;
    }

    private JsonObject figuresAfterCollection() throws IOException {
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        return figures();
    }

    private JsonObject startProfile() {
        recording = new Recording();
        recording.enable("jdk.ExecutionSample").withPeriod(SAMPLE_INTERVAL);
        recording.start();
        return new JsonObject();
    }

    /**
     * Counts samples of the loop's thread in Java code by the top method and by the pepperdock method nearest to the
     * top.
     */
    private JsonObject stopProfile() throws IOException {
        Path file = Files.createTempFile("loop", ".jfr");
        try {
            recording.stop();
            recording.dump(file);
            recording.close();
            Map<String, Integer> leaves = new HashMap<>();
            Map<String, Integer> nearestOwnMethods = new HashMap<>();
            int samples = 0;
            for (RecordedEvent event : RecordingFile.readAllEvents(file)) {
                if (event.getEventType().getName().equals("jdk.ExecutionSample")
                        && event.getThread("sampledThread") != null
                        && LOOP.equals(event.getThread("sampledThread").getJavaName())
                        && event.getStackTrace() != null
                        && !event.getStackTrace().getFrames().isEmpty()) {
                    samples++;
                    leaves.merge(methodName(event.getStackTrace().getFrames().get(0)), 1, Integer::sum);
                    nearestOwnMethods.merge(nearestOwnMethod(event), 1, Integer::sum);
                }
            }
            JsonObject json = new JsonObject();
            json.addProperty("samples", samples);
            json.add("top", topMethods(leaves, samples));
            json.add("nearest", topMethods(nearestOwnMethods, samples));
            return json;
        } finally {
            Files.delete(file);
        }
    }

    private static String nearestOwnMethod(RecordedEvent event) {
        return event.getStackTrace().getFrames().stream()
                .map(InstrumentedMain::methodName)
                .filter(n -> n.startsWith(OWN_PACKAGES) && !n.startsWith(InstrumentedMain.class.getName()))
                .findFirst()
                .orElse("(none of ours)");
    }

    private static String methodName(RecordedFrame frame) {
        return frame.getMethod().getType().getName() + '.' + frame.getMethod().getName();
    }

    private static JsonArray topMethods(Map<String, Integer> counts, int samples) {
        JsonArray json = new JsonArray();
        counts.entrySet().stream()
                .sorted(Map.Entry.comparingByValue(Comparator.reverseOrder()))
                .limit(MAX_METHODS)
                .forEach(entry -> {
                    JsonObject one = new JsonObject();
                    one.addProperty("method", entry.getKey());
                    one.addProperty("share", entry.getValue() / (double) samples);
                    json.add(one);
                });
        return json;
    }
}
