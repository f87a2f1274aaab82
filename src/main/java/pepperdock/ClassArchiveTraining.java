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
 * Training run for class data sharing: starts a gatherer that serves a few queries, with simulated workers, discovery
 * and clients on loopback sockets. The build runs it so that the JVM records the classes that a start and the first
 * queries need ({@code -XX:ArchiveClassesAtExit}; JEP 350). The number of queries is fixed, and the build limits the
 * time. A failure ends the run with status 1 and leaves no archive, which only makes starts slower.
 */
final class ClassArchiveTraining {

    private static final String CONFIG_RESOURCE = "class-archive-training.json";
    private static final int WORKER_COUNT = 4;
    /**
     * Number of queries sent of each class: enough that queries are sent again on a kept connection after an answer,
     * and that the JVM links the code that serves the class.
     */
    private static final int QUERIES_PER_CLASS = 12;

    private static final int TIMEOUT_MS = 10_000;
    private static final String[] QUERY_CLASSES = {"search", "report", "adjust"};
    private static final String SIMULATOR_INPUT = """
            {"cmd":"Tick","ClockS":1.0,"n":1}
            {"cmd":"Attach","Mixer":0,"Salt":9,"Env":%s}
            {"cmd":"Commit"}
            """;

    private interface IoTask {
        void run() throws IOException;
    }

    private ClassArchiveTraining() {}

    /** Runs the training and returns after all queries were answered; the caller ends the JVM. */
    static void run() throws IOException {
        byte[] file;
        try (InputStream in = ClassArchiveTraining.class.getResourceAsStream(CONFIG_RESOURCE)) {
            file = in.readAllBytes();
        }
        ConfigReader config =
                ConfigReader.of("", Config.parse(new String(file, StandardCharsets.UTF_8), CONFIG_RESOURCE));
        attachInstance(config);
        StringBuilder hosts = new StringBuilder();
        for (int i = 0; i < WORKER_COUNT; i++) {
            int port = startServer(ClassArchiveTraining::serveWorker);
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
        int discovery = startServer(socket -> serveDiscovery(socket, list));
        ConfigReader servedConfig = config.with(
                        "discovery", Config.parse("\"127.0.0.1:" + discovery + '"', "discovery"))
                .with("known", Config.parse(list, "known"));
        EventLoop loop = new EventLoop(200, 1 << 18);
        InetSocketAddress address = GathererService.start(
                        servedConfig,
                        false,
                        new Startup.ProcessContext(Map.of(), loop, new Store(null, loop), Events.of(false), null))
                .get(0)
                .address();
        sendQueries(address);
    }

    /** Runs the simulator adapter: attaches one instance and sends it no queries. */
    private static void attachInstance(ConfigReader config) {
        PrintStream discarded = new PrintStream(new ByteArrayOutputStream(), false, StandardCharsets.UTF_8);
        new SimulatorAdapter(
                        new ByteArrayInputStream(SIMULATOR_INPUT
                                .formatted(config.json("settings"))
                                .getBytes(StandardCharsets.UTF_8)),
                        discarded,
                        discarded)
                .run();
    }

    /**
     * Acts as the client: polls for readiness, sends one invalid request, and then sends the queries of each class one
     * after the other on a kept connection.
     */
    private static void sendQueries(InetSocketAddress address) throws IOException {
        while (!exchange(address, "GET /-/ready HTTP/1.1\r\nHost: r\r\n\r\n", 1).startsWith("HTTP/1.1 200")) {
            Thread.onSpinWait();
        }
        exchange(address, "POST /api HTTP/1.1\r\nHost: r\r\nContent-Length: 2\r\n\r\n{}", 1);
        for (String queryClass : QUERY_CLASSES) {
            String body =
                    "{\"ranges\":[{\"range\":0,\"portion\":0.5},{\"range\":1,\"portion\":0.5}],\"predicate\":\"r\"}";
            String request = "POST /api HTTP/1.1\r\nHost: r\r\nRequest-Id: %s%d\r\nRequest-Class: " + queryClass
                    + "\r\nRequest-Timeout-Ms: 3000\r\nIdempotency-Key: r%d\r\nContent-Length: " + body.length()
                    + "\r\n\r\n" + body;
            if (!exchange(address, request.replace("%s", queryClass), QUERIES_PER_CLASS)
                    .startsWith("HTTP/1.1 200")) {
                throw new IOException("a query of class " + queryClass + " was not answered with status 200");
            }
        }
    }

    /**
     * Sends a request {@code times} times, with its number in place of {@code %d}, each after the answer to the one
     * before, and returns the head of the last answer.
     */
    private static String exchange(InetSocketAddress address, String request, int times) throws IOException {
        String lastHead = "";
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(TIMEOUT_MS);
            for (int i = 0; i < times; i++) {
                socket.getOutputStream()
                        .write(request.replace("%d", Integer.toString(i)).getBytes(StandardCharsets.UTF_8));
                String head = readHead(socket.getInputStream());
                int lengthHeader = head.toLowerCase(java.util.Locale.ROOT).indexOf("content-length: ");
                socket.getInputStream()
                        .readNBytes(
                                lengthHeader < 0
                                        ? 0
                                        : Integer.parseInt(
                                                head.substring(lengthHeader + 16, head.indexOf('\r', lengthHeader))));
                lastHead = head;
            }
        }
        return lastHead;
    }

    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        for (int b = in.read(); b >= 0; b = in.read()) {
            head.append((char) b);
            if (head.indexOf("\r\n\r\n", Math.max(0, head.length() - 4)) >= 0) {
                return head.toString();
            }
        }
        throw new IOException("connection closed after " + head.length() + " bytes of an HTTP head, before its end");
    }

    /**
     * Acts as discovery: answers a list request with the complete list, and leaves a watch unanswered, because the list
     * never changes.
     */
    private static void serveDiscovery(Socket socket, String list) throws IOException {
        while (true) {
            if (!readHead(socket.getInputStream()).contains("since=")) {
                socket.getOutputStream()
                        .write(("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list)
                                .getBytes(StandardCharsets.US_ASCII));
            }
        }
    }

    /** Acts as a worker: answers each part of each call at once. */
    private static void serveWorker(Socket socket) throws IOException {
        DataInputStream in = new DataInputStream(socket.getInputStream());
        while (true) {
            byte[] frame = in.readNBytes(in.readInt());
            for (int offset = 1; frame[0] == WorkerProtocol.CALL && offset < frame.length; ) {
                int end = offset;
                while (frame[end] != '\n') {
                    end++;
                }
                String[] fields = new String(frame, offset, end - offset, StandardCharsets.UTF_8).split(" ");
                offset = end + 1 + Integer.parseInt(fields[3]);
                socket.getOutputStream()
                        .write(FrameEncoder.encode(
                                WorkerProtocol.RESULT,
                                (fields[0] + " good 1 qps=1\nvalue").getBytes(StandardCharsets.UTF_8)));
            }
        }
    }

    private interface ConnectionHandler {
        void handle(Socket socket) throws IOException;
    }

    /** Starts a server on a free port, which passes each connection to {@code handler}, and returns the port. */
    private static int startServer(ConnectionHandler handler) throws IOException {
        ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        startDaemonThread(() -> {
            while (true) {
                Socket socket = server.accept();
                startDaemonThread(() -> handler.handle(socket));
            }
        });
        return server.getLocalPort();
    }

    private static void startDaemonThread(IoTask task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // The peer has closed the connection; the client checks whether all requests were answered.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }
}
