package pepperdock.platform;

import java.util.function.BooleanSupplier;
import pepperdock.codec.http.HttpException;
import pepperdock.codec.http.HttpMessage;
import pepperdock.config.DeploymentSettings;
import pepperdock.core.Gatherer;
import pepperdock.core.Query;
import pepperdock.core.QueryListener;
import pepperdock.core.QueryRequest;
import pepperdock.transport.HttpRequestHandler;
import pepperdock.transport.HttpResponseSender;
import pepperdock.transport.HttpServer;

/**
 * The HTTP front for the platform's clients: passes their queries to the core, and the outcomes from the core back to
 * the clients.
 *
 * <p>Passed to an {@link HttpServer}, which calls it on the loop's thread; the core answers on the same thread.
 * {@link ClientProtocol} defines the format of queries and answers.
 */
public final class PlatformFront implements HttpRequestHandler {

    private static final int OK = 200;
    private static final int METHOD_NOT_ALLOWED = 405;
    private static final int INTERNAL_ERROR = 500;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    /** The timeout of a query whose client does not wait any longer. */
    private static final double MIN_TIMEOUT_S = 0.001;

    private DeploymentSettings settings;
    private final Gatherer core;
    private final BooleanSupplier ready;

    /** Creates a front; {@code ready} tells whether this gatherer accepts queries, for the readiness check. */
    public PlatformFront(DeploymentSettings settings, Gatherer core, BooleanSupplier ready) {
        this.settings = settings;
        this.core = core;
        this.ready = ready;
    }

    /** Replaces the settings for all later queries. */
    public void updateSettings(DeploymentSettings newSettings) {
        settings = newSettings;
    }

    @Override
    public Runnable serve(HttpMessage message, HttpResponseSender reply) throws HttpException {
        switch (message.path()) {
            case ClientProtocol.QUERY_PATH -> {
                requireMethod(message, "POST");
                Query query = core.submit(parseQuery(message, reply.waitedS()), new ClientReply(reply));
                return () -> core.onClientGone(query);
            }
            case ClientProtocol.READY_PATH -> {
                requireMethod(message, "GET");
                int status = ready.getAsBoolean() ? OK : UNAVAILABLE;
                reply.send(status, ClientProtocol.CONTENT_TYPE, "", ClientProtocol.emptyBody());
            }
            case ClientProtocol.HEALTHY_PATH -> {
                requireMethod(message, "GET");
                reply.send(OK, ClientProtocol.CONTENT_TYPE, "", ClientProtocol.emptyBody());
            }
            default -> throw new HttpException(404, "no such path");
        }
        return () -> {};
    }

    @Override
    public void respondWithError(int status, String reason, HttpResponseSender reply) {
        String headers = status == METHOD_NOT_ALLOWED ? "Allow: GET, POST\r\n" : "";
        reply.send(status, ClientProtocol.CONTENT_TYPE, headers, ClientProtocol.errorBody(reason));
    }

    private static void requireMethod(HttpMessage message, String method) throws HttpException {
        if (!message.method().equals(method)) {
            throw new HttpException(METHOD_NOT_ALLOWED, "only " + method);
        }
    }

    /** Returns the query; its client waits for {@code waitedS} less than it says, since it said so when it sent it. */
    private QueryRequest parseQuery(HttpMessage message, double waitedS) throws HttpException {
        ClientProtocol.QueryHeaders headers = ClientProtocol.parseQueryHeaders(message, settings);
        if (core.isQueryIdInUse(headers.id())) {
            // The ids of its parts would be in use on the workers' connections already, and results could be mixed up.
            throw new HttpException(409, "Request-Id: of a request that is still open");
        }
        if (core.wasQueryIdSent(headers.id())) {
            throw new HttpException(409, "Request-Id: of a request that has run");
        }
        int shards = settings.scheduler().layout().shards();
        ClientProtocol.QueryBody body = ClientProtocol.parseQueryBody(message.body(), shards);
        return new QueryRequest(
                headers.id(),
                headers.queryClass(),
                headers.idempotencyKey(),
                Math.max(MIN_TIMEOUT_S, headers.timeoutS() - waitedS),
                body.parts(),
                body.text(),
                null);
    }

    /** Sends the single outcome of a query to its client. */
    private record ClientReply(HttpResponseSender reply) implements QueryListener {

        @Override
        public void onAnswer(Query query, boolean complete) {
            reply.send(OK, ClientProtocol.CONTENT_TYPE, "", ClientProtocol.answerBody(query, complete));
        }

        @Override
        public void onRejected(Query query, double retryAfterS) {
            String headers = ClientProtocol.retryAfterHeader(retryAfterS);
            reply.send(UNAVAILABLE, ClientProtocol.CONTENT_TYPE, headers, ClientProtocol.rejectedBody());
        }

        @Override
        public void onFailed(Query query, boolean overdue) {
            int status = overdue ? GATEWAY_TIMEOUT : INTERNAL_ERROR;
            reply.send(status, ClientProtocol.CONTENT_TYPE, "", ClientProtocol.failedBody());
        }

        @Override
        public void pollForDisconnect() {
            reply.pollForDisconnect();
        }
    }
}
