package pepperdock.operator;

import com.google.gson.JsonObject;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import pepperdock.codec.http.HttpException;
import pepperdock.codec.http.HttpMessage;
import pepperdock.transport.HttpRequestHandler;
import pepperdock.transport.HttpResponseSender;

/**
 * Serves the operators' HTTP calls, one call per connection: the paths, their methods and the JSON responses. Runs on
 * the loop's thread.
 */
final class OperatorEndpoint implements HttpRequestHandler {

    /** The operations behind the calls. Called on the loop's thread. */
    interface Operations {
        /** Returns whether this process accepts queries now. */
        boolean ready();

        /** Returns all metrics as text. */
        String metrics();

        /** Returns whether a worker with this id was ever in the endpoint list. */
        boolean knows(String worker);

        /**
         * Bans a worker or lifts its ban. {@code then} gets null once the change is saved, or the reason why it was
         * not.
         */
        void setBanned(String worker, boolean banned, Consumer<String> then);
    }

    private static final String JSON = "application/json";
    private static final String WORKERS = "/-/workers/";
    private static final int MAX_ID_LENGTH = 256;

    private final Operations operations;

    OperatorEndpoint(Operations operations) {
        this.operations = operations;
    }

    @Override
    public Runnable serve(HttpMessage request, HttpResponseSender reply) throws HttpException {
        String path = request.path();
        if (path.equals("/-/ready")) {
            if (requireMethod(request, "GET", reply)) {
                boolean ready = operations.ready();
                respond(reply, ready ? 200 : 503, "", "ready", ready);
            }
        } else if (path.equals("/-/metrics")) {
            if (requireMethod(request, "GET", reply)) {
                reply.send(
                        200,
                        "text/plain; charset=utf-8",
                        "",
                        operations.metrics().getBytes(StandardCharsets.UTF_8));
            }
        } else if (path.startsWith(WORKERS) && path.endsWith("/disable")) {
            handleBan(request, path, true, reply);
        } else if (path.startsWith(WORKERS) && path.endsWith("/enable")) {
            handleBan(request, path, false, reply);
        } else {
            throw new HttpException(404, "no such path");
        }
        return () -> {};
    }

    private void handleBan(HttpMessage request, String path, boolean banned, HttpResponseSender reply)
            throws HttpException {
        if (!requireMethod(request, "POST", reply)) {
            return;
        }
        String worker =
                parseWorkerId(path.substring(WORKERS.length(), Math.max(WORKERS.length(), path.lastIndexOf('/'))));
        if (!operations.knows(worker)) {
            throw new HttpException(404, "no worker of that id was ever listed");
        }
        operations.setBanned(worker, banned, failure -> {
            if (failure == null) {
                respond(reply, 200, "", "disabled", banned);
            } else {
                rejectMalformed(500, failure, reply);
            }
        });
    }

    private static String parseWorkerId(String segment) throws HttpException {
        try {
            String id = URLDecoder.decode(segment.replace("+", "%2B"), StandardCharsets.UTF_8);
            if (id.isEmpty() || id.length() > MAX_ID_LENGTH || id.chars().anyMatch(Character::isISOControl)) {
                throw new HttpException(400, "worker id: empty, too long or with control characters");
            }
            return id;
        } catch (IllegalArgumentException e) {
            throw new HttpException(400, "worker id: not percent-encoded");
        }
    }

    /** Returns whether the request has this method; responds with 405 if not. Rejects a request with a body. */
    private boolean requireMethod(HttpMessage request, String method, HttpResponseSender reply) throws HttpException {
        if (!request.method().equals(method)) {
            respond(reply, 405, "Allow: " + method + "\r\n", "error", "only " + method);
            return false;
        }
        if (request.body().length > 0) {
            throw new HttpException(400, "body: none is taken here");
        }
        return true;
    }

    @Override
    public void rejectMalformed(int status, String reason, HttpResponseSender reply) {
        respond(reply, status, "", "error", reason);
    }

    private static void respond(HttpResponseSender reply, int status, String extraHeaders, String key, Object value) {
        JsonObject body = new JsonObject();
        if (value instanceof Boolean flag) {
            body.addProperty(key, flag);
        } else {
            body.addProperty(key, String.valueOf(value));
        }
        reply.send(status, JSON, extraHeaders, body.toString().getBytes(StandardCharsets.UTF_8));
    }
}
