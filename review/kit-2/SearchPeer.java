import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A stand-in server of the OpenSearch-style API: searches, scrolls, updates and the release of scroll contexts. Each hit
 * repeats the text of the query that asked for it, so that a client can tell its own hits from those of others. A link
 * delay stands for the network between a gatherer and the server.
 */
final class SearchPeer implements AutoCloseable {

    /** One request as it was read. */
    record Request(String method, String target, Map<String, String> headers, byte[] body, double readAtS) {
        JsonObject json() {
            return body.length == 0
                    ? new JsonObject()
                    : JsonParser.parseString(new String(body, StandardCharsets.UTF_8)).getAsJsonObject();
        }
    }

    /** What else is sent after an answer. */
    interface AfterAnswer {
        /** Called once the answer is written; {@code nothingWaits} tells whether no further request has arrived. */
        void onAnswered(Request request, byte[] answer, OutputStream out, java.util.function.BooleanSupplier nothingWaits)
                throws IOException, InterruptedException;
    }

    private record Context(String query, int shard, int size, int total, int[] next) {}

    final String name;
    final ServerSocket server;
    /** Time that each message needs on its way, in milliseconds. */
    volatile int linkMs;
    /** Time that each search or page takes, in milliseconds. */
    volatile int workMs = 5;
    /** Further time for each hit that is asked for, in microseconds. */
    volatile int hitUs;
    /** Hits that each shard has for each query. */
    volatile int hitsPerShard = 30;
    /** Text that each hit carries besides. */
    volatile String padding = "";

    volatile AfterAnswer afterAnswer = (request, answer, out, nothingWaits) -> {};
    /** Called for each request as it is read. */
    volatile java.util.function.Consumer<Request> onRequest = request -> {};

    final AtomicInteger served = new AtomicInteger();
    /** How often each document was updated. */
    final Map<String, AtomicInteger> updates = new ConcurrentHashMap<>();
    /** Whether the connection is reset in place of the answer to an update that has been applied. */
    volatile java.util.function.BooleanSupplier resetsAfterUpdate = () -> false;

    private final Map<String, Context> contexts = new ConcurrentHashMap<>();
    private final List<Socket> open = new ArrayList<>();

    SearchPeer(String name) throws IOException {
        this.name = name;
        server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Thread.ofDaemon("accept-" + name, this::accept);
    }

