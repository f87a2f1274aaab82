package pepperdock;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import pepperdock.codec.frame.FrameEncoder;
import pepperdock.config.Config;
import pepperdock.config.ConfigReader;
import pepperdock.events.Events;
import pepperdock.platform.WorkerProtocol;
import pepperdock.service.GathererService;
import pepperdock.service.Startup;
import pepperdock.simulator.SimulatorAdapter;
import pepperdock.store.Store;
import pepperdock.transport.EventLoop;

/**
 * The training run of class data sharing: one short life of the program against stand-ins of its own, on loopback sockets. The
 * build runs it so that the JVM notes which classes a start and the first queries need ({@code -XX:ArchiveClassesAtExit}; JEP 350). Bounded in count, and in
 * time by the build; a failure ends it with status 1 and leaves no archive, which only makes starts slower.
 */
final class ClassArchiveTraining {

    private static final String FILE = "class-archive-training.json";
    private static final int WORKERS = 4;
    /** Enough that each class is sent, answered, sent again on a kept connection, and its code linked. */
    private static final int QUERIES = 12;

    private static final int TIMEOUT_MS = 10_000;
    private static final String[] CLASSES = {"search", "report", "adjust"};
    private static final String SIMULATOR_INPUT = """
            {"cmd":"Tick","ClockS":1.0,"n":1}
            {"cmd":"Attach","Mixer":0,"Salt":9,"Env":%s}
            {"cmd":"Commit"}
            """;

    private interface Task {
        void run() throws IOException;
    }

    private ClassArchiveTraining() {}

    /** Returns once all queries were answered; the caller ends the JVM. */
    static void run() throws IOException {
        byte[] file;
        try (InputStream in = ClassArchiveTraining.class.getResourceAsStream(FILE)) {
            file = in.readAllBytes();
        }
        ConfigReader whole = ConfigReader.of("", Config.parse(new String(file, StandardCharsets.UTF_8), FILE));
        attachInstance(whole);
        StringBuilder hosts = new StringBuilder();
        for (int i = 0; i < WORKERS; i++) {
            int port = listen(ClassArchiveTraining::work);
            hosts.append(i == 0 ? "" : ",")
                    .append("{\"host\":\"s-")
                    .append(i)
                    .append("\",\"dial\":\"127.0.0.1:")
                    .append(port)
                    .append("\",\"site\":\"room\",\"class\":\"std\",\"block\":")
                    .append(i)
                    .append(",\"health\":\"in_service\",\"share\":1.0,\"born_ms\":0}");
        }
        String list = "{\"seq\":1,\"whole\":true,\"hosts\":[" + hosts + "]}";
        int discovery = listen(s -> tell(s, list));
        ConfigReader served = whole.with("discovery", Config.parse("\"127.0.0.1:" + discovery + '"', "discovery"))
                .with("known", Config.parse(list, "known"));
        EventLoop loop = new EventLoop(200, 1 << 18);
        InetSocketAddress at = GathererService.start(
                        served,
                        false,
                        new Startup.ProcessContext(Map.of(), loop, new Store(null, loop), Events.of(false), null))
                .get(0)
                .address();
        ask(at);
    }

    /** The simulator's wire: one instance attached, nothing asked. */
    private static void attachInstance(ConfigReader whole) {
        PrintStream nowhere = new PrintStream(new ByteArrayOutputStream(), false, StandardCharsets.UTF_8);
        new SimulatorAdapter(
                        new ByteArrayInputStream(SIMULATOR_INPUT
                                .formatted(whole.json("settings"))
                                .getBytes(StandardCharsets.UTF_8)),
                        nowhere,
                        nowhere)
                .run();
    }

