import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Measures the time from the start of a process until {@code /-/ready} answers 200. Discovery answers at once, answers
 * after 1.5 s, refuses connections, or stays silent. The list is requested, with or without a known list in the
 * configuration file, or comes unrequested. Processes start one at a time, and the cases take turns; the machine's load
 * average is printed too.
 *
 * <p>{@code java tools/ReadyBench.java ROUNDS COMMAND}, the command one argument, run by {@code sh -c exec}.
 */
public final class ReadyBench {

    private static final String LIST = "{\"seq\":1,\"whole\":true,\"hosts\":[%s]}";
    private static final String HOST = "{\"host\":\"w%d\",\"dial\":\"127.0.0.1:1\",\"site\":\"room\",\"class\":\"std\","
            + "\"block\":%d,\"health\":\"in_service\",\"share\":1.0,\"born_ms\":0}";
    private static final int CELLS = 4;
    private static final long SLOW_MS = 1500;
    private static final long LIMIT_NANOS = 60_000_000_000L;

    private enum Discovery { ANSWERS, SLOW, REFUSED, SILENT }

    private enum File { ASKED_WITH_KNOWN, ASKED_WITHOUT_KNOWN, UNASKED_WITH_KNOWN }

    public static void main(String[] args) throws Exception {
        int rounds = Integer.parseInt(args[0]);
        Path folder = Files.createTempDirectory("readybench");
        Map<String, List<Double>> elapsedS = new LinkedHashMap<>();
        System.out.println("load average before " + load());
        for (int round = 0; round < rounds; round++) {
            for (File file : File.values()) {
                for (Discovery discovery : Discovery.values()) {
                    elapsedS.computeIfAbsent(file + " " + discovery, k -> new ArrayList<>())
                            .add(start(args[1], folder, file, discovery));
                }
            }
        }
        System.out.println("load average after " + load());
        System.out.printf(Locale.ROOT, "%-32s %6s %8s %8s %8s%n", "wall s until ready", "starts", "min", "median", "max");
        elapsedS.forEach(ReadyBench::row);
        row("all", elapsedS.values().stream().flatMap(List::stream).toList());
    }

    private static String load() throws IOException {
        return Files.readString(Path.of("/proc/loadavg")).strip();
    }

    private static void row(String what, List<Double> figures) {
        double[] sorted = figures.stream().mapToDouble(x -> x).sorted().toArray();
        System.out.printf(Locale.ROOT, "%-32s %6d %8.2f %8.2f %8.2f%n", what, sorted.length, sorted[0], sorted[sorted.length / 2],
                sorted[sorted.length - 1]);
    }

    private static String list() {
        return LIST.formatted(String.join(",", java.util.stream.IntStream.range(0, CELLS)
                .mapToObj(i -> HOST.formatted(i, i)).toList()));
    }

    /** Answers the first request of each connection with the complete list, and leaves later watches waiting. */
    private static void serve(ServerSocket at, long afterMs) {
        while (true) {
            try {
                Socket s = at.accept();
                Thread handler = new Thread(() -> answer(s, afterMs));
                handler.setDaemon(true);
                handler.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private static void answer(Socket s, long afterMs) {
        try (s) {
            byte[] buffer = new byte[4096];
            if (s.getInputStream().read(buffer) > 0) {
                Thread.sleep(afterMs);
                String list = list();
                s.getOutputStream().write(("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list)
                        .getBytes(StandardCharsets.US_ASCII));
                while (s.getInputStream().read(buffer) >= 0) {
                    continue;
                }
            }
        } catch (IOException e) {
            // The gatherer has been stopped.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return s.getLocalPort();
        }
    }

    private static String settings(File file) throws IOException {
        try (InputStream in = Files.newInputStream(Path.of("src/main/resources/pepperdock/rehearsal.json"))) {
            String whole = new String(in.readAllBytes(), StandardCharsets.UTF_8);
            String settings = whole.substring(whole.indexOf('{', whole.indexOf("\"settings\"")), whole.lastIndexOf('}'));
            return file == File.UNASKED_WITH_KNOWN ? settings.replace("\"subscribe\"", "\"automatic\"") : settings;
        }
    }

    private static double start(String command, Path folder, File file, Discovery discovery) throws Exception {
        int port = freePort();
        try (ServerSocket list = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            switch (discovery) {
                case REFUSED -> list.close();
                case SILENT -> { }
                default -> {
                    Thread t = new Thread(() -> serve(list, discovery == Discovery.SLOW ? SLOW_MS : 0));
                    t.setDaemon(true);
                    t.start();
                }
            }
            Path config = folder.resolve("config.json");
            String known = file == File.ASKED_WITHOUT_KNOWN ? "" : "\"known\":" + list() + ",";
            Files.writeString(config, "{\"name\":\"bench\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"127.0.0.1:"
                    + list.getLocalPort() + "\",\"limits\":{\"sockets\":384}," + known + "\"settings\":" + settings(file) + "}");
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", "exec " + command);
            builder.environment().put("EDGE_CONFIG", config.toString());
            long began = System.nanoTime();
            Process process = builder.redirectErrorStream(true).redirectOutput(folder.resolve("log").toFile()).start();
            try {
                while (!ready(port)) {
                    if (!process.isAlive() || System.nanoTime() - began > LIMIT_NANOS) {
                        throw new IllegalStateException("process ended or not ready within 60 s, log: "
                                + Files.readString(folder.resolve("log")));
                    }
                    Thread.sleep(5);
                }
                return (System.nanoTime() - began) / 1e9;
            } finally {
                process.destroyForcibly().waitFor();
            }
        }
    }

    private static boolean ready(int port) {
        try (Socket s = new Socket(InetAddress.getLoopbackAddress(), port)) {
            s.setSoTimeout(10_000);
            s.getOutputStream().write("GET /-/ready HTTP/1.1\r\nHost: b\r\nConnection: close\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            return new String(s.getInputStream().readAllBytes(), StandardCharsets.US_ASCII).startsWith("HTTP/1.1 200");
        } catch (IOException e) {
            return false;
        }
    }
}