    /** Starts daemon threads, which Java 17 has no builder for. */
    static final class Thread {
        static java.lang.Thread ofDaemon(String name, Runnable task) {
            java.lang.Thread thread = new java.lang.Thread(task, name);
            thread.setDaemon(true);
            thread.start();
            return thread;
        }
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    int openContexts() {
        return contexts.size();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                synchronized (open) {
                    open.add(socket);
                }
                Thread.ofDaemon("serve-" + name, () -> serve(socket));
            }
        } catch (IOException e) {
            // Closed.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                Request request = read(in);
                if (request == null) {
                    return;
                }
                onRequest.accept(request);
                java.lang.Thread.sleep(linkMs + workMs + hitUs * hitsAsked(request) / 1000);
                byte[] answer = answer(request);
                if (request.target().contains("/_update/") && resetsAfterUpdate.getAsBoolean()) {
                    socket.setSoLinger(true, 0);
                    return;
                }
                java.lang.Thread.sleep(linkMs);
                out.write(answer);
                out.flush();
                served.incrementAndGet();
                // A request that the link still carries has not arrived.
                double answeredAt = Clock.now() - linkMs / 1e3;
                afterAnswer.onAnswered(request, answer, out, () -> {
                    try {
                        return in.available() == 0 || Clock.now() - answeredAt < 2 * linkMs / 1e3;
                    } catch (IOException e) {
                        return false;
                    }
                });
            }
        } catch (IOException | InterruptedException e) {
            // The peer has gone.
        }
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        int read;
        while ((read = in.read()) != '\n') {
            if (read < 0) {
                throw new EOFException();
            }
            if (read != '\r') {
                text.append((char) read);
            }
        }
        return text.toString();
    }

    private static Request read(InputStream in) throws IOException {
        String start;
        try {
            start = line(in);
        } catch (EOFException e) {
            return null;
        }
        double readAt = Clock.now();
        Map<String, String> headers = new HashMap<>();
        String text;
        while (!(text = line(in)).isEmpty()) {
            int colon = text.indexOf(':');
            headers.put(text.substring(0, colon).toLowerCase(Locale.ROOT), text.substring(colon + 1).strip());
        }
        byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        String[] fields = start.split(" ");
        return new Request(fields[0], fields[1], headers, body, readAt);
    }

    private static int hitsAsked(Request request) {
        return request.target().contains("/_search?") ? request.json().get("size").getAsInt() : 0;
    }

    private static String parameter(String target, String name) {
        int question = target.indexOf('?');
        if (question >= 0) {
            for (String pair : target.substring(question + 1).split("&")) {
                if (pair.startsWith(name + "=")) {
                    return pair.substring(name.length() + 1);
                }
            }
        }
        return null;
    }

    private byte[] answer(Request request) {
        if (request.target().startsWith("/_search/scroll")) {
            String id = request.json().get("scroll_id").getAsString();
            if (request.method().equals("DELETE")) {
                boolean freed = contexts.remove(id) != null;
                return response(request, 200, "{\"succeeded\":true,\"num_freed\":" + (freed ? 1 : 0) + "}");
            }
            Context context = contexts.get(id);
            return context == null
                    ? response(request, 404, "{\"error\":{\"type\":\"search_context_missing_exception\"},\"status\":404}")
                    : response(request, 200, page(id, context));
        }
        if (request.target().contains("/_search")) {
            int shard = Integer.parseInt(parameter(request.target(), "preference").substring("_shards:".length()));
            JsonObject body = request.json();
            String query = body.getAsJsonObject("query").getAsJsonObject("match").get("account").getAsString();
            Context context = new Context(query, shard, body.get("size").getAsInt(), hitsPerShard, new int[1]);
            String id = null;
            if (parameter(request.target(), "scroll") != null) {
                id = UUID.randomUUID().toString();
                contexts.put(id, context);
            }
            return response(request, 200, page(id, context));
        }
        if (request.target().contains("/_update/")) {
            String id = request.target().replaceAll(".*/_update/([^?]*).*", "$1");
            updates.computeIfAbsent(id, first -> new AtomicInteger()).incrementAndGet();
            return response(
                    request,
                    200,
                    "{\"_index\":\"wallets\",\"_id\":\"" + id
                            + "\",\"result\":\"updated\",\"_shards\":{\"total\":1,\"successful\":1,\"failed\":0}}");
        }
        if (request.method().equals("GET") && request.target().equals("/")) {
            return response(request, 200, "{}");
        }
        return response(request, 404, "{\"error\":{\"type\":\"resource_not_found_exception\"},\"status\":404}");
    }

    private String page(String id, Context context) {
        StringBuilder body = new StringBuilder("{");
        if (id != null) {
            body.append("\"_scroll_id\":\"").append(id).append("\",");
        }
        body.append("\"took\":1,\"timed_out\":false,\"_shards\":{\"total\":1,\"successful\":1,\"skipped\":0,\"failed\":0},")
                .append("\"hits\":{\"total\":{\"value\":").append(context.total()).append(",\"relation\":\"eq\"},")
                .append("\"max_score\":1.0,\"hits\":[");
        synchronized (context) {
            for (int i = 0; i < context.size() && context.next()[0] < context.total(); i++) {
                int number = context.next()[0]++;
                body.append(i > 0 ? "," : "")
                        .append("{\"_index\":\"history\",\"_id\":\"").append(context.shard()).append('-').append(number)
                        .append("\",\"_score\":1.0,\"_source\":{\"account\":\"").append(context.query())
                        .append('"').append(padding).append("}}");
            }
        }
        return body.append("]}}").toString();
    }

    private static byte[] response(Request request, int status, String body) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        String opaque = request.headers().get("x-opaque-id");
        byte[] head = ("HTTP/1.1 " + status + " Status\r\nContent-Type: application/json\r\n"
                        + (opaque == null ? "" : "X-Opaque-Id: " + opaque + "\r\n")
                        + "Content-Length: " + bytes.length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[head.length + bytes.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(bytes, 0, all, head.length, bytes.length);
        return all;
    }

    @Override
    public void close() throws IOException {
        server.close();
        synchronized (open) {
            for (Socket socket : open) {
                socket.close();
            }
        }
    }
}