    /** A client that asks for readiness, once wrongly, and then one query after the other on a kept connection. */
    private static void ask(InetSocketAddress at) throws IOException {
        while (!exchange(at, "GET /-/ready HTTP/1.1\r\nHost: r\r\n\r\n", 1).startsWith("HTTP/1.1 200")) {
            Thread.onSpinWait();
        }
        exchange(at, "POST /api HTTP/1.1\r\nHost: r\r\nContent-Length: 2\r\n\r\n{}", 1);
        for (String queryClass : CLASSES) {
            String body =
                    "{\"ranges\":[{\"range\":0,\"portion\":0.5},{\"range\":1,\"portion\":0.5}],\"predicate\":\"r\"}";
            String request = "POST /api HTTP/1.1\r\nHost: r\r\nRequest-Id: %s%d\r\nRequest-Class: " + queryClass
                    + "\r\nRequest-Timeout-Ms: 3000\r\nIdempotency-Key: r%d\r\nContent-Length: " + body.length()
                    + "\r\n\r\n" + body;
            if (!exchange(at, request.replace("%s", queryClass), QUERIES).startsWith("HTTP/1.1 200")) {
                throw new IOException("a query was not answered");
            }
        }
    }

    /** Sends so many requests in turn, {@code %d} in them their number; returns the last answer. */
    private static String exchange(InetSocketAddress at, String request, int times) throws IOException {
        String answer = "";
        try (Socket s = new Socket(at.getAddress(), at.getPort())) {
            s.setSoTimeout(TIMEOUT_MS);
            for (int i = 0; i < times; i++) {
                s.getOutputStream()
                        .write(request.replace("%d", Integer.toString(i)).getBytes(StandardCharsets.UTF_8));
                String head = head(s.getInputStream());
                int length = head.toLowerCase(java.util.Locale.ROOT).indexOf("content-length: ");
                s.getInputStream()
                        .readNBytes(
                                length < 0
                                        ? 0
                                        : Integer.parseInt(head.substring(length + 16, head.indexOf('\r', length))));
                answer = head;
            }
        }
        return answer;
    }

    private static String head(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        for (int b = in.read(); b >= 0; b = in.read()) {
            head.append((char) b);
            if (head.indexOf("\r\n\r\n", Math.max(0, head.length() - 4)) >= 0) {
                return head.toString();
            }
        }
        throw new IOException("cut off after " + head.length() + " bytes");
    }

    /** Discovery: the whole list at once, and silence to a watch, since nothing changes. */
    private static void tell(Socket s, String list) throws IOException {
        while (true) {
            if (!head(s.getInputStream()).contains("since=")) {
                s.getOutputStream()
                        .write(("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list)
                                .getBytes(StandardCharsets.US_ASCII));
            }
        }
    }

    /** A worker: each part of each call is answered at once. */
    private static void work(Socket s) throws IOException {
        DataInputStream in = new DataInputStream(s.getInputStream());
        while (true) {
            byte[] frame = in.readNBytes(in.readInt());
            for (int at = 1; frame[0] == WorkerProtocol.CALL && at < frame.length; ) {
                int end = at;
                while (frame[end] != '\n') {
                    end++;
                }
                String[] words = new String(frame, at, end - at, StandardCharsets.UTF_8).split(" ");
                at = end + 1 + Integer.parseInt(words[3]);
                s.getOutputStream()
                        .write(FrameEncoder.encode(
                                WorkerProtocol.RESULT,
                                (words[0] + " good 1 qps=1\nvalue").getBytes(StandardCharsets.UTF_8)));
            }
        }
    }

    private interface Serving {
        void serve(Socket s) throws IOException;
    }

    /** A stand-in on a port of its own; returns the port. */
    private static int listen(Serving does) throws IOException {
        ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        start(() -> {
            while (true) {
                Socket s = server.accept();
                start(() -> does.serve(s));
            }
        });
        return server.getLocalPort();
    }

    private static void start(Task task) {
        Thread t = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // The other side has closed; whether all was answered, the client says.
            }
        });
        t.setDaemon(true);
        t.start();
    }
}
