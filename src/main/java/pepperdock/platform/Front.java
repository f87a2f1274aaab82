package pepperdock.platform;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.function.BooleanSupplier;
import java.util.regex.Pattern;
import pepperdock.codec.http.HttpException;
import pepperdock.codec.http.HttpMessage;
import pepperdock.config.DeploymentSettings;
import pepperdock.core.Gatherer;
import pepperdock.core.Part;
import pepperdock.core.Query;
import pepperdock.core.QueryListener;
import pepperdock.core.QueryRequest;
import pepperdock.scheduler.RetrySafety;
import pepperdock.transport.HttpServer;

/** The platform's thin front: its queries and answers to and from the core's. */
public final class Front implements HttpServer.Service {

    private static final String JSON = "application/json";
    /** Up to an hour. */
    private static final Pattern WAIT = Pattern.compile("0*[1-9][0-9]{0,5}|0*[12][0-9]{6}|0*3[0-5][0-9]{5}|0*3600000");

    private static final Pattern ID = Pattern.compile("[!-~]{1,128}");
    private static final Pattern KEY = Pattern.compile("[!-+\\--~]{0,256}");

    private DeploymentSettings site;
    private final Gatherer core;
    private final BooleanSupplier ready;

    public Front(DeploymentSettings site, Gatherer core, BooleanSupplier ready) {
        this.site = site;
        this.core = core;
        this.ready = ready;
    }

    /** Other settings, for queries from now on. */
    public void use(DeploymentSettings now) {
        site = now;
    }

    @Override
    public Runnable serve(HttpMessage m, HttpServer.Reply reply) throws HttpException {
        switch (m.path()) {
            case "/api" -> {
                allow(m, "POST");
                Query q = core.submit(ask(m), new Answerer(reply));
                return () -> core.onClientGone(q);
            }
            case "/-/ready" -> {
                allow(m, "GET");
                reply.send(ready.getAsBoolean() ? 200 : 503, JSON, "", "{}".getBytes(StandardCharsets.UTF_8));
            }
            case "/-/healthy" -> {
                allow(m, "GET");
                reply.send(200, JSON, "", "{}".getBytes(StandardCharsets.UTF_8));
            }
            default -> throw new HttpException(404, "no such path");
        }
        return () -> {};
    }

    @Override
    public void malformed(int status, String why, HttpServer.Reply reply) {
        JsonObject body = new JsonObject();
        body.addProperty("error", why);
        reply.send(
                status,
                JSON,
                status == 405 ? "Allow: GET, POST\r\n" : "",
                body.toString().getBytes(StandardCharsets.UTF_8));
    }

    private static void allow(HttpMessage m, String method) throws HttpException {
        if (!m.method().equals(method)) {
            throw new HttpException(405, "only " + method);
        }
    }

    private QueryRequest ask(HttpMessage m) throws HttpException {
        String id = need(m, "Request-Id");
        int queryClass = site.classes().indexOf(need(m, "Request-Class"));
        if (queryClass < 0) {
            throw new HttpException(400, "Request-Class: unknown");
        }
        String wait = need(m, "Request-Timeout-Ms");
        if (!WAIT.matcher(wait).matches()) {
            throw new HttpException(400, "Request-Timeout-Ms: not a whole number in range");
        }
        long timeoutMs = Long.parseLong(wait);
        boolean keyed = site.module().classes().get(queryClass).retrySafety() == RetrySafety.IDEMPOTENCY_KEY;
        String key = keyed ? need(m, "Idempotency-Key") : "";
        if (!ID.matcher(id).matches() || !KEY.matcher(key).matches()) {
            throw new HttpException(400, "Request-Id or Idempotency-Key: not a plain word");
        }
        if (core.isQueryIdInUse(id)) {
            // On a worker's connection the two would bear one id, and one's answers would be taken for the other's.
            throw new HttpException(409, "Request-Id: of a request that is still open");
        }
        QueryBody body = QueryBody.read(m.body(), site.module().layout().shards());
        return new QueryRequest(id, queryClass, key, timeoutMs / 1e3, body.pieces(), body.text(), null);
    }

    private static String need(HttpMessage m, String name) throws HttpException {
        String value = m.header(name);
        if (value == null || value.isEmpty()) {
            throw new HttpException(400, name + ": missing");
        }
        return value;
    }

    /** Words the core's one final answer for the platform's clients. */
    private record Answerer(HttpServer.Reply reply) implements QueryListener {

        @Override
        public void onAnswer(Query q, boolean whole) {
            JsonArray answers = new JsonArray();
            for (Part p : q.parts()) {
                if (p.value() != null) {
                    JsonObject one = new JsonObject();
                    one.addProperty("range", p.shard());
                    one.addProperty("blob", new String(p.value(), StandardCharsets.UTF_8));
                    answers.add(one);
                }
            }
            JsonObject body = new JsonObject();
            body.addProperty("total", whole);
            body.add("answers", answers);
            reply.send(200, JSON, "", body.toString().getBytes(StandardCharsets.UTF_8));
        }

        @Override
        public void onRejected(Query q, double pauseS) {
            String extra = pauseS > 0 ? String.format(Locale.ROOT, "Retry-After: %.3f\r\n", pauseS) : "";
            reply.send(503, JSON, extra, "{\"error\":\"refused\"}".getBytes(StandardCharsets.UTF_8));
        }

        @Override
        public void onFailed(Query q, boolean overdue) {
            reply.send(overdue ? 504 : 500, JSON, "", "{\"error\":\"failed\"}".getBytes(StandardCharsets.UTF_8));
        }

        @Override
        public void pollForDisconnect() {
            reply.poll();
        }
    }
}
