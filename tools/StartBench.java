import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * Measures process starts: processor time and wall time from the start until {@code /-/ready} answers 200, the largest
 * resident memory until then, and how long the first query takes after that. There are no nodes, so the query is
 * refused: it covers the way through front, core and module and back. Each round starts each command once, so that a
 * drift of the machine's speed affects all commands alike. Linux only (/proc).
 *
 * <p>{@code java tools/StartBench.java ROUNDS COMMAND [COMMAND ...]}, each command one argument, run by {@code sh -c
 * exec}.
 */
public final class StartBench {

    private static final String CONFIG = """
            {"name":"bench","listen":"127.0.0.1:%d","discovery":"127.0.0.1:%d","limits":{"sockets":384},
             "known":{"seq":1,"whole":true,"hosts":[]},"settings":%s}""";
    private static final String QUERY = "{\"ranges\":[{\"range\":0,\"portion\":0.5},{\"range\":1,\"portion\":0.5}],\"predicate\":\"b\"}";
    private static final long LIMIT_NANOS = 60_000_000_000L;

    private record Start(double cpuS, double wallS, double memoryMb, double firstMs) { }

    public static void main(String[] args) throws Exception {
        int rounds = Integer.parseInt(args[0]);
        List<String> commands = Arrays.asList(args).subList(1, args.length);
        List<List<Start>> all = new ArrayList<>();
        commands.forEach(c -> all.add(new ArrayList<>()));
        Path folder = Files.createTempDirectory("startbench");
        for (int round = 0; round <= rounds; round++) {
            for (int i = 0; i < commands.size(); i++) {
                Start result = start(commands.get(i), folder);
                if (round > 0) {
                    all.get(i).add(result);
                }
            }
        }
        System.out.printf(Locale.ROOT, "%d processors, %d starts each after one not counted; min / median / max%n",
                Runtime.getRuntime().availableProcessors(), rounds);
        for (int i = 0; i < commands.size(); i++) {
            System.out.println(commands.get(i));
            row("processor s until ready", all.get(i).stream().mapToDouble(Start::cpuS).toArray());
            row("wall s until ready", all.get(i).stream().mapToDouble(Start::wallS).toArray());
            row("largest resident MB", all.get(i).stream().mapToDouble(Start::memoryMb).toArray());
            row("first query, ms", all.get(i).stream().mapToDouble(Start::firstMs).toArray());
        }
    }

    private static void row(String what, double[] figures) {
        Arrays.sort(figures);
        System.out.printf(Locale.ROOT, "  %-24s %8.2f / %8.2f / %8.2f%n", what, figures[0], figures[figures.length / 2],
                figures[figures.length - 1]);
    }

    private static int freePort() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return s.getLocalPort();
        }
    }

    private static Start start(String command, Path folder) throws Exception {
        int port = freePort();
        Path config = folder.resolve("config.json");
        String settings;
        try (InputStream in = Files.newInputStream(Path.of("src/main/resources/pepperdock/class-archive-training.json"))) {
            String whole = new String(in.readAllBytes(), StandardCharsets.UTF_8);
            settings = whole.substring(whole.indexOf('{', whole.indexOf("\"settings\"")), whole.lastIndexOf('}'));
        }
        Files.writeString(config, CONFIG.formatted(port, freePort(), settings));
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", "exec " + command);
        builder.environment().put("EDGE_CONFIG", config.toString());
        long began = System.nanoTime();
        Process process = builder.redirectErrorStream(true).redirectOutput(folder.resolve("log").toFile()).start();
        try {
            while (!ready(port)) {
                if (!process.isAlive() || System.nanoTime() - began > LIMIT_NANOS) {
                    throw new IllegalStateException("process ended or not ready within 60 s: " + command + "\n"
                            + Files.readString(folder.resolve("log")));
                }
                Thread.sleep(2);
            }
            double wall = (System.nanoTime() - began) / 1e9;
            String stat = Files.readString(Path.of("/proc/" + process.pid() + "/stat"));
            String[] words = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            double cpu = (Long.parseLong(words[11]) + Long.parseLong(words[12])) / 100.0;
            double memory = Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
                    .filter(l -> l.startsWith("VmHWM")).mapToDouble(l -> Long.parseLong(l.replaceAll("\\D", "")) / 1024.0)
                    .findFirst().orElseThrow();
            long asked = System.nanoTime();
            exchange(port, "POST /api HTTP/1.1\r\nHost: b\r\nConnection: close\r\nRequest-Id: b1\r\nRequest-Class: search\r\n"
                    + "Request-Timeout-Ms: 1000\r\nContent-Length: " + QUERY.length() + "\r\n\r\n" + QUERY);
            return new Start(cpu, wall, memory, (System.nanoTime() - asked) / 1e6);
        } finally {
            process.destroyForcibly().waitFor();
        }
    }

    private static boolean ready(int port) {
        try {
            return exchange(port, "GET /-/ready HTTP/1.1\r\nHost: b\r\nConnection: close\r\n\r\n").startsWith("HTTP/1.1 200");
        } catch (IOException e) {
            return false;
        }
    }

    private static String exchange(int port, String request) throws IOException {
        try (Socket s = new Socket(InetAddress.getLoopbackAddress(), port)) {
            s.setSoTimeout(10_000);
            s.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            return new String(s.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }
}
